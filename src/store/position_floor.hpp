// Decides which data positions reads must see after a restart of a pooler, depending on how the previous
// process ended. Source: docs/store.md, "Session positions that last". No I/O and no clock. Times are
// microseconds of the Unix clock.
#pragma once

#include <cstdint>
#include <string>

namespace indigovane::store {

// States which commits the last process acknowledged without a record on disk. The marker is kept where it
// survives the end of a process (memory-backed scratch) and is raised before the first acknowledgement that
// it concerns. docs/store.md calls it the witness. The values are those in its file.
enum class CrashMarker : std::uint8_t {
    none = 0,
    // A commit was acknowledged before the open write's record was on disk. The lease covers the commit.
    within_lease = 1,
    // Likewise, but after the end of the lease: only a floor at the present time covers the commit.
    beyond_lease = 2,
};

// What a starting process knows about the previous one.
struct PreviousRun {
    bool recovered = false;  // a store was recovered
    bool closed = false;     // the store was closed and holds everything that was acknowledged
    // The machine has not rebooted since: everything that was written and the marker still exist.
    bool same_boot = false;
    bool salvaged = false;  // records of the store may have been dropped
    CrashMarker marker = CrashMarker::none;
    std::uint64_t lease_until_us = 0;    // end of the last lease on disk
    std::uint64_t latest_commit_us = 0;  // latest commit in the store
    std::uint64_t floor_us = 0;          // floor of the previous start: commits that were lost then stay lost
};

// The oldest data position that reads may see.
struct PositionFloor {
    enum class Level : std::uint8_t {
        none,         // each session's own position is sufficient
        open_writes,  // sessions with an open write at the end must see the present
        lease,        // all sessions must see everything that the lease covered
        present,      // all sessions must see the present
    } level = Level::present;
    std::uint64_t floor_us = 0;       // for all sessions
    std::uint64_t open_write_us = 0;  // for sessions with an open write at the end
    std::string reason;               // why the level was chosen, for the log
};

// `slack_us`: how far a host's clock may be ahead of this machine's. `retention_us`: how long positions are
// retained.
PositionFloor decide_floor(const PreviousRun& previous, std::uint64_t now_us, std::uint64_t slack_us,
                           std::uint64_t retention_us);

}  // namespace indigovane::store
