// Random steps with a fixed seed: the same on every machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace indigovane::testing {

class Dice {
  public:
    explicit Dice(std::uint64_t seed) : engine_(seed) {}
    std::size_t below(std::size_t n) { return std::size_t(engine_() % n); }

  private:
    std::mt19937_64 engine_;
};

}  // namespace indigovane::testing
