// Voter: decides on lease requests and remembers to whom it has granted each lease, and until when. With a
// reply it returns the record that must survive a restart; the caller stores the record before it sends the
// reply. Settings: lease_duration, wait_after_start. Source: docs/ownership.md.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "ownership/messages.hpp"
#include "ownership/settings.hpp"

namespace indigovane::ownership {

// The part of a grant that is stored. Its expiry is not stored, because a steady clock starts anew.
struct GrantRecord {
    LeaseId lease{};
    Term term = 0;
    Participant holder{};
    bool released = false;  // if true, nothing is granted in this term any more
    bool operator==(const GrantRecord&) const = default;
};

// Invariants: a lease's term never decreases; within a term only one participant is ever granted the lease;
// no other participant is granted the lease before the last grant has expired or was released.
class Voter {
  public:
    // `stored`: the stored records. Regardless of them, nothing is granted until a lease's duration has
    // passed since `started`: an earlier grant may still be in force, even one that was lost when the disk
    // was rolled back.
    Voter(NodeId self, const Settings& settings, const std::vector<GrantRecord>& stored, Time started);

    struct Vote {
        // To be stored before the reply is sent. Without a store the reply is sent at once.
        std::optional<GrantRecord> persist;
        LeaseReply reply;
    };
    Vote vote(const LeaseRequest& request, Time now);

    // Returns the record to be stored, if any; nothing has to wait until it is stored. If a release is lost,
    // other candidates wait until the lease expires.
    std::optional<GrantRecord> release(const LeaseRelease& release);

    // True while nothing is granted because the voter has just started.
    bool waits_after_start(Time now) const { return now < grants_from_; }

    struct Grant {
        GrantRecord record;
        Time expires{};
    };
    const std::map<LeaseId, Grant>& grants() const { return grants_; }

  private:
    NodeId self_;
    Settings settings_;
    Time grants_from_;  // no grant before this time
    std::map<LeaseId, Grant> grants_;
};

}  // namespace indigovane::ownership
