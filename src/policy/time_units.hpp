// Conversions between Duration (whole microseconds) and fractional milliseconds, the unit of the averages
// that the routing policy keeps.
#pragma once

#include <chrono>

#include "policy/types.hpp"

namespace indigovane::policy {

using Milliseconds = std::chrono::duration<double, std::milli>;

inline double to_milliseconds(Duration duration) {
    return Milliseconds(duration).count();
}

/// Rounds toward zero to whole microseconds.
inline Duration from_milliseconds(double milliseconds) {
    return std::chrono::duration_cast<Duration>(Milliseconds(milliseconds));
}

}  // namespace indigovane::policy
