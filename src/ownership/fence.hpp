// Fence: remembers, at the target of an owner's acts, the newest fencing token of each lease. It rejects acts
// with an older token, even if their sender still considers itself the owner. This check, and not the lease,
// keeps a late act from doing harm.
// Setting: fencing. Source: docs/ownership.md; Chubby's sequencers (types.hpp).
#pragma once

#include <map>

#include "ownership/types.hpp"

namespace indigovane::ownership {

// Invariants: a lease's term never decreases; within a term only one participant's acts are accepted.
class Fence {
  public:
    explicit Fence(bool enabled = true) : enabled_(enabled) {}

    // Returns whether an act with this token is accepted, and remembers the token if so. The same term from
    // another participant is rejected: voters that have all lost their stored grants can grant a term a
    // second time, and the participant that acted first in it keeps it.
    bool accept(LeaseId lease, const FencingToken& token) {
        if (token.term == 0) return false;
        if (highest_.size() >= kMaxLeases && !highest_.count(lease)) return false;
        FencingToken& highest = highest_[lease];
        bool stale = token.term < highest.term;
        bool contested = token.term == highest.term && token.owner != highest.owner;
        if (enabled_ && (stale || contested)) return false;
        highest = token;
        return true;
    }
    // The newest accepted token of the lease; term 0 if there is none.
    FencingToken highest(LeaseId lease) const {
        auto it = highest_.find(lease);
        return it == highest_.end() ? FencingToken{} : it->second;
    }
    // Restores a token that was accepted before a restart. Only for targets with a store.
    void restore(LeaseId lease, const FencingToken& token) { highest_[lease] = token; }
    const std::map<LeaseId, FencingToken>& tokens() const { return highest_; }

  private:
    bool enabled_;
    std::map<LeaseId, FencingToken> highest_;
};

}  // namespace indigovane::ownership
