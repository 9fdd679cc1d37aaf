// The routing policy's one random number generator. Each draw advances it, so that the order of the draws is
// part of the behaviour: recorded runs depend on it.
#pragma once

#include <random>

namespace indigovane::policy {

using Random = std::mt19937_64;

/// Uniform in [0, 1), with 53 random bits. Draws one random number.
inline double uniform(Random& random) {
    return double(random() >> 11) * 0x1.0p-53;
}

}  // namespace indigovane::policy
