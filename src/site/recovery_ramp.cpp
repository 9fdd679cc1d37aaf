#include "site/recovery_ramp.hpp"

#include <algorithm>

namespace indigovane::site {

namespace {

// Interval of the ramp in which the hosts of a group are readmitted. 0 is the start of the ramp, 1 its end.
struct Interval {
    double begin = 0;
    double end = 1;
};

// Returns the interval of each load ratio. Let b be the share of all hosts with a higher ratio and a the
// share with a lower one: the interval is from b / 2 to 1 - a / 2. Hosts of loaded groups therefore come
// early, no interval is shorter than half of the ramp, and the interval is the full ramp if all ratios are
// equal.
std::map<double, Interval, std::greater<>> readmission_intervals(
    const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio) {
    std::map<double, double, std::greater<>> hosts_by_ratio;
    for (const Host& host : hosts) ++hosts_by_ratio[load_ratio(host.group)];
    std::map<double, Interval, std::greater<>> intervals;
    auto total = double(hosts.size());
    double hosts_before = 0;
    for (const auto& [ratio, count] : hosts_by_ratio) {
        double hosts_after = total - hosts_before - count;
        intervals[ratio] = {0.5 * hosts_before / total, 1 - 0.5 * hosts_after / total};
        hosts_before += count;
    }
    return intervals;
}

}  // namespace

void RecoveryRamp::start(const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio,
                         const Parameters& parameters, const std::function<double()>& draw, Time now) {
    excluded_.clear();
    requires_answer_ = parameters.requires_answer;
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
    if (auto it = excluded_.find(host); it != excluded_.end()) it->second.has_answered = true;
}

RecoveryRamp::DueHosts RecoveryRamp::take_due_hosts(Time now, Duration probe_interval) {
    DueHosts due_hosts;
    for (auto& [host, readmission] : excluded_) {
        if (now < readmission.due) continue;
        if (!requires_answer_ || readmission.has_answered) {
            due_hosts.to_readmit.push_back(host);
        } else if (!readmission.last_probe || now - *readmission.last_probe >= probe_interval) {
            readmission.last_probe = now;
            due_hosts.to_probe.push_back(host);
        }
    }
    for (HostId host : due_hosts.to_readmit) excluded_.erase(host);
    return due_hosts;
}

}  // namespace indigovane::site
