// Random numbers by counter (Philox 4x32-10: Salmon and others, "Parallel Random Numbers: As Easy as 1, 2,
// 3", 2011): a stream a part of the model, so that a change in one part shifts no other's numbers.
#pragma once

#include <Random123/philox.h>

#include <cmath>
#include <cstdint>

namespace indigovane::lab {

class Stream {
  public:
    // `part` and `number` name the stream: of hosts, the seventh.
    Stream(std::uint64_t seed, std::uint32_t part, std::uint32_t number = 0)
        : key_{{std::uint32_t(seed), std::uint32_t(seed >> 32)}}, counter_{{0, 0, part, number}} {}

    std::uint64_t next() {
        if (used_ == 2) {
            block_ = r123::Philox4x32()(counter_, key_);
            if (++counter_[0] == 0) ++counter_[1];
            used_ = 0;
        }
        std::uint64_t out =
            std::uint64_t(block_[std::size_t(used_) * 2]) << 32 | block_[std::size_t(used_) * 2 + 1];
        ++used_;
        return out;
    }
    double uniform() { return double(next() >> 11) * 0x1.0p-53; }  // from 0, below 1
    double between(double least, double most) { return least + (most - least) * uniform(); }
    std::size_t below(std::size_t n) { return std::size_t(uniform() * double(n)); }
    double exponential(double mean) { return -mean * std::log1p(-uniform()); }

  private:
    r123::Philox4x32::key_type key_;
    r123::Philox4x32::ctr_type counter_, block_{};
    int used_ = 2;
};

}  // namespace indigovane::lab
