#include "site/load_shedder.hpp"

#include <algorithm>

#include "site/decaying_rate.hpp"

namespace indigovane::site {

namespace {
constexpr double kCostGain = 0.05;        // weight of an answer in a class's average cost
constexpr double kMinCost = 1e-6;         // seconds
constexpr double kUtilizationGain = 0.2;  // weight of a report in a host's average utilization
constexpr double kMinUtilization = 0.05;
constexpr double kUnlimitedCapacity = 1e9;  // seconds of work a second
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
    bool late = arrival.retry || arrival.time_left * 2 < flow.max_time_left;
    flow.tenants.record_arrival(arrival.tenant, late, settings_, now);
    double share = flow.tenants.admitted_share(arrival.tenant, late, class_share->second, settings_, now);
    if (admit_share(arrival, share, now)) return true;
    ++rejected_;
    return false;
}

// Admits a part of the requests, and one of each class and tenant in each starvation interval. Tenants beyond
// the number that is recorded count as one.
bool LoadShedder::admit_share(const RequestArrival& arrival, double admitted_share, Time now) {
    std::string key = std::to_string(std::uint32_t(arrival.group)) + "/" +
                      std::to_string(arrival.request_class) + "/" +
                      (last_admitted_.size() < kMaxAdmissionRecords ? arrival.tenant : std::string());
    auto [last, first] = last_admitted_.try_emplace(std::move(key), now);
    bool starving = first || now - last->second >= settings_.starvation_interval;
    if (!starving && arrival.draw >= admitted_share) return false;
    last->second = now;
    return true;
}

void LoadShedder::record_latency(GroupId group, std::size_t request_class, Duration latency) {
    double cost = to_seconds(latency);
    Flow& flow = flows_[flow_key(group, request_class)];
    flow.cost += (flow.cost > 0 ? kCostGain : 1) * (cost - flow.cost);
}

void LoadShedder::record_utilization(HostId host, double utilization) {
    auto [it, first] = utilization_.try_emplace(std::uint32_t(host), utilization);
    if (!first) it->second += kUtilizationGain * (utilization - it->second);
}

void LoadShedder::replace_classes(std::vector<Demand> classes) {
    classes_ = std::move(classes);
    flows_.clear();
    admitted_shares_.clear();
}

// A pooler knows its own traffic and the utilization of hosts. What they can do for it is then its own work
// there over their utilization: a replica at one half, with work w of this pooler, could do 2 w of it, if all
// poolers' traffic grew alike, as it does when a site is lost.
PlanInput LoadShedder::plan_input(const std::vector<Host>& hosts, Time now) const {
    PlanInput input;
    input.hosts = hosts;
    input.protected_classes = settings_.protected_classes;
    input.max_utilization = settings_.max_utilization;
    input.min_class_share = settings_.min_class_share;
    std::map<GroupId, GroupWork> work;
    std::map<GroupId, unsigned> replicas;
    for (const Host& host : hosts) {
        replicas[host.group] += host.ready && !host.primary;
        auto [group_work, first] = work.try_emplace(host.group);
        if (!first) continue;
        for (std::size_t index = 0; index < classes_.size(); ++index) {
            auto flow = flows_.find(flow_key(host.group, index));
            if (flow == flows_.end()) continue;
            Demand demand = classes_[index];
            demand.group = host.group;
            demand.rate = current_rate(flow->second, now);
            demand.cost = std::max(kMinCost, flow->second.cost);
            (demand.primary ? group_work->second.primary : group_work->second.replicas) += demand.work();
            input.demand.push_back(std::move(demand));
        }
    }
    for (Host& host : input.hosts) {
        auto utilization = utilization_.find(std::uint32_t(host.id));
        const GroupWork& group_work = work[host.group];
        double own_work =
            host.primary ? group_work.primary : group_work.replicas / std::max(1u, replicas[host.group]);
        // A host that reports nothing is taken to have capacity for everything.
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
    input.excluded = excluded;
    for (const AdmittedShare& share : make_plan(input).shares) {
        if (share.admitted >= 1) continue;
        auto request_class = std::find_if(classes_.begin(), classes_.end(), [&](const Demand& demand) {
            return demand.request_class == share.request_class;
        });
        auto index = std::size_t(request_class - classes_.begin());
        admitted_shares_[flow_key(share.group, index)] = share.admitted;
        shedding_ = true;
    }
}

}  // namespace indigovane::site
