// What sessions have written, kept so that it lasts: the users' side of floor.hpp. No I/O, no clock.
//
// Before a write leaves for a host, its session is noted as having one in hand. Mostly that is on disk long
// before the commit is acknowledged; if it is not even written then, the witness is raised first.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "store/floor.hpp"
#include "store/store.hpp"

namespace indigovane::store {

class Positions {
  public:
    struct Options {
        std::uint64_t retention_us = 600'000'000, slack_us = 100'000, lease_us = 500'000;
    };
    // `keep`: writes the witness down in place of what it was, at once; false where it can't be.
    Positions(Store& store, Options options, std::function<bool(Witness)> keep)
        : store_(store), options_(options), keep_witness_(std::move(keep)), lease_(options.lease_us) {}

    struct Start {
        Floor floor;
        std::vector<std::pair<std::uint64_t, std::uint64_t>>
            commits;           // session, position that its reads must see; oldest first
        std::size_t open = 0;  // of them with a write in hand at the end
    };
    // After recovery, before anything is served. `boot`: a name of the machine's run.
    Start start(bool recovered, bool salvaged, Witness witness, const std::string& boot,
                std::uint64_t now_us);

    void begun(std::uint64_t session, std::uint64_t now_us);
    // Before the client is told. What it returns holds for this commit: whether a crash right after is
    // covered by the store alone.
    bool committed(std::uint64_t session, std::uint64_t commit_us, std::uint64_t now_us);
    void ended(std::uint64_t session, std::uint64_t now_us);  // of each that has begun, committed or not
    void tick(std::uint64_t now_us);                          // often: twice a lease at least
    void closed();                                            // all is answered: the last records

    // Another process of this pooler may have raised it: it is lowered here once all that is known is on
    // disk.
    void also(Witness raised) { witness_ = witness_ > raised ? witness_ : raised; }
    Witness witness() const { return witness_; }
    const Lease& lease() const { return lease_; }

    // As it is stored: the commit in microseconds, and whether a write is in hand.
    static std::uint64_t value(std::uint64_t commit_us, bool open) { return commit_us << 1 | (open ? 1 : 0); }
    static std::uint64_t commit(std::uint64_t value) { return value >> 1; }
    static bool open(std::uint64_t value) { return value & 1; }

  private:
    struct InHand {
        unsigned count = 0;
        std::uint64_t ticket = 0;  // of the record that says so
    };
    void keep(std::uint64_t session, std::uint64_t commit_us, bool open, std::uint64_t now_us);

    Store& store_;
    Options options_;
    std::function<bool(Witness)> keep_witness_;
    Lease lease_;
    std::unordered_map<std::uint64_t, InHand> in_hand_;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> asked_;  // leases: ticket, until
    Witness witness_ = Witness::none, since_start_ = Witness::none;
    std::uint64_t uncovered_ = 0;  // ticket of the last commit that was acknowledged uncovered
    std::uint64_t started_ = 0;    // ticket of what a start wrote; 0: it is on disk
};

}  // namespace indigovane::store
