#include "site/ramp.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::site {

void Ramp::begin(const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio,
                 Duration length, double trickle, bool probes, const std::function<double()>& draw,
                 Time now) {
    waiting_.clear();
    probes_ = probes;
    // Groups by strain, the most strained first. A group's moments lie between half of the part of all hosts
    // that come before it and half of the part that comes after: strained ones early, none within less than
    // half of the ramp, and all of it where all are strained alike.
    std::map<double, double, std::greater<>> alike;
    for (const Host& h : hosts) ++alike[load_ratio(h.group)];
    std::map<double, std::pair<double, double>> span;
    double before = 0;
    for (const auto& [s, count] : alike) {
        double after = double(hosts.size()) - before - count;
        span[s] = {0.5 * before / double(hosts.size()), 1 - 0.5 * after / double(hosts.size())};
        before += count;
    }
    for (const Host& h : hosts) {
        double u = draw();
        auto [from, to] = span[load_ratio(h.group)];
        double place = u < trickle ? 0 : from + (to - from) * u;
        waiting_[h.id] = {now + Duration(std::int64_t(place * double(length.count())))};
    }
}

void Ramp::answered(HostId host) {
    if (auto it = waiting_.find(host); it != waiting_.end()) it->second.answered = true;
}

Ramp::Due Ramp::due(Time now, Duration probe_every) {
    Due due;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        Step& s = it->second;
        if (now < s.at) {
            ++it;
        } else if (!probes_ || s.answered) {
            due.let_in.push_back(it->first);
            it = waiting_.erase(it);
        } else {
            if (s.probed == Time::min() || now - s.probed >= probe_every) {
                s.probed = now;
                due.probe.push_back(it->first);
            }
            ++it;
        }
    }
    return due;
}

}  // namespace indigovane::site
