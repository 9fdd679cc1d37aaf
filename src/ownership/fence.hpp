// At whoever is acted upon: of each duty the newest term that has acted, and who. What is older is refused,
// whatever its sender believes. This, and not the lease, is what keeps a late act from doing harm.
#pragma once

#include <map>

#include "ownership/types.hpp"

namespace indigovane::ownership {

struct Seen {
    Term term = 0;
    Participant owner{};
    auto operator<=>(const Seen&) const = default;
};

class Fence {
  public:
    explicit Fence(bool enabled = true) : enabled_(enabled) {}

    // Whether an act of this owner in this term counts. The same term from another party does not: voters
    // that have all lost their memory can give a term out again, and whoever acted first in it keeps it.
    bool accept(DutyId duty, Term term, const Participant& owner) {
        if (term == 0 || (seen_.size() >= kMostDuties && !seen_.count(duty))) return false;
        Seen& seen = seen_[duty];
        if (enabled_ && (term < seen.term || (term == seen.term && owner != seen.owner))) return false;
        seen = {term, owner};
        return true;
    }
    Seen highest(DutyId duty) const {
        auto it = seen_.find(duty);
        return it == seen_.end() ? Seen{} : it->second;
    }
    // From before a restart, where there is a disk.
    void restore(DutyId duty, Seen seen) { seen_[duty] = seen; }
    const std::map<DutyId, Seen>& all() const { return seen_; }

  private:
    bool enabled_;
    std::map<DutyId, Seen> seen_;
};

}  // namespace indigovane::ownership
