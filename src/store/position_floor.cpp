#include "store/position_floor.hpp"

#include <algorithm>

namespace indigovane::store {

PositionFloor decide_floor(const PreviousRun& previous, std::uint64_t now_us, std::uint64_t slack_us,
                           std::uint64_t retention_us) {
    // If the clock stepped back since the previous process, `now_us` may be earlier than acknowledged
    // commits.
    std::uint64_t present_us = now_us;
    if (previous.recovered)
        present_us = std::max({now_us, previous.latest_commit_us, previous.lease_until_us});
    present_us += slack_us;
    // Older positions have been forgotten: a session that wrote before then looks like one that never wrote.
    std::uint64_t forgotten_us = now_us > retention_us ? now_us - retention_us : 0;
    auto floor = [&](PositionFloor::Level level, std::uint64_t floor_us, const char* reason) {
        return PositionFloor{level, std::max({floor_us, forgotten_us, previous.floor_us}), present_us,
                             reason};
    };
    using Level = PositionFloor::Level;
    if (!previous.recovered) return floor(Level::present, present_us, "there is no store yet");
    if (previous.salvaged)
        return floor(Level::present, present_us,
                     "the store was salvaged: commits may be among the dropped records");
    // This also applies to a closed store: a process that could write nothing may have served since then, and
    // its marker is lost.
    if (!previous.same_boot)
        return floor(Level::present, present_us, "the machine has rebooted: unsynced writes may be lost");
    switch (previous.marker) {
        case CrashMarker::none:
            if (previous.closed) return floor(Level::none, 0, "the store was closed");
            return floor(Level::open_writes, 0, "every write in flight at the end is known");
        case CrashMarker::within_lease:
            return floor(Level::lease, previous.lease_until_us + slack_us,
                         "commits were acknowledged before they were on disk; the lease covers them");
        case CrashMarker::beyond_lease:
            break;
    }
    return floor(Level::present, present_us,
                 "commits were acknowledged that neither the disk nor the lease covers");
}

}  // namespace indigovane::store
