// One voter: whom it has promised each duty to, and until when. What it must not forget goes out with the
// answer that rests on it; whoever carries messages stores the one before it sends the other.
#pragma once

#include <map>
#include <optional>

#include "ownership/types.hpp"

namespace indigovane::ownership {

// What outlasts the process. The time of a promise does not: steady clocks begin anew.
struct Promise {
    DutyId duty{};
    Term term = 0;
    Participant holder{};
    bool released = false;  // nothing is granted in this term any more
    bool operator==(const Promise&) const = default;
};

// Invariants: a duty's term never shrinks; within a term only one party is ever granted anything; nothing is
// granted to another party before the last grant has lapsed or was released.
class Voter {
  public:
    // `kept`: what the store holds. Whatever that is, nothing is granted before a lease has passed since the
    // start: a promise of before it may stand still, also one that a disk which was rolled back has lost.
    Voter(NodeId self, const Settings& settings, const std::vector<Promise>& kept, Time started);

    struct Reply {
        std::optional<Promise> keep;  // on disk before the answer leaves; where there is no disk: at once
        LeaseReply answer;
    };
    Reply ask(const LeaseRequest& ask, Time now);
    // What is to be kept, if anything; nothing waits for it. A release that gets lost costs a lease's wait.
    std::optional<Promise> release(const LeaseRelease& release);

    bool sits_out(Time now) const { return now < awake_; }
    struct Grant {
        Promise promise;
        Time until{};
    };
    const std::map<DutyId, Grant>& held() const { return grants_; }

  private:
    NodeId self_;
    Settings set_;
    Time awake_;
    std::map<DutyId, Grant> grants_;
};

}  // namespace indigovane::ownership
