// Limits by cost: what laundries, groups and shapes may have in flight. Pure decisions: events with a time
// in, verdicts out. No I/O, no clock, no randomness. This header: terms and settings.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace indigovane::limits {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// 128 bits that name a statement's shape; who makes them is not this package's concern.
struct ShapeId {
    std::uint64_t high = 0, low = 0;
    bool operator==(const ShapeId&) const = default;
    auto operator<=>(const ShapeId&) const = default;
};
struct ShapeIdHash {
    std::size_t operator()(const ShapeId& s) const {
        return std::size_t(s.low ^ (s.high * 0x9e3779b97f4a7c15u));
    }
};

// Work is time that a request keeps a host busy, as seen from here: from its sending to its answer.
struct Settings {
    bool enabled = false;
    Duration work = std::chrono::milliseconds(1500);  // in flight a group at most
    double reserve = 0.25;                            // of it, which only writes and session reads may use
    std::size_t queue = 128;                          // requests that wait in a group at most
    Duration wait = std::chrono::milliseconds(150);   // each at most

    std::map<std::string, double> shares;  // laundries' weights; all others have one share together
    double other_share = 1;                // theirs

    std::size_t shapes = 8192;                         // whose costs are kept
    double shape_share = 0.25;                         // of the work that a costly shape may have in flight
    Duration costly = std::chrono::milliseconds(250);  // a mean from here is costly
    double costlier = 5;                               // or that many times what it was
    Duration costlier_from = std::chrono::milliseconds(50);
    unsigned trial = 2, trial_outcomes = 5;  // at once, until so many outcomes are known
    unsigned timeouts = 3;                   // in a row quarantine a shape
    Duration quarantine = std::chrono::seconds(1), quarantine_most = std::chrono::seconds(30);

    bool retry_after = true;
    Duration max_retry_after = std::chrono::seconds(2);
};

// How a request ended.
enum class End : std::uint8_t {
    served,
    failed,     // it ran and failed, or may have
    timed_out,  // given up: it took that long at least
    never_ran,  // refused further on: tells nothing of its cost
    withdrawn,  // its client left: it took that long at least
};

}  // namespace indigovane::limits
