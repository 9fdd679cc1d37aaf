// Where the load of lost sites would go, and what would be refused: made before it is needed, from the same
// figures in peace (an operator's question) and in need. Pure arithmetic: equal input, equal plan.
#pragma once

#include <map>
#include <set>

#include "site/types.hpp"

namespace indigovane::site {

// One class's demand on one group. Work is in the hosts' own time: seconds of a core a second.
struct Demand {
    GroupId group{};
    std::string request_class;
    bool primary = false;  // only the primary takes it
    double rate = 0;       // requests a second
    double cost = 0;       // seconds of work each
    double priority_weight = 1;
    std::map<std::string, double> tenants = {};  // whose, requests a second; empty: not told
    double work() const { return rate * cost; }
};

struct PlanInput {
    std::vector<Host> hosts;  // capacity: seconds of work a second
    std::vector<Demand> demand;
    std::set<SiteId> lost;
    std::set<HostId> out;           // of other sites, likewise
    std::vector<std::string> last;  // refused last, the dearest first
    double ceiling = 0.8, floor = 0.05;
    std::map<std::string, double> shares;  // of tenants, 1 for those not named
};

struct HostLoad {
    HostId host{};
    SiteId site{};
    GroupId group{};
    bool primary = false, lost = false;
    double capacity = 0, before = 0, after = 0;  // work a second
};

// What is let in of one class at one group.
struct Share {
    GroupId group{};
    std::string request_class;
    bool primary = false;
    unsigned rank = 0;                      // 0: refused first
    double asked = 0;                       // requests a second
    double admit = 1;                       // part of them
    std::map<std::string, double> tenants;  // part of each one's
};

struct GroupPlan {
    GroupId group{};
    bool primary_lost = false;                       // no writes until another is known
    double replicas_before = 0, replicas_after = 0;  // their capacity
    double moved = 0;                                // work that goes to other sites
    double refused = 0;                              // work that nobody takes
    double load_ratio = 1;  // load of a remaining replica in this plan, as a multiple of what it had
};

struct Plan {
    std::vector<HostLoad> hosts;
    std::vector<Share> shares;  // in the order of refusal
    std::map<GroupId, GroupPlan> groups;
    double weight_offered = 0, weight_retained = 0;  // a second
    double admit(GroupId group, const std::string& request_class) const;
};

// Reads go to a group's replicas in equal parts, what needs the primary to the primary; refused, never
// spilled: reads of a group without replicas are refused as well. A lost primary's work waits for the next
// primary: the remaining replica of most capacity is reckoned with as such.
Plan make_plan(const PlanInput& input);

// The order in which classes are refused: those that `last` names last, the first of them dearest; others by
// worth for the work they cost. Lower goes first.
bool refused_before(const Demand& a, const Demand& b, const std::vector<std::string>& last);

}  // namespace indigovane::site
