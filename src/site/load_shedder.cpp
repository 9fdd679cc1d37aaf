#include "site/load_shedder.hpp"

#include <algorithm>

#include "site/decaying_rate.hpp"

namespace indigovane::site {

namespace {
constexpr double kCostGain = 0.05;          // weight of one answer in the average cost of a class
constexpr double kMinCost = 1e-6;           // seconds
constexpr double kUtilizationGain = 0.2;    // weight of one report in the average utilization of a host
constexpr double kMinUtilization = 0.05;    // lower reports are raised to this before work is divided by them
constexpr double kUnlimitedCapacity = 1e9;  // seconds of work per second
constexpr std::size_t kMaxAdmissionRecords = 4096;
}  // namespace

double LoadShedder::current_rate(const Flow& flow, Time now) {
    return flow.rate * rate_decay(now - flow.updated);
}

bool LoadShedder::admit(const RequestArrival& arrival, Time now) {
    std::uint64_t key = flow_key(arrival.group, arrival.request_class);
    Flow& flow = flows_[key];
    flow.rate = current_rate(flow, now) + kRatePerArrival;
    flow.updated = now;
    flow.max_time_left = std::max(flow.max_time_left, arrival.time_left);
    if (!shedding_) return true;
    auto class_share = admitted_shares_.find(key);
    if (class_share == admitted_shares_.end() || class_share->second >= 1) return true;
    bool is_late = arrival.is_retry || arrival.time_left * 2 < flow.max_time_left;
    flow.tenants.record_arrival(arrival.tenant, is_late, settings_, now);
    double share = flow.tenants.admitted_share(arrival.tenant, is_late, class_share->second, settings_, now);
    if (admit_share(arrival, share, now)) return true;
    ++rejected_requests_;
    return false;
}

// Admits a share of the requests, and at least one request of each class and tenant in each starvation
// interval. Tenants beyond `kMaxAdmissionRecords` records count as one tenant.
bool LoadShedder::admit_share(const RequestArrival& arrival, double admitted_share, Time now) {
    std::string key = std::to_string(std::uint32_t(arrival.group)) + "/" +
                      std::to_string(arrival.request_class) + "/" +
                      (last_admitted_.size() < kMaxAdmissionRecords ? arrival.tenant : std::string());
    auto [last, is_first] = last_admitted_.try_emplace(std::move(key), now);
    bool is_starving = is_first || now - last->second >= settings_.starvation_interval;
    if (!is_starving && arrival.draw >= admitted_share) return false;
    last->second = now;
    return true;
}

void LoadShedder::record_latency(GroupId group, std::size_t request_class, Duration latency) {
    double cost = to_seconds(latency);
    Flow& flow = flows_[flow_key(group, request_class)];
    flow.cost += (flow.cost > 0 ? kCostGain : 1) * (cost - flow.cost);
}

void LoadShedder::record_utilization(HostId host, double utilization) {
    auto [it, is_first] = utilization_.try_emplace(std::uint32_t(host), utilization);
    if (!is_first) it->second += kUtilizationGain * (utilization - it->second);
}

void LoadShedder::replace_classes(std::vector<Demand> classes) {
    classes_ = std::move(classes);
    flows_.clear();
    admitted_shares_.clear();
}

// A pooler knows its own traffic and the utilization of hosts. It takes its own work at a host divided by the
// utilization of the host as the capacity that it can use: a replica at utilization 0.5 with work w of this
// pooler could do work 2 w. This holds if the traffic of all poolers grows alike, as it does when a site is
// lost.
PlanInput LoadShedder::plan_input(const std::vector<Host>& hosts, Time now) const {
    PlanInput input;
    input.hosts = hosts;
    input.protected_classes = settings_.protected_classes;
    input.max_utilization = settings_.max_utilization;
    input.min_class_share = settings_.min_class_share;
    std::map<GroupId, GroupWork> work_by_group;
    std::map<GroupId, unsigned> replica_counts;
    for (const Host& host : hosts) {
        replica_counts[host.group] += host.ready && !host.primary;
        auto [group_work, is_first] = work_by_group.try_emplace(host.group);
        if (!is_first) continue;
        for (std::size_t index = 0; index < classes_.size(); ++index) {
            auto flow = flows_.find(flow_key(host.group, index));
            if (flow == flows_.end()) continue;
            Demand demand = classes_[index];
            demand.group = host.group;
            demand.rate = current_rate(flow->second, now);
            demand.cost = std::max(kMinCost, flow->second.cost);
            (demand.needs_primary ? group_work->second.primary : group_work->second.replicas) +=
                demand.work();
            input.demands.push_back(std::move(demand));
        }
    }
    for (Host& host : input.hosts) {
        auto utilization = utilization_.find(std::uint32_t(host.id));
        const GroupWork& group_work = work_by_group[host.group];
        double own_work = host.primary ? group_work.primary
                                       : group_work.replicas / std::max(1u, replica_counts[host.group]);
        // A host that reports no utilization is assumed to have unlimited capacity.
        host.capacity = utilization == utilization_.end()
                            ? kUnlimitedCapacity
                            : own_work / std::clamp(utilization->second, kMinUtilization, 1.0);
    }
    return input;
}

void LoadShedder::update_plan(const std::vector<Host>& hosts, const std::set<HostId>& excluded, Time now) {
    admitted_shares_.clear();
    shedding_ = false;
    if (excluded.empty()) {
        last_admitted_.clear();
        for (auto& [key, flow] : flows_) flow.tenants = {};
        return;
    }
    PlanInput input = plan_input(hosts, now);
    input.excluded_hosts = excluded;
    for (const AdmittedShare& share : make_plan(input).shares) {
        if (share.admitted_share >= 1) continue;
        auto request_class = std::find_if(classes_.begin(), classes_.end(), [&](const Demand& demand) {
            return demand.request_class == share.request_class;
        });
        auto index = std::size_t(request_class - classes_.begin());
        admitted_shares_[flow_key(share.group, index)] = share.admitted_share;
        shedding_ = true;
    }
}

}  // namespace indigovane::site
