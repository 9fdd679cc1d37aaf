// Failover plan: decides which hosts take the load of lost sites, and what is shed. It is used to show
// operators the effect of a loss in advance, and for load shedding during a loss. Equal input gives an equal
// plan.
//
// Work is in seconds of a core per second. Settings: max_utilization, min_class_share, protected_classes,
// tenant_shares. Source: docs/site-loss.md.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

// Demand of one class on one group.
struct Demand {
    GroupId group{};
    std::string request_class;
    bool needs_primary = false;  // only the primary of the group can serve the class
    double rate = 0;             // requests per second
    double cost = 0;             // seconds of work per request
    double priority_weight = 1;
    std::map<std::string, double> tenants = {};  // requests per second by tenant; empty: unknown
    // Seconds of work per second.
    double work() const { return rate * cost; }
};

// Hosts, demand and limits from which a plan is made.
struct PlanInput {
    std::vector<Host> hosts;  // Host::capacity is in seconds of work per second
    std::vector<Demand> demands;
    std::set<SiteId> lost_sites;
    std::set<HostId> excluded_hosts;              // hosts of other sites that are lost too
    std::vector<std::string> protected_classes;   // classes that are shed last, the most protected one first
    double max_utilization = 0.8;                 // maximum load of a host as a share of its capacity
    double min_class_share = 0.05;                // share of each class that is admitted before any gets more
    std::map<std::string, double> tenant_shares;  // weights; a tenant that is not named has weight 1
};

// Load of one host before and after the loss, in seconds of work per second like its capacity.
struct HostLoad {
    HostId host{};
    SiteId site{};
    GroupId group{};
    bool primary = false;
    bool is_lost = false;
    double capacity = 0;
    double load_before = 0;
    double load_after = 0;
};

// The share of one class that is admitted at one group.
struct AdmittedShare {
    GroupId group{};
    std::string request_class;
    bool needs_primary = false;
    unsigned rank = 0;                      // order of shedding; rank 0 is shed first
    double demanded_rate = 0;               // requests per second
    double admitted_share = 1;              // part of the demanded requests that is admitted, from 0 to 1
    std::map<std::string, double> tenants;  // admitted share of each tenant's requests
};

// Effect of the loss on one group. Capacities and work are in seconds of work per second.
struct GroupPlan {
    GroupId group{};
    bool primary_lost = false;  // writes wait until the successor of the primary is known
    double replica_capacity_before = 0;
    double replica_capacity_after = 0;
    double moved_work = 0;  // admitted work that moves to other hosts
    double shed_work = 0;   // work that no host takes
    // Load of a remaining replica as a multiple of its load before the loss, if nothing is shed.
    double load_ratio = 1;
};

struct Plan {
    std::vector<HostLoad> hosts;
    std::vector<AdmittedShare> shares;  // in the order in which they are shed
    std::map<GroupId, GroupPlan> groups;
    double weight_offered = 0;   // priority weight of all requests per second
    double weight_retained = 0;  // priority weight of the admitted requests per second
    // Returns 1 for a class that is not in the plan.
    double admitted_share(GroupId group, const std::string& request_class) const;
};

// Plans where the load of lost sites goes. Reads go to the remaining replicas of a group in equal parts. Work
// that needs the primary goes to the primary. Load never moves from one role to the other: reads of a group
// without replicas are shed. The work of a lost primary waits for its successor, which is assumed to be the
// remaining replica with the highest capacity. Invariant: if the hosts of a group have equal capacities and
// the group has lost a member, no host's load exceeds `max_utilization` of its capacity. Nothing is shed in
// groups that have lost no member.
Plan make_plan(const PlanInput& input);

// Order in which classes are shed. Unprotected classes come first, by priority weight per second of work,
// lowest first. Protected classes follow, the most protected one last.
bool is_shed_before(const Demand& a, const Demand& b, const std::vector<std::string>& protected_classes);

}  // namespace indigovane::site
