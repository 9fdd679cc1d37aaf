// Recent outcomes of a group of requests, with exponential decay. They distinguish a faulty shape from a
// fault that affects all shapes, such as a lost primary or an overloaded host.
#pragma once

#include "limits/types.hpp"

namespace indigovane::limits {

// Sums over outcomes that decay with a half-life of `kHalfLife`.
struct DecayedOutcomes {
    static constexpr Duration kHalfLife = std::chrono::seconds(3);

    float outcomes = 0;     // number of outcomes
    float timeouts = 0;     // number of timeouts among them
    float duration_us = 0;  // sum of the durations whose expected duration is known
    float expected_us = 0;  // sum of these expected durations
    Time updated_at{};

    // `expected` is the usual duration. If it is zero, it is unknown and neither duration is added.
    void add(bool timed_out, Duration duration, Duration expected, Time now);
    // Returns the sums decayed until `now`.
    DecayedOutcomes as_of(Time now) const;
};

class GroupOutcomes {
  public:
    void record(bool timed_out, Duration duration, Duration expected, Time now);

    // The following functions use all outcomes of the group except `own`, the outcomes of one shape.

    // Returns the fraction of the other outcomes that timed out, from 0 to 1. 1 if there are too few
    // outcomes.
    double others_timeout_rate(const DecayedOutcomes& own, Time now) const;
    // Returns the duration of the other requests as a multiple of their usual duration, at least 1. 1 if
    // there are too few outcomes.
    double others_slowdown(const DecayedOutcomes& own, Time now) const;

  private:
    DecayedOutcomes total_;
};

}  // namespace indigovane::limits
