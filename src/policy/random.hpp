// The module's one sequence of random draws. Every draw advances it, so their order is part of the
// behaviour.
#pragma once

#include <random>

namespace indigovane::policy {

using Random = std::mt19937_64;

/// Uniform in [0, 1), of 53 bits.
inline double uniform(Random& random) {
    return double(random() >> 11) * 0x1.0p-53;
}

}  // namespace indigovane::policy
