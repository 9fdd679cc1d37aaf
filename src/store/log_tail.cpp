#include "store/log_tail.hpp"

#include "store/format.hpp"

namespace indigovane::store {

namespace {
bool is_durable_by_later_frame(std::string_view segment, std::uint64_t store_number,
                               std::uint64_t valid_length) {
    std::size_t offset = segment.find(kFrameStart, std::size_t(valid_length));
    while (offset != std::string_view::npos) {
        auto header = decode_frame_header(segment.substr(offset), store_number, offset);
        if (header && header->durable_length > valid_length) return true;
        offset = segment.find(kFrameStart, offset + 1);
    }
    return false;
}
}  // namespace

TailState classify_tail(std::string_view segment, std::uint64_t store_number, std::uint64_t valid_length,
                        std::uint64_t synced_length) {
    // This also detects a copy of the store whose manifest is newer than its segment.
    if (valid_length < synced_length) return TailState::damaged;
    if (valid_length == segment.size()) return TailState::complete;
    return is_durable_by_later_frame(segment, store_number, valid_length) ? TailState::damaged
                                                                          : TailState::torn;
}

}  // namespace indigovane::store
