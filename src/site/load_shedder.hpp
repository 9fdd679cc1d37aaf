// Load shedding while the remaining hosts of the fleet cannot carry all load. It depends on the utilization
// that the hosts of each group report, and on the priority weight of each class relative to its cost.
// Settings: protected_classes, max_utilization, min_class_share, starvation_interval, tenant_fairness,
// tenant_shares, shed_late_first. Source: docs/site-loss.md.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "site/failover_plan.hpp"
#include "site/tenant_admission.hpp"

namespace indigovane::site {

struct RequestArrival {
    GroupId group{};
    std::size_t request_class = 0;  // index of the class
    std::string tenant;
    double draw = 0;        // a uniform draw in [0, 1)
    Duration time_left{};   // until the deadline of the client; zero: unknown
    bool is_retry = false;  // the client has sent this request before
};

// Learns the rate and cost of each class at each group from this pooler's own traffic, and the utilization of
// hosts from their load reports. Makes a failover plan from them when a site is lost.
class LoadShedder {
  public:
    // `classes` has one entry for each class index. Its fields `group`, `rate` and `cost` are not read.
    LoadShedder(const Settings& settings, std::vector<Demand> classes)
        : settings_(settings), classes_(std::move(classes)) {}

    // Records the arrival. False: the request must be rejected at once.
    bool admit(const RequestArrival& arrival, Time now);
    // Records the latency of an answer. The average latency is the cost of a class.
    void record_latency(GroupId group, std::size_t request_class, Duration latency);
    // Records the utilization of the host's cores, from 0 to 1, as the host reports it.
    void record_utilization(HostId host, double utilization);

    // Makes a new plan for the loss of the `excluded` hosts and sheds by it from now on. Nothing is shed if
    // `excluded` is empty. `hosts` is the full endpoint list.
    void update_plan(const std::vector<Host>& hosts, const std::set<HostId>& excluded, Time now);
    void update_settings(const Settings& settings) { settings_ = settings; }
    // Replaces the classes and drops the rates and costs of the old ones.
    void replace_classes(std::vector<Demand> classes);

    // Number of requests rejected since the start.
    std::uint64_t rejected_requests() const { return rejected_requests_; }
    // Input for a plan from the present rates, costs and utilizations. The capacity of a host is the part of
    // it that this pooler can use.
    PlanInput plan_input(const std::vector<Host>& hosts, Time now) const;

  private:
    // Traffic of one class at one group.
    struct Flow {
        double rate = 0;           // requests per second, decaying
        Time updated{};            // when `rate` was last updated
        double cost = 0;           // average cost of a request in seconds
        Duration max_time_left{};  // maximum over all arrivals
        TenantAdmission tenants;   // cleared when no host is excluded
    };
    static std::uint64_t flow_key(GroupId group, std::size_t request_class) {
        return (std::uint64_t(group) << 16) | std::uint64_t(request_class);
    }
    static double current_rate(const Flow& flow, Time now);
    bool admit_share(const RequestArrival& arrival, double admitted_share, Time now);

    // Work of this pooler in seconds per second.
    struct GroupWork {
        double primary = 0;   // work that needs the primary
        double replicas = 0;  // work that any replica can do
    };

    Settings settings_;
    std::vector<Demand> classes_;
    std::unordered_map<std::uint64_t, Flow> flows_;
    std::unordered_map<std::uint32_t, double> utilization_;  // average utilization by host
    std::unordered_map<std::uint64_t, double>
        admitted_shares_;  // by flow; a flow that is not in the map is admitted in full
    std::unordered_map<std::string, Time> last_admitted_;  // by group, class and tenant
    bool shedding_ = false;
    std::uint64_t rejected_requests_ = 0;
};

}  // namespace indigovane::site
