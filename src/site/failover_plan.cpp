#include "site/failover_plan.hpp"

#include <algorithm>

#include "site/max_min_fairness.hpp"

namespace indigovane::site {

namespace {

constexpr double kNegligibleWork = 1e-9;  // seconds of work

// Returns the share of each demand that fits into `capacity`, in the given order. Each class gets `min_share`
// before any class gets more, so that no class starves.
std::vector<double> admitted_shares(const std::vector<const Demand*>& demands, double capacity,
                                    double min_share) {
    std::vector<double> shares(demands.size(), 0);
    double minimum_work = 0;
    for (const Demand* demand : demands) minimum_work += demand->work() * min_share;
    double scale = minimum_work > capacity && minimum_work > kNegligibleWork ? capacity / minimum_work : 1;
    for (double& share : shares) share = min_share * scale;
    capacity -= minimum_work * scale;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        double remaining_work = demands[i]->work() * (1 - shares[i]);
        if (remaining_work <= kNegligibleWork) {
            bool has_capacity = capacity > 0 || demands[i]->work() <= kNegligibleWork;
            if (has_capacity) shares[i] = 1;
            continue;
        }
        double fitting_share = std::clamp(capacity / remaining_work, 0.0, 1.0);
        shares[i] += (1 - shares[i]) * fitting_share;
        capacity -= remaining_work * fitting_share;
    }
    return shares;
}

// Members of a group that accept new work.
struct Members {
    std::vector<const Host*> replicas;
    const Host* primary = nullptr;

    void add(const Host& host) {
        if (host.primary)
            primary = &host;
        else
            replicas.push_back(&host);
    }
    double replica_capacity() const {
        double sum = 0;
        for (const Host* host : replicas) sum += host->capacity;
        return sum;
    }
};

class PlanBuilder {
  public:
    explicit PlanBuilder(const PlanInput& input) : input_(input) {
        for (const Host& host : input_.hosts) {
            if (!host.ready) continue;
            before_[host.group].add(host);
            Members& after = after_[host.group];
            if (!is_lost(host)) after.add(host);
        }
        for (const Demand& demand : input_.demands) demand_[demand.group].push_back(&demand);
    }

    Plan build() {
        for (auto& [group, after] : after_) plan_group(group, after);
        add_host_loads();
        rank_shares();
        return std::move(plan_);
    }

  private:
    // A role in one group: the primary, or the replicas together.
    struct Role {
        GroupId group{};
        bool primary = false;
        bool has_lost_member = false;
        double capacity = 0;  // seconds of work per second
    };

    bool is_lost(const Host& host) const {
        return input_.lost_sites.count(host.site) > 0 || input_.excluded_hosts.count(host.id) > 0;
    }

    void plan_group(GroupId group, Members& after) {
        const Members& before = before_[group];
        GroupPlan& planned = plan_.groups[group];
        planned.group = group;
        planned.primary_lost = before.primary && !after.primary;
        if (planned.primary_lost && !after.replicas.empty()) promote_successor(after);
        planned.replica_capacity_before = before.replica_capacity();
        planned.replica_capacity_after = after.replica_capacity();
        plan_primary(planned, before, after);
        plan_replicas(planned, before, after);
    }

    static void promote_successor(Members& members) {
        auto successor =
            std::max_element(members.replicas.begin(), members.replicas.end(),
                             [](const Host* a, const Host* b) { return a->capacity < b->capacity; });
        members.primary = *successor;
        members.replicas.erase(successor);
    }

    void plan_primary(GroupPlan& planned, const Members& before, const Members& after) {
        bool has_lost_member = before.primary != after.primary;
        double capacity = after.primary ? after.primary->capacity : 0;
        auto [offered, admitted] = admit({planned.group, true, has_lost_member, capacity});
        planned.shed_work += offered - admitted;
        if (before.primary) load_before_[before.primary] += offered;
        if (after.primary) load_after_[after.primary] += admitted;
        if (has_lost_member) planned.moved_work += admitted;
    }

    // Each replica gets the same load, because the random selection of replicas ignores capacities.
    void plan_replicas(GroupPlan& planned, const Members& before, const Members& after) {
        auto count_before = double(before.replicas.size());
        auto count_after = double(after.replicas.size());
        bool has_lost_member = before.replicas.size() != after.replicas.size();
        auto [offered, admitted] =
            admit({planned.group, false, has_lost_member, planned.replica_capacity_after});
        planned.shed_work += offered - admitted;
        for (const Host* host : before.replicas) load_before_[host] += offered / count_before;
        for (const Host* host : after.replicas) load_after_[host] += admitted / count_after;
        double staying_work = before.replicas.empty() ? 0 : offered * count_after / count_before;
        planned.moved_work += std::max(0.0, admitted - staying_work);
        if (!after.replicas.empty()) planned.load_ratio = count_before / count_after;
    }

