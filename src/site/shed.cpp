#include "site/shed.hpp"

#include <algorithm>
#include <cmath>

namespace indigovane::site {

namespace {
constexpr double kMemory = 5e6;     // us over which rates are averaged: several requests of a small pooler
constexpr double kCostGain = 0.05;  // weight of an answer in a class's cost
constexpr double kBusyGain = 0.2;   // of a report in a host's load
constexpr std::size_t kTenants = 4096;
}  // namespace

double Shedder::rate(const Flow& f, Time now) const {
    return f.rate * std::exp(-double((now - f.at).count()) / kMemory);
}

bool Shedder::admit(const Arrival& a, Time now) {
    Flow& f = flows_[key(a.group, a.request_class)];
    f.rate = rate(f, now) + 1e6 / kMemory;
    f.at = now;
    f.response_timeout = std::max(f.response_timeout, a.response_timeout);
    if (!shedding_) return true;
    auto part = parts_.find(key(a.group, a.request_class));
    if (part == parts_.end() || part->second >= 1) return true;
    bool old = a.repeat || a.response_timeout * 2 < f.response_timeout;
    f.arrivals.came(a.tenant, old, set_, now);
    double let_in = f.arrivals.part(a.tenant, old, part->second, set_, now);
    // None starves: one of each class and tenant at least so often. A tenant beyond its number is like all
    // others that are.
    std::string who = std::to_string(std::uint32_t(a.group)) + "/" + std::to_string(a.request_class) + "/" +
                      (let_in_.size() < kTenants ? a.tenant : std::string());
    auto [last, first] = let_in_.try_emplace(std::move(who), now);
    if (first || now - last->second >= set_.starve || a.draw < let_in) {
        last->second = now;
        return true;
    }
    ++refused_;
    return false;
}

void Shedder::took(GroupId group, std::size_t request_class, Duration latency) {
    double took = double(latency.count()) / 1e6;
    Flow& f = flows_[key(group, request_class)];
    f.cost += (f.cost > 0 ? kCostGain : 1) * (took - f.cost);
}

void Shedder::busy(HostId host, double share) {
    auto [it, first] = busy_.try_emplace(std::uint32_t(host), share);
    if (!first) it->second += kBusyGain * (share - it->second);
}

void Shedder::classes(std::vector<Demand> classes) {
    classes_ = std::move(classes);
    flows_.clear();
    parts_.clear();
}

// A pooler knows its own traffic and how busy hosts are. What they can do for it is then its own work there
// over their load: a replica that is half busy, with work w of mine, could do 2 w of mine, if all poolers'
// traffic grew alike, as it does when a site is lost.
PlanInput Shedder::input(const std::vector<Host>& hosts, Time now) const {
    PlanInput in;
    in.hosts = hosts;
    in.last = set_.last;
    in.ceiling = set_.ceiling;
    in.floor = set_.floor;
    std::map<GroupId, std::pair<double, double>> work;  // for the primary, for replicas
    for (const Host& h : hosts)
        for (std::size_t c = 0; c < classes_.size(); ++c) {
            if (work.count(h.group) && c == 0) break;  // each group once
            auto f = flows_.find(key(h.group, c));
            auto& [primary, replicas] = work[h.group];
            if (f == flows_.end()) continue;
            Demand d = classes_[c];
            d.group = h.group;
            d.rate = rate(f->second, now);
            d.cost = std::max(1e-6, f->second.cost);
            (d.primary ? primary : replicas) += d.work();
            in.demand.push_back(std::move(d));
        }
    std::map<GroupId, unsigned> replicas;
    for (const Host& h : hosts) replicas[h.group] += h.ready && !h.primary;
    for (Host& h : in.hosts) {
        auto b = busy_.find(std::uint32_t(h.id));
        auto [primary, reads] = work[h.group];
        double mine = h.primary ? primary : reads / std::max(1u, replicas[h.group]);
        // Of a host that tells nothing nothing is known: it can do whatever comes.
        h.capacity = b == busy_.end() ? 1e9 : mine / std::clamp(b->second, 0.05, 1.0);
    }
    return in;
}

void Shedder::plan(const std::vector<Host>& hosts, const std::set<HostId>& out, Time now) {
    parts_.clear();
    shedding_ = false;
    if (out.empty()) {
        let_in_.clear();
        for (auto& [key, flow] : flows_) flow.arrivals = {};
        return;
    }
    PlanInput in = input(hosts, now);
    in.out = out;
    for (const Share& s : make_plan(in).shares) {
        if (s.admit >= 1) continue;
        auto request_class = std::find_if(classes_.begin(), classes_.end(), [&](const Demand& d) {
            return d.request_class == s.request_class;
        });
        parts_[key(s.group, std::size_t(request_class - classes_.begin()))] = s.admit;
        shedding_ = true;
    }
}

}  // namespace indigovane::site
