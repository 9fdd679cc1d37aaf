#include "routing/endpoint_overlays.hpp"

#include <algorithm>

namespace indigovane::routing {

std::optional<Time> listed_start(const EndpointInfo& info, const Clock& clock) {
    if (info.boot_unix_ms == 0) return std::nullopt;
    return clock.from_unix(info.boot_unix_ms * kMicrosPerMilli);
}

std::vector<std::string> EndpointOverlays::set_operator_exclusions(const std::set<std::string>& uids,
                                                                   Time now) {
    std::set<std::string> previous_exclusions = std::exchange(operator_exclusions_, uids);
    std::vector<std::string> changed;
    for (const std::string& uid : previous_exclusions)
        if (!operator_exclusions_.count(uid)) {
            operator_readmissions_[uid] = now;
            changed.push_back(uid);
        }
    for (const std::string& uid : operator_exclusions_)
        if (!previous_exclusions.count(uid)) changed.push_back(uid);
    return changed;
}

void EndpointOverlays::merge_operator_readmission(const std::string& uid, Time at) {
    Time& latest = operator_readmissions_[uid];
    latest = std::max(latest, at);
}

void EndpointOverlays::forget_operator_readmissions(Time before) {
    std::erase_if(operator_readmissions_,
                  [&](const Readmissions::value_type& readmission) { return readmission.second < before; });
}

void EndpointOverlays::readmit_by_site(EndpointId endpoint, std::optional<Time> started) {
    SiteOverlay& overlay = site_overlays_[endpoint];
    overlay.excluded = false;
    if (started) overlay.readmitted = started;
}

void EndpointOverlays::end_site_exclusion(EndpointId endpoint) {
    if (auto overlay = site_overlays_.find(endpoint); overlay != site_overlays_.end())
        overlay->second.excluded = false;
}

policy::EndpointEntry EndpointOverlays::apply(EndpointId endpoint, const EndpointInfo& info,
                                              const Clock& clock) const {
    policy::EndpointEntry entry;
    entry.endpoint = endpoint;
    entry.group = policy::GroupId{info.group};
    entry.zone = policy::ZoneId{info.zone};
    entry.primary = info.primary;
    entry.state = info.state;
    entry.started = listed_start(info, clock);
    auto start_no_sooner_than = [&](Time at) { entry.started = std::max(entry.started.value_or(at), at); };
    if (auto readmission = operator_readmissions_.find(info.uid); readmission != operator_readmissions_.end())
        start_no_sooner_than(readmission->second);
    bool excluded = excluded_by_operators(info.uid);
    if (auto overlay = site_overlays_.find(endpoint); overlay != site_overlays_.end()) {
        excluded = excluded || overlay->second.excluded;
        if (overlay->second.readmitted) start_no_sooner_than(*overlay->second.readmitted);
    }
    if (excluded && entry.state == policy::EndpointState::ready)
        entry.state = policy::EndpointState::draining;
    return entry;
}

}  // namespace indigovane::routing
