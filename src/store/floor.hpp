// What the sessions of a pooler that starts again may trust: docs/store.md, "Session positions that last".
// Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace indigovane::store {

// Seen by the last process, and kept where a process's end does not lose it (memory-backed scratch): raised
// before the first acknowledgement that it is about.
enum class Witness : std::uint8_t {
    none,
    uncovered,  // a commit was acknowledged whose beginning was not written: the lease covers it
    lapsed,     // likewise, and past the lease: only the present does
};

struct Found {
    bool store = false;      // one was recovered
    bool clean = false;      // closed: all that was acknowledged is in it
    bool same_boot = false;  // the machine has run on since: what was written is there, and so is the witness
    bool salvaged = false;
    Witness witness = Witness::none;
    std::uint64_t lease_us = 0, latest_us = 0;  // Unix; the latest commit in it
    std::uint64_t floor_us = 0;                 // of the start before: what was lost then is lost still
};

struct Floor {
    enum class Level : std::uint8_t {
        none,         // each session's own position says all
        open_writes,  // only sessions with a write in hand at the end must see the present
        lease,        // all must see what the lease covered
        present,      // all must see the present
    } level = Level::present;
    std::uint64_t floor_us = 0;  // for all sessions
    std::uint64_t open_us = 0;   // for sessions with a write in hand at the end
    std::string why;
};

// `now_us`: Unix. `slack_us`: what a host's clock may be ahead of ours. `retention_us`: for how long
// positions are kept.
Floor decide(const Found& found, std::uint64_t now_us, std::uint64_t slack_us, std::uint64_t retention_us);

// Keeps the lease ahead of the present. The lease is a strict record; whoever acknowledges a commit that
// nothing else covers asks covers().
class Lease {
  public:
    Lease(std::uint64_t length_us) : length_(length_us) {}
    // The lease to be written now, if any.
    std::optional<std::uint64_t> due(std::uint64_t now_us);
    void written(std::uint64_t until_us) { until_ = until_us > until_ ? until_us : until_; }
    void refused() { asked_ = until_; }  // the disk fails: ask again
    bool covers(std::uint64_t commit_us) const { return commit_us <= until_; }
    std::uint64_t until() const { return until_; }

  private:
    std::uint64_t length_, until_ = 0, asked_ = 0;
};

}  // namespace indigovane::store
