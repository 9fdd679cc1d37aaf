#include "routing/primary_tracker.hpp"

namespace indigovane::routing {

namespace {
constexpr Duration kGossipMaxAge = std::chrono::seconds(5);  // also the largest allowed clock difference
}  // namespace

void PrimaryTracker::record(EndpointId id, const EndpointInfo& info, Time as_of) {
    if (!observer_) return;
    auto [latest, is_first] = latest_.try_emplace(info.group, Evidence{id, as_of});
    if (is_first || as_of <= latest->second.as_of) return;
    bool has_changed = latest->second.endpoint != id;
    latest->second = {id, as_of};
    if (has_changed) observer_(info, as_of);
}

bool PrimaryTracker::is_recent(Time as_of, Time now) {
    return as_of <= now + kGossipMaxAge && as_of >= now - kGossipMaxAge;
}

}  // namespace indigovane::routing
