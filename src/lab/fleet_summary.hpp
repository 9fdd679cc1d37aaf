// What became of an emulated run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/auditor.hpp"

namespace indigovane::lab {

struct FleetSummary {
    std::uint64_t requests = 0, served = 0, late = 0, refused = 0, failed = 0;
    std::uint64_t attempts = 0, health_checks = 0, connects = 0;
    double weight_offered = 0, weight_served = 0;
    std::uint64_t overloads = 0;            // of hosts that were warming up, by the auditor's rule
    std::vector<std::uint32_t> latency_us;  // of what was served; sorted
    struct Window {
        double weight_offered = 0, weight_served = 0;
    };
    std::vector<Window> windows;  // by second of the first attempt
    std::vector<Auditor::Breach> breaches;
    std::uint64_t events = 0, checks = 0;
    bool cut_short = false;  // by FleetOptions::max_events

    // Part of the weight offered in these seconds that was served.
    double served_between(double from_s, double to_s) const;
    // Seconds after `at_s` until at least `part` is served, and stays so for two more; -1: never.
    double seconds_until(double at_s, double part) const;
    // Part of all weight offered that was served in time.
    double goodput() const { return weight_offered > 0 ? weight_served / weight_offered : 1; }
    std::uint32_t latency(double quantile) const;  // microseconds
    std::string text() const;                      // every figure: equal runs have equal texts
};

}  // namespace indigovane::lab
