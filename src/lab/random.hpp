// Counter-based random numbers (Philox 4x32-10: Salmon and others, "Parallel Random Numbers: As Easy as 1, 2,
// 3", 2011). Each part of the model has its own stream, so that a change in one part does not change the
// numbers that other parts draw.
#pragma once

#include <Random123/philox.h>

#include <cmath>
#include <cstdint>

namespace indigovane::lab {

class RandomStream {
  public:
    // `model_part` and `number` select the stream, for example that of node 7 in the part for nodes.
    RandomStream(std::uint64_t seed, std::uint32_t model_part, std::uint32_t number = 0)
        : key_{{std::uint32_t(seed), std::uint32_t(seed >> 32)}}, counter_{{0, 0, model_part, number}} {}

    // Returns 64 random bits.
    std::uint64_t next() {
        if (used_values_ == 2) {
            block_ = r123::Philox4x32()(counter_, key_);
            if (++counter_[0] == 0) ++counter_[1];
            used_values_ = 0;
        }
        std::uint64_t value = std::uint64_t(block_[std::size_t(used_values_) * 2]) << 32 |
                              block_[std::size_t(used_values_) * 2 + 1];
        ++used_values_;
        return value;
    }
    // Returns a number in [0, 1).
    double uniform() { return double(next() >> 11) * 0x1.0p-53; }
    // Returns a number in [min, max).
    double between(double min, double max) { return min + (max - min) * uniform(); }
    // Returns a whole number in [0, limit).
    std::size_t below(std::size_t limit) { return std::size_t(uniform() * double(limit)); }
    // Returns an exponentially distributed number.
    double exponential(double mean) { return -mean * std::log1p(-uniform()); }

  private:
    r123::Philox4x32::key_type key_;
    r123::Philox4x32::ctr_type counter_, block_{};
    // Number of the block's two 64-bit values that have been returned.
    int used_values_ = 2;
};

}  // namespace indigovane::lab
