// Admission control by cost: what tenants, groups and statement shapes may have in flight. Pure decisions:
// events with a time in, admission decisions out. No I/O, no clock, no randomness, no threads: an object is
// used by one thread at a time. This header: terms and settings.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace indigovane::limits {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// 128 bits that name a statement's shape, made by the caller.
struct ShapeId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const ShapeId&) const = default;
    auto operator<=>(const ShapeId&) const = default;
};
struct ShapeIdHash {
    std::size_t operator()(const ShapeId& shape) const {
        return std::size_t(shape.low ^ (shape.high * 0x9e3779b97f4a7c15u));
    }
};

// Work is the time that a request keeps a host busy, as seen from here: from its sending to its answer.
// Fields have the names of the settings' keys.
struct Settings {
    bool enabled = false;
    Duration work = std::chrono::milliseconds(1500);  // most work in flight per group
    double reserve = 0.25;                            // fraction of it for privileged requests only
    std::size_t queue = 128;                          // most queued requests per group
    Duration wait = std::chrono::milliseconds(150);   // longest time in the queue

    std::map<std::string, double> shares;  // weights by tenant; all other tenants share one weight
    double other_share = 1;                // the weight of all other tenants together

    std::size_t shapes = 8192;                         // most shapes whose costs are retained
    double shape_share = 0.25;                         // fraction of the work that a costly shape may use
    Duration costly = std::chrono::milliseconds(250);  // a shape of this mean or above is costly
    double costlier = 5;                               // so is one that costs this multiple of its baseline,
    Duration costlier_from = std::chrono::milliseconds(50);  // if its mean is this at least
    unsigned trial = 2;                                      // concurrency limit of a shape being learned
    unsigned trial_outcomes = 5;                             // outcomes after which a shape is learned
    unsigned timeouts = 3;                                   // consecutive time-outs that quarantine a shape
    Duration quarantine = std::chrono::seconds(1);           // until the first probe; doubles each time
    Duration quarantine_most = std::chrono::seconds(30);     // upper bound of the time between probes

    bool retry_after = true;  // rejections say when to come back
    Duration max_retry_after = std::chrono::seconds(2);
};

// How a request ended, as observed by the caller.
enum class Outcome : std::uint8_t {
    served,
    failed,     // it ran and failed, or may have run
    timed_out,  // given up at its deadline: a lower bound of its cost
    never_ran,  // rejected further on: says nothing about its cost
    cancelled,  // its client left: a lower bound of its cost
};

}  // namespace indigovane::limits
