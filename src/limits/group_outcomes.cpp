#include "limits/group_outcomes.hpp"

#include <algorithm>
#include <cmath>

namespace indigovane::limits {

namespace {
constexpr double kMinOutcomes = 3;  // decayed; fewer say nothing
}  // namespace

DecayedOutcomes DecayedOutcomes::as_of(Time now) const {
    if (now <= at) return *this;
    auto factor = float(std::exp2(-double((now - at).count()) / double(kHalfLife.count())));
    return {outcomes * factor, timeouts * factor, took_us * factor, expected_us * factor, now};
}

void DecayedOutcomes::add(bool timed_out, Duration took, Duration expected, Time now) {
    *this = as_of(now);
    outcomes += 1;
    timeouts += timed_out ? 1 : 0;
    if (expected.count() > 0) {
        took_us += float(took.count());
        expected_us += float(expected.count());
    }
}

void GroupOutcomes::record(bool timed_out, Duration took, Duration expected, Time now) {
    all_.add(timed_out, took, expected, now);
}

double GroupOutcomes::others_timeout_rate(const DecayedOutcomes& own, Time now) const {
    DecayedOutcomes all = all_.as_of(now);
    DecayedOutcomes mine = own.as_of(now);
    double outcomes = all.outcomes - mine.outcomes;
    if (outcomes < kMinOutcomes) return 1;
    return std::clamp((all.timeouts - mine.timeouts) / outcomes, 0.0, 1.0);
}

double GroupOutcomes::others_slowdown(const DecayedOutcomes& own, Time now) const {
    DecayedOutcomes all = all_.as_of(now);
    DecayedOutcomes mine = own.as_of(now);
    if (all.outcomes - mine.outcomes < kMinOutcomes) return 1;
    if (all.expected_us - mine.expected_us < 1) return 1;
    return std::max(1.0, double(all.took_us - mine.took_us) / double(all.expected_us - mine.expected_us));
}

}  // namespace indigovane::limits
