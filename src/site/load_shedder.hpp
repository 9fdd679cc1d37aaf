// Load shedding while the rest of the fleet can't carry all: by the utilization that each group's replicas
// report, and by the priority weight of classes for what they cost.
// Settings: protected_classes, max_utilization, min_class_share, starvation_interval, tenant_*,
// shed_late_first. Source: docs/site-loss.md.
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
    double draw = 0;       // uniform in [0, 1)
    Duration time_left{};  // until the client's deadline; zero: not known
    bool retry = false;    // the client has sent it before
};

// Learns each class's rate and cost by group from this pooler's own traffic, and the utilization of hosts
// from their load reports; makes a plan of it when a site is lost.
class LoadShedder {
  public:
    // `classes`: by class index; group, rate and cost are not read.
    LoadShedder(const Settings& settings, std::vector<Demand> classes)
        : settings_(settings), classes_(std::move(classes)) {}

    // False: the request is to be rejected at once.
    bool admit(const RequestArrival& arrival, Time now);
    void record_latency(GroupId group, std::size_t request_class, Duration latency);  // of an answer
    void record_utilization(HostId host, double utilization);  // of its cores, as it reports

    // Sheds from now on for the loss of the excluded hosts; lifted where none is. `hosts`: the full list.
    void update_plan(const std::vector<Host>& hosts, const std::set<HostId>& excluded, Time now);
    void update_settings(const Settings& settings) { settings_ = settings; }
    // Replaces the classes and forgets what was learned of the old ones.
    void replace_classes(std::vector<Demand> classes);

    std::uint64_t rejected() const { return rejected_; }
    // What is known now. Capacities are this pooler's part of each host's.
    PlanInput plan_input(const std::vector<Host>& hosts, Time now) const;

  private:
    // One class at one group.
    struct Flow {
        double rate = 0;  // a second, decaying
        Time updated{};
        double cost = 0;           // seconds, averaged
        Duration max_time_left{};  // of all arrivals
        TenantAdmission tenants;   // retained while anything is shed
    };
    static std::uint64_t flow_key(GroupId group, std::size_t request_class) {
        return (std::uint64_t(group) << 16) | std::uint64_t(request_class);
    }
    static double current_rate(const Flow& flow, Time now);
    bool admit_share(const RequestArrival& arrival, double admitted_share, Time now);

    struct GroupWork {
        double primary = 0;
        double replicas = 0;
    };

    Settings settings_;
    std::vector<Demand> classes_;
    std::unordered_map<std::uint64_t, Flow> flows_;
    std::unordered_map<std::uint32_t, double> utilization_;      // by host, averaged
    std::unordered_map<std::uint64_t, double> admitted_shares_;  // by flow; 1 for those not here
    std::unordered_map<std::string, Time> last_admitted_;        // by group, class and tenant
    bool shedding_ = false;
    std::uint64_t rejected_ = 0;
};

}  // namespace indigovane::site
