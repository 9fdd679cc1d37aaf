#include "store/log_tail.hpp"

#include "store/format.hpp"

namespace indigovane::store {

namespace {
bool later_frame_knew_it_durable(std::string_view segment, std::uint64_t store, std::uint64_t valid_length) {
    std::size_t offset = segment.find(kFrameStart, std::size_t(valid_length));
    while (offset != std::string_view::npos) {
        auto header = decode_frame_header(segment.substr(offset), store, offset);
        if (header && header->durable > valid_length) return true;
        offset = segment.find(kFrameStart, offset + 1);
    }
    return false;
}
}  // namespace

TailState classify_tail(std::string_view segment, std::uint64_t store, std::uint64_t valid_length,
                        std::uint64_t synced_length) {
    // Also finds out a copy that took the manifest later than the segment.
    if (valid_length < synced_length) return TailState::damaged;
    if (valid_length == segment.size()) return TailState::complete;
    return later_frame_knew_it_durable(segment, store, valid_length) ? TailState::damaged : TailState::torn;
}

}  // namespace indigovane::store
