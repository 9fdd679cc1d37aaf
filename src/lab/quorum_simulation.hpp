// Simulation of ownership: the real lease nodes of a fleet in virtual time, on a network that delays,
// duplicates and loses datagrams, with clocks at different rates and nodes that crash or pause. An observer
// behind each lease's fence checks the guarantee of docs/ownership.md.
//
// Deterministic: equal options give equal summaries.
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
    unsigned voters = 5;  // the first of the nodes
    unsigned leases = 20;
    ownership::Settings settings;
    double duration_s = 60;
    double loss_share = 0;         // of datagrams
    double duplication_share = 0;  // of datagrams
    double late_share = 0;         // of datagrams and acts: up to a minute late
    Duration min_delay = std::chrono::microseconds(1300);
    Duration max_delay = std::chrono::milliseconds(23);
    double act_interval_s = 0.25;
    // A node chosen at random crashes (and restarts with another incarnation) or pauses; 0: never.
    double crash_interval_s = 0;
    double pause_interval_s = 0;
    double outage_s = 5;     // of either
    bool persistent = true;  // stores outlast a crash
    std::uint64_t seed = 1;
};

struct QuorumSummary {
    std::vector<double> vacancies_s;    // each time that a lease had lost its owner; ascending
    std::uint64_t acquisitions = 0;     // changes to owner
    std::uint64_t false_takeovers = 0;  // of these, while the previous owner was well and had not released it
    std::uint64_t messages = 0;
    std::uint64_t acts = 0;
    std::uint64_t rejected_acts = 0;  // by the fence
    // Breaches of the guarantee.
    std::uint64_t concurrent_owners = 0;
    std::uint64_t acts_out_of_order = 0;

    double owned_share = 0;  // of all leases' time, after the first 10 s

    double vacancy_s(double quantile) const;  // 0 without any
    std::string text() const;                 // one line, all figures
};

QuorumSummary run(const QuorumOptions& options);

}  // namespace indigovane::lab