    // Seconds of work per second.
    struct Work {
        double offered = 0;
        double admitted = 0;
    };

    Work admit(const Role& role) {
        std::vector<const Demand*> demands;
        Work work;
        for (const Demand* demand : demand_[role.group]) {
            if (demand->needs_primary != role.primary) continue;
            demands.push_back(demand);
            work.offered += demand->work();
        }
        std::sort(demands.begin(), demands.end(), [&](const Demand* a, const Demand* b) {
            return is_shed_before(*b, *a, input_.protected_classes);  // the most valuable class first
        });
        // A role that has lost no member sheds nothing: the plan covers only the effects of the loss.
        double min_share = role.capacity > 0 ? input_.min_class_share : 0;
        std::vector<double> shares =
            role.has_lost_member ? admitted_shares(demands, role.capacity * input_.max_utilization, min_share)
                                 : std::vector<double>(demands.size(), 1);
        for (std::size_t i = 0; i < demands.size(); ++i) {
            const Demand& demand = *demands[i];
            plan_.shares.push_back({role.group, demand.request_class, role.primary, 0, demand.rate, shares[i],
                                    tenant_shares(demand, shares[i])});
            work.admitted += demand.work() * shares[i];
            plan_.weight_offered += demand.rate * demand.priority_weight;
            plan_.weight_retained += demand.rate * demand.priority_weight * shares[i];
        }
        return work;
    }

    std::map<std::string, double> tenant_shares(const Demand& demand, double admitted) const {
        std::vector<WeightedDemand> weighted_demands;  // in the order of `demand.tenants`
        for (const auto& [tenant, rate] : demand.tenants)
            weighted_demands.push_back({rate, tenant_weight(input_.tenant_shares, tenant)});
        double level = fair_level(weighted_demands, admitted * demand.rate);
        std::map<std::string, double> shares;
        for (const auto& [tenant, rate] : demand.tenants)
            shares[tenant] = satisfied_share(weighted_demands[shares.size()], level);
        return shares;
    }

    void add_host_loads() {
        for (const Host& host : input_.hosts)
            plan_.hosts.push_back({host.id, host.site, host.group, host.primary, is_lost(host), host.capacity,
                                   load_before_[&host], load_after_[&host]});
    }

    // Entries of the same class in several groups have the same rank.
    void rank_shares() {
        auto demand_of = [&](const AdmittedShare& share) -> const Demand& {
            return *std::find_if(input_.demands.begin(), input_.demands.end(), [&](const Demand& demand) {
                return demand.group == share.group && demand.request_class == share.request_class;
            });
        };
        std::vector<AdmittedShare>& shares = plan_.shares;
        std::stable_sort(shares.begin(), shares.end(), [&](const AdmittedShare& a, const AdmittedShare& b) {
            return is_shed_before(demand_of(a), demand_of(b), input_.protected_classes);
        });
        for (std::size_t i = 0; i < shares.size(); ++i) {
            bool is_same_class = i > 0 && shares[i].request_class == shares[i - 1].request_class;
            shares[i].rank = is_same_class ? shares[i - 1].rank : unsigned(i);
        }
    }

    const PlanInput& input_;
    Plan plan_;
    std::map<GroupId, Members> before_;
    std::map<GroupId, Members> after_;
    std::map<GroupId, std::vector<const Demand*>> demand_;
    std::map<const Host*, double> load_before_;  // seconds of work per second
    std::map<const Host*, double> load_after_;
};

}  // namespace

bool is_shed_before(const Demand& a, const Demand& b, const std::vector<std::string>& protected_classes) {
    auto position = [&](const Demand& demand) {
        return std::find(protected_classes.begin(), protected_classes.end(), demand.request_class) -
               protected_classes.begin();
    };
    auto position_a = position(a);
    auto position_b = position(b);
    if (position_a != position_b) return position_a > position_b;
    double value_a = a.priority_weight / std::max(kNegligibleWork, a.cost);
    double value_b = b.priority_weight / std::max(kNegligibleWork, b.cost);
    if (value_a != value_b) return value_a < value_b;
    return a.request_class < b.request_class;
}

double Plan::admitted_share(GroupId group, const std::string& request_class) const {
    for (const AdmittedShare& share : shares)
        if (share.group == group && share.request_class == request_class) return share.admitted_share;
    return 1;
}

Plan make_plan(const PlanInput& input) {
    return PlanBuilder(input).build();
}

}  // namespace indigovane::site
