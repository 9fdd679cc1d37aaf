#include "site/recovery_ramp.hpp"

#include <algorithm>

namespace indigovane::site {

namespace {

// Part of the ramp, from 0 to 1, within which a group's hosts are readmitted.
struct Interval {
    double begin = 0;
    double end = 1;
};

// By load ratio. An interval begins at half of the part of all hosts that come before it and ends at half of
// the part that comes after: hosts of loaded groups come early, no interval is shorter than half of the ramp,
// and it is the full ramp where all ratios are equal.
std::map<double, Interval, std::greater<>> readmission_intervals(
    const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio) {
    std::map<double, double, std::greater<>> hosts_by_ratio;
    for (const Host& host : hosts) ++hosts_by_ratio[load_ratio(host.group)];
    std::map<double, Interval, std::greater<>> intervals;
    auto total = double(hosts.size());
    double before = 0;
    for (const auto& [ratio, count] : hosts_by_ratio) {
        double after = total - before - count;
        intervals[ratio] = {0.5 * before / total, 1 - 0.5 * after / total};
        before += count;
    }
    return intervals;
}

}  // namespace

void RecoveryRamp::start(const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio,
                         const Parameters& parameters, const std::function<double()>& draw, Time now) {
    excluded_.clear();
    probes_ = parameters.probes;
    auto intervals = readmission_intervals(hosts, load_ratio);
    for (const Host& host : hosts) {
        double drawn = draw();
        auto [begin, end] = intervals[load_ratio(host.group)];
        double position = drawn < parameters.initial_share ? 0 : begin + (end - begin) * drawn;
        Duration offset(std::int64_t(position * double(parameters.length.count())));
        excluded_[host.id] = {now + offset, false, std::nullopt};
    }
}

void RecoveryRamp::record_answer(HostId host) {
    if (auto it = excluded_.find(host); it != excluded_.end()) it->second.answered = true;
}

RecoveryRamp::Due RecoveryRamp::take_due(Time now, Duration probe_interval) {
    Due due;
    for (auto& [host, readmission] : excluded_) {
        if (now < readmission.due) continue;
        if (!probes_ || readmission.answered) {
            due.readmit.push_back(host);
        } else if (!readmission.probed || now - *readmission.probed >= probe_interval) {
            readmission.probed = now;
            due.probe.push_back(host);
        }
    }
    for (HostId host : due.readmit) excluded_.erase(host);
    return due;
}

}  // namespace indigovane::site
