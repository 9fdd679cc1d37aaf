// What sessions have written, so that it outlasts a crash. No I/O, no clock; used by the owner's thread.
// Times are microseconds of the Unix clock.
//
// Before a write leaves for a host, its session is noted as having an open write. Mostly that note is on disk
// long before the commit is acknowledged; if it is not, the crash marker is raised first.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "store/commit_lease.hpp"
#include "store/position_floor.hpp"
#include "store/store.hpp"

namespace indigovane::store {

class Positions {
  public:
    struct Options {
        std::uint64_t retention_us = 600'000'000;
        std::uint64_t slack_us = 100'000;  // what a host's clock may be ahead of ours
        std::uint64_t lease_us = 500'000;
    };
    // `write_marker`: replaces the marker, at once; false where that fails.
    Positions(Store& store, Options options, std::function<bool(CrashMarker)> write_marker)
        : store_(store),
          options_(options),
          write_marker_(std::move(write_marker)),
          lease_(options.lease_us) {}

    struct SessionCommit {
        std::uint64_t session = 0;
        std::uint64_t commit_us = 0;  // that the session's reads must see
    };
    struct Start {
        PositionFloor floor;
        std::vector<SessionCommit> commits;  // the oldest first
        std::size_t open_writes = 0;         // sessions with an open write at the end of the last process
    };
    // Once, after recovery and before anything is served. `boot`: a name of the machine's run.
    Start start(bool recovered, bool salvaged, CrashMarker marker, const std::string& boot,
                std::uint64_t now_us);

    // Each write is started and ended once; it may be committed in between.
    void write_started(std::uint64_t session, std::uint64_t now_us);
    // Before the client is told. Whether the records on disk alone cover this commit, should a crash follow.
    bool write_committed(std::uint64_t session, std::uint64_t commit_us, std::uint64_t now_us);
    void write_ended(std::uint64_t session, std::uint64_t now_us);
    // At least twice per lease length.
    void tick(std::uint64_t now_us);
    // All writes have ended: the last record.
    void mark_closed();

    // Another process of this pooler has raised the marker: it is lowered here once all that is known is on
    // disk.
    void raise_marker(CrashMarker raised) { marker_ = std::max(marker_, raised); }
    CrashMarker marker() const { return marker_; }

    // A position's value as it is stored.
    static std::uint64_t encode(std::uint64_t commit_us, bool open_write) {
        return commit_us << 1 | (open_write ? 1 : 0);
    }
    static std::uint64_t commit_us(std::uint64_t value) { return value >> 1; }
    static bool has_open_write(std::uint64_t value) { return value & 1; }

  private:
    struct OpenWrites {
        unsigned count = 0;
        std::uint64_t ticket = 0;  // of the record that notes them
    };
    struct RequestedLease {
        std::uint64_t ticket = 0;
        std::uint64_t until_us = 0;
    };
    PreviousRun previous_run(bool recovered, bool salvaged, CrashMarker marker,
                             const std::string& boot) const;
    void put_position(std::uint64_t session, std::uint64_t commit_us, bool open_write, std::uint64_t now_us);
    std::uint64_t last_commit_us(std::uint64_t session) const;
    void lower_marker();
    void renew_lease(std::uint64_t now_us);

    Store& store_;
    Options options_;
    std::function<bool(CrashMarker)> write_marker_;
    CommitLease lease_;
    std::unordered_map<std::uint64_t, OpenWrites> open_writes_;  // by session
    std::vector<RequestedLease> requested_leases_;               // not on disk yet, the oldest first
    CrashMarker marker_ = CrashMarker::none;                     // as it is written
    CrashMarker needed_marker_ = CrashMarker::none;              // by what this process acknowledged
    std::uint64_t uncovered_ticket_ = 0;  // of the last commit that was acknowledged uncovered
    std::uint64_t start_ticket_ = 0;      // of what start() wrote; 0: it is on disk
};

}  // namespace indigovane::store
