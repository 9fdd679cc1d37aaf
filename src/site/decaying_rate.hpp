// Rates of arrivals as exponentially decaying averages.
#pragma once

#include <cmath>

#include "site/types.hpp"

namespace indigovane::site {

constexpr Duration kRateTimeConstant = seconds(5);  // long enough for several requests of a small pooler
constexpr double kRatePerArrival = 1e6 / double(kRateTimeConstant.count());  // a second

// The factor by which a rate has decayed after `elapsed` without an arrival.
inline double rate_decay(Duration elapsed) {
    return std::exp(-double(elapsed.count()) / double(kRateTimeConstant.count()));
}

}  // namespace indigovane::site
