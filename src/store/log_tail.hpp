// Distinguishes a torn tail of the log, which a crash leaves, from damage. Source: docs/store.md, "Recovery".
// No I/O.
#pragma once

#include <cstdint>
#include <string_view>

namespace indigovane::store {

// The first bytes of each frame, used to find further frames after damage.
constexpr std::string_view kFrameStart("IGVF", 4);

enum class TailState : std::uint8_t {
    complete,  // the segment consists of complete frames
    torn,      // the remaining bytes were never known to be on disk, so never acknowledged: cut them off
    damaged,   // synced bytes differ from what was written
};

// Classifies the tail of an unsealed segment. `valid_length`: end of the complete frames that start at the
// beginning, in bytes. `synced_length`: number of bytes that were synced according to the manifest; 0 if
// unknown. If a frame after `valid_length` states that more bytes than that were durable when it was written,
// the segment is damaged.
TailState classify_tail(std::string_view segment, std::uint64_t store_number, std::uint64_t valid_length,
                        std::uint64_t synced_length);

}  // namespace indigovane::store
