// CommitLease: a time in the future that is written to disk in advance. After a crash, commits up to that
// time are accounted for by the lease and need no record of their own. Source: docs/store.md, "Session
// positions that last". No I/O and no clock. Times are microseconds of the Unix clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace indigovane::store {

class CommitLease {
  public:
    explicit CommitLease(std::uint64_t length_us) : length_us_(length_us) {}

    // Returns the end of a new lease, which the caller must write as a strict record, or nothing if no
    // renewal is due. A lease is renewed after half of its length.
    std::optional<std::uint64_t> renew(std::uint64_t now_us) {
        if (requested_until_us_ > now_us + length_us_ / 2) return std::nullopt;
        requested_until_us_ = now_us + length_us_;
        return requested_until_us_;
    }
    // Records that a requested lease is on disk.
    void on_durable(std::uint64_t until_us) { until_us_ = std::max(until_us_, until_us); }
    // Records a disk failure: a lease that was requested but is not on disk will be requested again.
    void on_write_failed() { requested_until_us_ = until_us_; }

    // Returns whether the lease on disk accounts for a commit at that time.
    bool covers(std::uint64_t commit_us) const { return commit_us <= until_us_; }

  private:
    std::uint64_t length_us_;
    std::uint64_t until_us_ = 0;
    std::uint64_t requested_until_us_ = 0;
};

}  // namespace indigovane::store
