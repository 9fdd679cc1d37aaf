// A time on disk ahead of its use: commits up to it need no record of their own to be accounted for after a
// crash. Source: docs/store.md, "Session positions that last". Pure. Times are microseconds of the Unix
// clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace indigovane::store {

class CommitLease {
  public:
    explicit CommitLease(std::uint64_t length_us) : length_us_(length_us) {}

    // The end of the lease that is to be written now, as a strict record; nothing: none yet. Renewed every
    // half of its length.
    std::optional<std::uint64_t> renew(std::uint64_t now_us) {
        if (requested_until_us_ > now_us + length_us_ / 2) return std::nullopt;
        requested_until_us_ = now_us + length_us_;
        return requested_until_us_;
    }
    // A requested lease is on disk.
    void on_durable(std::uint64_t until_us) { until_us_ = std::max(until_us_, until_us); }
    // The disk fails: what was requested and is not on disk is requested again.
    void on_write_failed() { requested_until_us_ = until_us_; }

    bool covers(std::uint64_t commit_us) const { return commit_us <= until_us_; }

  private:
    std::uint64_t length_us_;
    std::uint64_t until_us_ = 0;
    std::uint64_t requested_until_us_ = 0;
};

}  // namespace indigovane::store
