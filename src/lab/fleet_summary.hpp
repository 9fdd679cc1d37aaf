// The results of an emulated run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/auditor.hpp"

namespace indigovane::lab {

struct FleetSummary {
    // Requests, each counted once whatever its retries. Late ones are served after the latency objective.
    std::uint64_t requests = 0, served = 0, late = 0, rejected = 0, failed = 0;
    std::uint64_t attempts = 0, health_checks = 0, connects = 0;
    // Sums of priority weights. A late answer earns only the late share of its weight.
    double weight_offered = 0, weight_served = 0;
    // Breaches of the auditor's rule against the overload of hosts in slow start.
    std::uint64_t overloads = 0;
    // Latencies of the requests served, from the client's first attempt, ascending.
    std::vector<std::uint32_t> latency_us;
    struct Window {
        double weight_offered = 0, weight_served = 0;
    };
    // One window for each second of the run. A request counts in the second of its first attempt.
    std::vector<Window> windows;
    std::vector<Auditor::Breach> breaches;
    std::uint64_t events = 0, checks = 0;
    // The run was ended early by FleetOptions::max_events.
    bool was_cut_short = false;

    // Share of the weight offered in the seconds [from_s, to_s) that was served; 1 if none was offered.
    double served_between(double from_s, double to_s) const;
    // Seconds from `at_s` to the first second in which at least this share of the weight offered is served,
    // and also over the three seconds that start with it; -1 if there is none.
    double seconds_until(double at_s, double share) const;
    // Share of all weight offered that was served. Late answers count with their late share.
    double goodput() const { return weight_offered > 0 ? weight_served / weight_offered : 1; }
    // Quantile of the latencies in microseconds; 0 if no request was served.
    std::uint32_t latency(double quantile) const;
    // All figures of the run. Equal runs have equal texts.
    std::string text() const;
};

}  // namespace indigovane::lab
