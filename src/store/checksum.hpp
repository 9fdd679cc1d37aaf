// XXH3-64 checksums (https://xxhash.com) of one byte string or of consecutive pieces.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace indigovane::store {

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed = 0);

// The checksum of all added pieces, in order, with seed 0.
class Checksum {
  public:
    Checksum();
    ~Checksum();
    Checksum(const Checksum&) = delete;
    Checksum& operator=(const Checksum&) = delete;
    void add(std::string_view bytes);
    std::uint64_t value() const;

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace indigovane::store
