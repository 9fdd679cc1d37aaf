// Positions: records the latest commit of each session so that it survives a crash. No I/O and no clock; used
// by the owner's thread. Times are microseconds of the Unix clock.
//
// Before a write is sent to a host, the store records that its session has an open write. That record is
// usually on disk long before the commit is acknowledged; if it is not, the crash marker is raised first.
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
        std::uint64_t retention_us = 600'000'000;  // how long positions are retained
        std::uint64_t slack_us = 100'000;          // how far a host's clock may be ahead of this machine's
        std::uint64_t lease_us = 500'000;          // length of a commit lease
    };
    // `write_marker`: replaces the stored crash marker immediately. Returns false on failure.
    Positions(Store& store, Options options, std::function<bool(CrashMarker)> write_marker)
        : store_(store),
          options_(options),
          write_marker_(std::move(write_marker)),
          lease_(options.lease_us) {}

    struct SessionCommit {
        std::uint64_t session = 0;
        std::uint64_t commit_us = 0;  // the session's reads must see this commit
    };
    struct Start {
        PositionFloor floor;
        std::vector<SessionCommit> commits;  // oldest first
        std::size_t open_writes = 0;  // number of sessions with an open write when the last process ended
    };
    // Called once, after recovery and before any request is served. `boot`: identifies the machine's boot.
    Start start(bool recovered, bool salvaged, CrashMarker marker, const std::string& boot,
                std::uint64_t now_us);

    // Called once at the start and once at the end of each write. write_committed() may be called in between.
    void write_started(std::uint64_t session, std::uint64_t now_us);
    // Called before the commit is acknowledged to the client. Returns whether the records on disk alone cover
    // the commit in case of a crash.
    bool write_committed(std::uint64_t session, std::uint64_t commit_us, std::uint64_t now_us);
    void write_ended(std::uint64_t session, std::uint64_t now_us);
    // Lowers the marker and renews the lease when due. Must be called at least twice per lease length.
    void tick(std::uint64_t now_us);
    // Records a clean end after all writes have ended. It is the last record.
    void mark_closed();

    // Records that another process of this pooler has raised the marker. This process lowers it once
    // everything it knows is on disk.
    void raise_marker(CrashMarker raised) { marker_ = std::max(marker_, raised); }
    CrashMarker marker() const { return marker_; }

    // Encodes a position's value as it is stored.
    static std::uint64_t encode(std::uint64_t commit_us, bool open_write) {
        return commit_us << 1 | (open_write ? 1 : 0);
    }
    static std::uint64_t commit_us(std::uint64_t value) { return value >> 1; }
    static bool has_open_write(std::uint64_t value) { return value & 1; }

  private:
    struct OpenWrites {
        unsigned count = 0;
        std::uint64_t ticket = 0;  // ticket of the record that states the open write
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
    std::vector<RequestedLease> requested_leases_;               // not on disk yet, oldest first
    CrashMarker marker_ = CrashMarker::none;                     // as last written
    CrashMarker needed_marker_ = CrashMarker::none;  // required by the commits that this process acknowledged
    std::uint64_t uncovered_ticket_ = 0;  // ticket of the last commit that no record on disk covered
    std::uint64_t start_ticket_ = 0;      // ticket of the records of start(); 0 once they are on disk
};

}  // namespace indigovane::store
