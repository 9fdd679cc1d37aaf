#include "site/plan.hpp"

#include <algorithm>

#include "site/fairness.hpp"

namespace indigovane::site {

namespace {

constexpr double kNothing = 1e-9;

// Takes from `room` for each demand in turn, the dearest first; says what part of each fits. Each class keeps
// its floor before any gets more: none starves for another.
std::vector<double> admit(const std::vector<const Demand*>& dearest_first, double room, double floor) {
    std::vector<double> parts(dearest_first.size(), 0);
    double floors = 0;
    for (const Demand* d : dearest_first) floors += d->work() * floor;
    double scale = floors > room && floors > kNothing ? room / floors : 1;
    for (double& p : parts) p = floor * scale;
    room -= floors * scale;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        double rest = dearest_first[i]->work() * (1 - parts[i]);
        if (rest <= kNothing) {
            parts[i] = room > 0 || dearest_first[i]->work() <= kNothing ? 1 : parts[i];
            continue;
        }
        double part = std::clamp(room / rest, 0.0, 1.0);
        parts[i] += (1 - parts[i]) * part;
        room -= rest * part;
    }
    return parts;
}

std::map<std::string, double> tenant_parts(const Demand& d, double part, const PlanInput& in) {
    std::vector<ShareDemand> demands;  // in the order of `tenants`
    for (const auto& [name, rate] : d.tenants) demands.push_back({rate, share_of(in.shares, name)});
    double level = fair_level(demands, part * d.rate);
    std::map<std::string, double> parts;
    for (const auto& [name, rate] : d.tenants) parts[name] = fair_part(demands[parts.size()], level);
    return parts;
}

bool is_lost(const PlanInput& in, const Host& h) {
    return in.lost.count(h.site) > 0 || in.out.count(h.id) > 0;
}

struct Members {
    std::vector<const Host*> replicas;
    const Host* primary = nullptr;
};

}  // namespace

bool refused_before(const Demand& a, const Demand& b, const std::vector<std::string>& last) {
    auto place = [&](const Demand& d) {
        return std::find(last.begin(), last.end(), d.request_class) - last.begin();
    };
    auto pa = place(a), pb = place(b);
    if (pa != pb) return pa > pb;
    double wa = a.priority_weight / std::max(kNothing, a.cost),
           wb = b.priority_weight / std::max(kNothing, b.cost);
    if (wa != wb) return wa < wb;
    return a.request_class < b.request_class;
}

double Plan::admit(GroupId group, const std::string& request_class) const {
    for (const Share& s : shares)
        if (s.group == group && s.request_class == request_class) return s.admit;
    return 1;
}

Plan make_plan(const PlanInput& in) {
    Plan plan;
    std::map<GroupId, Members> before, after;
    for (const Host& h : in.hosts) {
        if (!h.ready) continue;
        bool lost = is_lost(in, h);
        for (auto* side : {&before, &after}) {
            if (side == &after && lost) continue;
            Members& m = (*side)[h.group];
            if (h.primary)
                m.primary = &h;
            else
                m.replicas.push_back(&h);
        }
        after[h.group];
    }
    std::map<GroupId, std::vector<const Demand*>> demand;
    for (const Demand& d : in.demand) demand[d.group].push_back(&d);
    std::map<const Host*, double> load_before, load_after;

    for (auto& [group, now] : after) {
        GroupPlan& g = plan.groups[group];
        g.group = group;
        const Members& was = before[group];
        g.primary_lost = was.primary && !now.primary;
        if (g.primary_lost && !now.replicas.empty()) {
            auto next = std::max_element(now.replicas.begin(), now.replicas.end(),
                                         [](auto* a, auto* b) { return a->capacity < b->capacity; });
            now.primary = *next;
            now.replicas.erase(next);
        }
        for (const Host* h : was.replicas) g.replicas_before += h->capacity;
        for (const Host* h : now.replicas) g.replicas_after += h->capacity;
        for (bool primary : {true, false}) {
            std::vector<const Demand*> wants;
            double work = 0;
            for (const Demand* d : demand[group])
                if (d->primary == primary) {
                    wants.push_back(d);
                    work += d->work();
                }
            std::sort(wants.begin(), wants.end(), [&](auto* a, auto* b) {
                return refused_before(*b, *a, in.last);  // the dearest first
            });
            double capacity = primary ? (now.primary ? now.primary->capacity : 0) : g.replicas_after;
            bool changed = primary ? was.primary != now.primary : was.replicas.size() != now.replicas.size();
            // Where nothing is lost nothing is refused: the plan is for the loss alone.
            auto parts = changed ? admit(wants, capacity * in.ceiling, capacity > 0 ? in.floor : 0)
                                 : std::vector<double>(wants.size(), 1);
            double kept = 0;
            for (std::size_t i = 0; i < wants.size(); ++i) {
                const Demand& d = *wants[i];
                plan.shares.push_back(
                    {group, d.request_class, primary, 0, d.rate, parts[i], tenant_parts(d, parts[i], in)});
                kept += d.work() * parts[i];
                plan.weight_offered += d.rate * d.priority_weight;
                plan.weight_retained += d.rate * d.priority_weight * parts[i];
            }
            g.refused += work - kept;
            if (primary) {
                if (was.primary) load_before[was.primary] += work;
                if (now.primary) load_after[now.primary] += kept;
                if (changed) g.moved += kept;
                continue;
            }
            // Each replica gets as much as any other: a random pick knows no capacity.
            for (const Host* h : was.replicas) load_before[h] += work / double(was.replicas.size());
            for (const Host* h : now.replicas) load_after[h] += kept / double(now.replicas.size());
            double stays =
                was.replicas.empty() ? 0 : work * double(now.replicas.size()) / double(was.replicas.size());
            g.moved += std::max(0.0, kept - stays);
            if (!now.replicas.empty())
                g.load_ratio = double(was.replicas.size()) / double(now.replicas.size());
        }
    }
    for (const Host& h : in.hosts)
        plan.hosts.push_back(
            {h.id, h.site, h.group, h.primary, is_lost(in, h), h.capacity, load_before[&h], load_after[&h]});
    std::stable_sort(plan.shares.begin(), plan.shares.end(), [&](const Share& a, const Share& b) {
        auto find = [&](const Share& s) -> const Demand& {
            return *std::find_if(in.demand.begin(), in.demand.end(), [&](const Demand& d) {
                return d.group == s.group && d.request_class == s.request_class;
            });
        };
        return refused_before(find(a), find(b), in.last);
    });
    for (std::size_t i = 0; i < plan.shares.size(); ++i)
        plan.shares[i].rank = i > 0 && plan.shares[i].request_class == plan.shares[i - 1].request_class
                                  ? plan.shares[i - 1].rank
                                  : unsigned(i);
    return plan;
}

}  // namespace indigovane::site
