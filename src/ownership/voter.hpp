// Voter: to whom it has granted each lease, and until when. What it must not forget is returned with the
// reply that rests on it; the caller stores the one before it sends the other. Settings: lease_duration,
// wait_after_start. Source: docs/ownership.md.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "ownership/messages.hpp"
#include "ownership/settings.hpp"

namespace indigovane::ownership {

// What outlasts the process. The time of a grant does not: steady clocks begin anew.
struct GrantRecord {
    LeaseId lease{};
    Term term = 0;
    Participant holder{};
    bool released = false;  // nothing is granted in this term any more
    bool operator==(const GrantRecord&) const = default;
};

// Invariants: a lease's term never shrinks; within a term only one participant is ever granted anything;
// nothing is granted to another before the last grant has expired or was released.
class Voter {
  public:
    // `stored`: what the store holds. Whatever that is, nothing is granted before a lease's duration has
    // passed since `started`: an earlier grant may still be in force, also one that a disk which was rolled
    // back has lost.
    Voter(NodeId self, const Settings& settings, const std::vector<GrantRecord>& stored, Time started);

    struct Vote {
        std::optional<GrantRecord> persist;  // before the reply is sent; without a store: at once
        LeaseReply reply;
    };
    Vote vote(const LeaseRequest& request, Time now);

    // What is to be stored, if anything; nothing waits for it. A release that gets lost costs the others the
    // rest of the lease.
    std::optional<GrantRecord> release(const LeaseRelease& release);

    bool waits_after_start(Time now) const { return now < grants_from_; }

    struct Grant {
        GrantRecord record;
        Time expires{};
    };
    const std::map<LeaseId, Grant>& grants() const { return grants_; }

  private:
    NodeId self_;
    Settings settings_;
    Time grants_from_;
    std::map<LeaseId, Grant> grants_;
};

}  // namespace indigovane::ownership
