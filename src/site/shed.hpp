// What is let in while the rest of the fleet can't carry all: by what each group's replicas are heard to
// carry, and by the worth of classes for what they cost.
#pragma once

#include <unordered_map>

#include "site/fairness.hpp"
#include "site/plan.hpp"

namespace indigovane::site {

// Learns each class's rate and cost by group from this pooler's own traffic, and how busy the group's
// replicas are from what they tell; makes a plan of it when a site is lost.
class Shedder {
  public:
    Shedder(const Settings& settings, std::vector<Demand> classes) : set_(settings), classes_(classes) {}

    struct Arrival {
        GroupId group{};
        std::size_t request_class = 0;  // into `classes`
        std::string tenant;
        double draw = 0;              // uniform in [0, 1), handed in
        Duration response_timeout{};  // the time it has left; zero: not told
        bool repeat = false;          // its client asked before
    };
    // False: it is to be refused, at once.
    bool admit(const Arrival& arrival, Time now);
    void took(GroupId group, std::size_t request_class, Duration latency);  // an answer
    void busy(HostId host, double share);                                   // of its cores, as it tells
    // From now on; lifted where nothing is out. Hosts: all that the list has.
    void plan(const std::vector<Host>& hosts, const std::set<HostId>& out, Time now);
    void set(const Settings& settings) { set_ = settings; }
    void classes(std::vector<Demand> classes);

    std::uint64_t refused() const { return refused_; }
    // What is known now, for a plan that somebody asks for. Capacities are in this pooler's share.
    PlanInput input(const std::vector<Host>& hosts, Time now) const;

  private:
    struct Flow {
        double rate = 0;  // a second, decaying
        Time at{};
        double cost = 0;              // seconds, averaged
        Duration response_timeout{};  // the longest that came
        Arrivals arrivals;            // kept while anything is refused
    };
    std::uint64_t key(GroupId group, std::size_t request_class) const {
        return (std::uint64_t(group) << 16) | std::uint64_t(request_class);
    }
    double rate(const Flow& flow, Time now) const;

    Settings set_;
    std::vector<Demand> classes_;
    std::unordered_map<std::uint64_t, Flow> flows_;
    std::unordered_map<std::uint32_t, double> busy_;
    std::unordered_map<std::uint64_t, double> parts_;  // let in, by group and class; what is not here is
    std::unordered_map<std::string, Time> let_in_;     // by class and tenant: the last one
    bool shedding_ = false;
    std::uint64_t refused_ = 0;
};

// Further attempts of reads while a site is in doubt: as many as reads have earned, so that a loss does not
// double the load that is left. Writes are not counted: they are worth most, and their class binds them.
class RetryBudget {
  public:
    explicit RetryBudget(const Settings& settings) : set_(settings), credit_(settings.repeat_most) {}
    void earned() { credit_ = std::min(set_.repeat_most, credit_ + set_.repeat_income); }
    bool spend() {
        if (credit_ < 1 - 1e-9) return false;  // fifths add up to a little less than one
        credit_ -= 1;
        return true;
    }

    void set(const Settings& settings) { set_ = settings; }

  private:
    Settings set_;
    double credit_;
};

}  // namespace indigovane::site
