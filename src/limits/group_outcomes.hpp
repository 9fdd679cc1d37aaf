// Recent outcomes of a group of requests, with exponential decay. They tell a faulty shape from a fault that
// affects every shape alike, such as a lost primary or an overloaded host.
#pragma once

#include "limits/types.hpp"

namespace indigovane::limits {

// Sums with a half-life of kHalfLife, as of `at`. Durations in microseconds.
struct DecayedOutcomes {
    static constexpr Duration kHalfLife = std::chrono::seconds(3);

    float outcomes = 0;
    float timeouts = 0;
    float took_us = 0;
    float expected_us = 0;
    Time at{};

    // `expected`: the usual duration; zero where it is not known, then neither duration counts.
    void add(bool timed_out, Duration took, Duration expected, Time now);
    DecayedOutcomes as_of(Time now) const;
};

class GroupOutcomes {
  public:
    void record(bool timed_out, Duration took, Duration expected, Time now);

    // Both compare with all outcomes of the group except `own`, those of one shape.

    // The fraction that timed out, 0 to 1; 1 where there are too few outcomes to tell.
    double others_timeout_rate(const DecayedOutcomes& own, Time now) const;
    // How many times their usual duration the others take; at least 1, and 1 where there are too few to tell.
    double others_slowdown(const DecayedOutcomes& own, Time now) const;

  private:
    DecayedOutcomes all_;
};

}  // namespace indigovane::limits
