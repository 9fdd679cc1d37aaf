// Fence, at whoever is acted upon: of each lease the newest fencing token that has acted. What is older is
// rejected, whatever its sender believes. This, and not the lease, keeps a late act from doing harm.
// Setting: fencing. Source: docs/ownership.md; Chubby's sequencers (types.hpp).
#pragma once

#include <map>

#include "ownership/types.hpp"

namespace indigovane::ownership {

// Invariants: a lease's term never shrinks; within a term only one participant's acts are accepted.
class Fence {
  public:
    explicit Fence(bool enabled = true) : enabled_(enabled) {}

    // Whether an act with this token counts; remembers it if so. The same term from another participant is
    // rejected: voters that have all lost their memory can grant a term again, and whoever acted first in it
    // keeps it.
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
    FencingToken highest(LeaseId lease) const {
        auto it = highest_.find(lease);
        return it == highest_.end() ? FencingToken{} : it->second;
    }
    // From before a restart, where there is a store.
    void restore(LeaseId lease, const FencingToken& token) { highest_[lease] = token; }
    const std::map<LeaseId, FencingToken>& tokens() const { return highest_; }

  private:
    bool enabled_;
    std::map<LeaseId, FencingToken> highest_;
};

}  // namespace indigovane::ownership
