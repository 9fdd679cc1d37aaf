// Simulates lease ownership: the real lease nodes of a fleet run in virtual time, on a network that delays,
// duplicates and loses datagrams, with clocks at different rates and nodes that crash or pause. An observer
// behind each lease's fence checks that a lease has at most one owner at a time, and that no act of an
// earlier owner is accepted after an act of a later one (docs/ownership.md).
//
// The simulation is deterministic: equal options give equal summaries.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/random.hpp"
#include "lab/timeline.hpp"
#include "ownership/fence.hpp"
#include "ownership/lease_node.hpp"

namespace indigovane::lab {

struct QuorumOptions {
    unsigned nodes = 10;
    // The first nodes are the voters.
    unsigned voters = 5;
    unsigned leases = 20;
    ownership::Settings settings;
    double duration_s = 60;
    // Shares of the datagrams that are lost and duplicated.
    double loss_share = 0;
    double duplication_share = 0;
    // Share of the datagrams and acts that arrive up to a minute late.
    double late_share = 0;
    // Limits of the network's delay.
    Duration min_delay = std::chrono::microseconds(1300);
    Duration max_delay = std::chrono::milliseconds(23);
    // Each owner acts under its lease at this interval.
    double act_interval_s = 0.25;
    // Intervals at which a random node crashes (and restarts with a new incarnation) or pauses; 0: never.
    double crash_interval_s = 0;
    double pause_interval_s = 0;
    // Length of a crash or pause.
    double outage_s = 5;
    // The stored grants of a node survive its crash.
    bool persistent = true;
    std::uint64_t seed = 1;
};

struct QuorumSummary {
    // The times for which leases had lost their owner, in seconds, ascending.
    std::vector<double> vacancies_s;
    // Number of times that a node became the owner of a lease.
    std::uint64_t acquisitions = 0;
    // Acquisitions by another node while the previous owner was neither crashed nor paused.
    std::uint64_t false_takeovers = 0;
    // Datagrams sent to other nodes.
    std::uint64_t messages = 0;
    std::uint64_t acts = 0;
    // Acts rejected by the fence.
    std::uint64_t rejected_acts = 0;
    // Breaches of the guarantee: a lease observed with more than one owner, and an act accepted with an older
    // or contested fencing token.
    std::uint64_t concurrent_owners = 0;
    std::uint64_t acts_out_of_order = 0;

    // Share of the observations of leases, after the first 10 s, in which the lease had an owner.
    double owned_share = 0;

    // Quantile of the vacancies in seconds; 0 if there is none.
    double vacancy_s(double quantile) const;
    // All figures in one line.
    std::string text() const;
};

QuorumSummary run(const QuorumOptions& options);

}  // namespace indigovane::lab
