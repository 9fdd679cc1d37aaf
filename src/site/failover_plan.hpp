// Failover plan: where the load of lost sites goes, and what is shed. The same for an operator's question
// beforehand and for load shedding during a loss. Pure arithmetic: equal input, equal plan.
//
// Work is in the hosts' own time: seconds of a core a second. Settings: max_utilization, min_class_share,
// protected_classes, tenant_shares. Source: docs/site-loss.md.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

// One class's demand on one group.
struct Demand {
    GroupId group{};
    std::string request_class;
    bool primary = false;  // only the primary serves it
    double rate = 0;       // requests a second
    double cost = 0;       // seconds of work for each
    double priority_weight = 1;
    std::map<std::string, double> tenants = {};  // requests a second by tenant; empty: not known
    double work() const { return rate * cost; }
};

struct PlanInput {
    std::vector<Host> hosts;  // capacity: seconds of work a second
    std::vector<Demand> demand;
    std::set<SiteId> lost;
    std::set<HostId> excluded;                    // of other sites, lost likewise
    std::vector<std::string> protected_classes;   // shed last, the most protected first
    double max_utilization = 0.8;                 // of a host's capacity
    double min_class_share = 0.05;                // of each class, admitted before any class gets more
    std::map<std::string, double> tenant_shares;  // weights; 1 for those not named
};

struct HostLoad {
    HostId host{};
    SiteId site{};
    GroupId group{};
    bool primary = false;
    bool lost = false;
    double capacity = 0;  // work a second, as the two below
    double before = 0;
    double after = 0;
};

// What is admitted of one class at one group.
struct AdmittedShare {
    GroupId group{};
    std::string request_class;
    bool primary = false;
    unsigned rank = 0;                      // 0: shed first
    double demanded = 0;                    // requests a second
    double admitted = 1;                    // part of them
    std::map<std::string, double> tenants;  // part admitted of each one's
};

struct GroupPlan {
    GroupId group{};
    bool primary_lost = false;  // writes wait until another is known
    double replica_capacity_before = 0;
    double replica_capacity_after = 0;
    double moved = 0;       // work that goes to other sites
    double shed = 0;        // work that no host takes
    double load_ratio = 1;  // load of a remaining replica, as a multiple of what it had
};

struct Plan {
    std::vector<HostLoad> hosts;
    std::vector<AdmittedShare> shares;  // in the order in which they are shed
    std::map<GroupId, GroupPlan> groups;
    double weight_offered = 0;   // priority weight a second
    double weight_retained = 0;  // of this, admitted
    // 1 for a class that the plan does not know.
    double admitted_share(GroupId group, const std::string& request_class) const;
};

// Where a lost site's load is sent. Reads go to a group's remaining replicas in equal parts; what needs the
// primary goes to the primary. Load is never spilled from one role to the other: reads of a group without
// replicas are shed. A lost primary's work waits for its successor, taken to be the remaining replica of most
// capacity. Invariant: in a group that has lost a member, no host's load exceeds `max_utilization` of its
// capacity while capacities within the group are equal; in other groups nothing is shed.
Plan make_plan(const PlanInput& input);

// The order in which classes are shed: unprotected ones by priority weight for the work they cost, lowest
// first; then the protected ones, the most protected last.
bool is_shed_before(const Demand& a, const Demand& b, const std::vector<std::string>& protected_classes);

}  // namespace indigovane::site
