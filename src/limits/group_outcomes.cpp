#include "limits/group_outcomes.hpp"

#include <algorithm>
#include <cmath>

namespace indigovane::limits {

namespace {
constexpr double kMinOutcomes = 3;  // decayed outcomes; fewer are too few for a comparison
}  // namespace

DecayedOutcomes DecayedOutcomes::as_of(Time now) const {
    if (now <= updated_at) return *this;
    auto factor = float(std::exp2(-double((now - updated_at).count()) / double(kHalfLife.count())));
    return {outcomes * factor, timeouts * factor, duration_us * factor, expected_us * factor, now};
}

void DecayedOutcomes::add(bool timed_out, Duration duration, Duration expected, Time now) {
    *this = as_of(now);
    outcomes += 1;
    timeouts += timed_out ? 1 : 0;
    if (expected.count() > 0) {
        duration_us += float(duration.count());
        expected_us += float(expected.count());
    }
}

void GroupOutcomes::record(bool timed_out, Duration duration, Duration expected, Time now) {
    total_.add(timed_out, duration, expected, now);
}

double GroupOutcomes::others_timeout_rate(const DecayedOutcomes& own, Time now) const {
    DecayedOutcomes total = total_.as_of(now);
    DecayedOutcomes own_now = own.as_of(now);
    double outcomes = total.outcomes - own_now.outcomes;
    if (outcomes < kMinOutcomes) return 1;
    return std::clamp((total.timeouts - own_now.timeouts) / outcomes, 0.0, 1.0);
}

double GroupOutcomes::others_slowdown(const DecayedOutcomes& own, Time now) const {
    DecayedOutcomes total = total_.as_of(now);
    DecayedOutcomes own_now = own.as_of(now);
    if (total.outcomes - own_now.outcomes < kMinOutcomes) return 1;
    if (total.expected_us - own_now.expected_us < 1) return 1;
    return std::max(1.0, double(total.duration_us - own_now.duration_us) /
                             double(total.expected_us - own_now.expected_us));
}

}  // namespace indigovane::limits
