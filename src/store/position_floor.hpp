// What the sessions of a pooler that starts again may trust: docs/store.md, "Session positions that last".
// Pure. Times are microseconds of the Unix clock.
#pragma once

#include <cstdint>
#include <string>

namespace indigovane::store {

// What the last process acknowledged without a record on disk. It is retained where a process's end does not
// lose it (memory-backed scratch) and raised before the first acknowledgement that it is about: the witness
// of docs/store.md. The values are those of its file.
enum class CrashMarker : std::uint8_t {
    none = 0,
    within_lease = 1,  // a commit whose write's beginning was not on disk; the lease covers it
    beyond_lease = 2,  // likewise, past the lease: only the present covers it
};

// What a start finds of the process before it.
struct PreviousRun {
    bool recovered = false;  // there is a store
    bool closed = false;     // all that was acknowledged is in it
    bool same_boot = false;  // the machine has run on since: what was written is there, and so is the marker
    bool salvaged = false;
    CrashMarker marker = CrashMarker::none;
    std::uint64_t lease_us = 0;
    std::uint64_t latest_commit_us = 0;  // in the store
    std::uint64_t floor_us = 0;          // of the start before: what was lost then is lost still
};

// The position that reads have to see at least.
struct PositionFloor {
    enum class Level : std::uint8_t {
        none,               // each session's own position says all
        open_writes,        // only sessions with an open write at the end must see the present
        lease,              // all must see what the lease covered
        is_client_present,  // all must see the present
    } level = Level::is_client_present;
    std::uint64_t floor_us = 0;       // for all sessions
    std::uint64_t open_write_us = 0;  // for sessions with an open write at the end
    std::string why;
};

// `slack_us`: what a host's clock may be ahead of ours. `retention_us`: for how long positions are retained.
PositionFloor decide_floor(const PreviousRun& previous, std::uint64_t now_us, std::uint64_t slack_us,
                           std::uint64_t retention_us);

}  // namespace indigovane::store
