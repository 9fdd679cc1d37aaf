#include "store/checksum.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::store {

struct Checksum::State {
    XXH3_state_t xxh3;
};

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Checksum::Checksum() : state_(std::make_unique<State>()) {
    XXH3_64bits_reset(&state_->xxh3);
}
Checksum::~Checksum() = default;

void Checksum::add(std::string_view bytes) {
    XXH3_64bits_update(&state_->xxh3, bytes.data(), bytes.size());
}
std::uint64_t Checksum::value() const {
    return XXH3_64bits_digest(&state_->xxh3);
}

}  // namespace indigovane::store
