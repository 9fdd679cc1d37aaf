#include "store/position_floor.hpp"

#include <algorithm>

namespace indigovane::store {

PositionFloor decide_floor(const PreviousRun& previous, std::uint64_t now_us, std::uint64_t slack_us,
                           std::uint64_t retention_us) {
    // A clock that has stepped back across the start would make "now" earlier than commits that were
    // acknowledged.
    std::uint64_t present_us = now_us;
    if (previous.recovered) present_us = std::max({now_us, previous.latest_commit_us, previous.lease_us});
    present_us += slack_us;
    // What is older has been forgotten: no session that wrote before then can be told from one that never
    // did.
    std::uint64_t forgotten_us = now_us > retention_us ? now_us - retention_us : 0;
    auto floor = [&](PositionFloor::Level level, std::uint64_t floor_us, const char* why) {
        return PositionFloor{level, std::max({floor_us, forgotten_us, previous.floor_us}), present_us, why};
    };
    using Level = PositionFloor::Level;
    if (!previous.recovered) return floor(Level::is_client_present, present_us, "there is no store yet");
    if (previous.salvaged)
        return floor(Level::is_client_present, present_us,
                     "it was salvaged: commits may be among what was dropped");
    // Also of one that was closed: a process may have served since that could write nothing, and its marker
    // is gone.
    if (!previous.same_boot)
        return floor(Level::is_client_present, present_us,
                     "the machine has started anew: what was not synced is unknown");
    switch (previous.marker) {
        case CrashMarker::none:
            if (previous.closed) return floor(Level::none, 0, "it was closed");
            return floor(Level::open_writes, 0, "each write in hand at the end is known");
        case CrashMarker::within_lease:
            return floor(Level::lease, previous.lease_us + slack_us,
                         "the disk was late; the lease covers it");
        case CrashMarker::beyond_lease:
            break;
    }
    return floor(Level::is_client_present, present_us, "the disk failed before the end");
}

}  // namespace indigovane::store
