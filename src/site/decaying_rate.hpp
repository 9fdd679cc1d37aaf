// Arrival rates as exponentially decaying averages, in arrivals per second.
#pragma once

#include <cmath>

#include "site/types.hpp"

namespace indigovane::site {

// Long enough for a pooler with little traffic to receive several requests.
constexpr Duration kRateTimeConstant = seconds(5);
// By how much one arrival raises a rate, in arrivals per second.
constexpr double kRatePerArrival = 1e6 / double(kRateTimeConstant.count());

// Factor by which a rate has decayed after `elapsed` without an arrival.
inline double rate_decay(Duration elapsed) {
    return std::exp(-double(elapsed.count()) / double(kRateTimeConstant.count()));
}

}  // namespace indigovane::site
