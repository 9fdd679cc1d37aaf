// Terms and settings of admission control by cost. It limits the work that tenants, groups and statement
// shapes may have in flight.
//
// The library only takes decisions: the caller passes events with their time and gets admission decisions
// back. There is no I/O, no clock, no randomness and no thread. Each object is used by one thread at a time.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace indigovane::limits {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Identifies the shape of a statement with 128 bits that the caller computes.
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

// Settings, with the names of their keys in the operators' file. Work is the time that a request keeps a host
// busy, as the pooler measures it: from sending the request to its answer.
struct Settings {
    bool enabled = false;
    Duration work = std::chrono::milliseconds(1500);  // maximum work in flight per group
    double reserve = 0.25;                            // fraction of `work` reserved for privileged requests
    std::size_t queue = 128;                          // maximum number of queued requests per group
    Duration wait = std::chrono::milliseconds(150);   // maximum time of a request in the queue

    std::map<std::string, double> shares;  // weight of each named tenant
    double other_share = 1;                // weight of all other tenants together

    std::size_t shapes = 8192;  // maximum number of shapes whose costs are retained
    double shape_share = 0.25;  // fraction of `work` that a costly shape may use
    // A shape with at least this mean duration is costly.
    Duration costly = std::chrono::milliseconds(250);
    // A shape is also costly if its mean is above this multiple of its baseline and at least `costlier_from`.
    double costlier = 5;
    Duration costlier_from = std::chrono::milliseconds(50);
    unsigned trial = 2;           // concurrency limit of a shape that is being learned
    unsigned trial_outcomes = 5;  // number of outcomes after which a shape is learned
    unsigned timeouts = 3;        // number of consecutive timeouts after which a shape is quarantined
    // Time until the first probe of a quarantined shape. Doubles with each failed probe, up to
    // `quarantine_most`.
    Duration quarantine = std::chrono::seconds(1);
    Duration quarantine_most = std::chrono::seconds(30);

    bool retry_after = true;  // rejections tell the client when to retry
    Duration max_retry_after = std::chrono::seconds(2);
};

// How a request ended, as the caller observed it.
enum class Outcome : std::uint8_t {
    served,
    failed,     // it ran or may have run, and failed
    timed_out,  // abandoned at its deadline: its duration is a lower bound of its cost
    never_ran,  // rejected after its admission: no evidence about its cost
    cancelled,  // its client left: its duration is a lower bound of its cost
};

}  // namespace indigovane::limits
