#include "ownership/settings.hpp"

#include <algorithm>

namespace indigovane::ownership {

Duration Settings::ownership_duration() const {
    double share = allow_for_drift ? (1 - max_clock_drift) / (1 + max_clock_drift) : 1;
    Duration by_own_clock(std::int64_t(double(lease_duration.count()) * share));
    return std::max(Duration::zero(), by_own_clock - safety_margin);
}

}  // namespace indigovane::ownership
