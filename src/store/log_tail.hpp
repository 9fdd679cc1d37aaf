// How a torn log record is recognised, and told from damage: docs/store.md, "Recovery". Pure.
#pragma once

#include <cstdint>
#include <string_view>

namespace indigovane::store {

// How frames begin, as bytes: where to look for further ones behind damage.
constexpr std::string_view kFrameStart("IGVF", 4);

enum class TailState : std::uint8_t {
    complete,  // all bytes are complete frames
    torn,      // the rest was never known to be on disk, so never acknowledged: it may be cut off
    damaged,   // what was synced is not what was written
};

// Of an unsealed segment's bytes. `valid_length`: where its complete frames from the front end.
// `synced_length`: how much of it the manifest says was synced; 0: not known. A frame behind `valid_length`
// that says of itself that more than that was durable when it was written is proof of damage.
TailState classify_tail(std::string_view segment, std::uint64_t store, std::uint64_t valid_length,
                        std::uint64_t synced_length);

}  // namespace indigovane::store
