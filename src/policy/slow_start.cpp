#include "policy/slow_start.hpp"

#include <algorithm>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

/// Share of the load that would break the endpoint down. The margin is there because random draws
/// cluster and hosts differ.
constexpr double kSafetyFactor = 0.56;

}  // namespace

double available_share(Time started, const Settings& settings, Time now) {
    double initial = settings.slow_start_share.value_or(0);
    double multiple = settings.overload_multiple.value_or(0);
    double factor = kSafetyFactor * (multiple > 0 ? multiple : 1);  // zero means unknown
    double progress =
        std::max(0.0, to_milliseconds(now - started) / to_milliseconds(*settings.slow_start_ramp));
    return factor * (initial + (1 - initial) * progress);
}

}  // namespace indigovane::policy
