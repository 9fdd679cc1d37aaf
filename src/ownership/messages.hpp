// Messages between candidates, owners and voters. A message may arrive late, more than once or never. The
// transport must verify that `from` is the sender.
#pragma once

#include <variant>

#include "ownership/types.hpp"

namespace indigovane::ownership {

// From a candidate or an owner to each voter. A request in the term that the sender owns is a renewal.
struct LeaseRequest {
    LeaseId lease{};
    Term term = 0;
    Participant from{};
    // Repeated in the reply, so that a late grant counts from the time when its round was sent.
    std::uint32_t round = 0;
    auto operator<=>(const LeaseRequest&) const = default;
};

// A voter's reply to a lease request.
struct LeaseReply {
    LeaseId lease{};
    Term term = 0;  // as in the request
    NodeId from{};
    Participant to{};
    std::uint32_t round = 0;
    bool granted = false;
    Term highest_term = 0;  // highest term of this lease that the voter knows
    // If not granted: the voter will not grant the lease for at least this long, by its own clock.
    Duration denied_for{};
    auto operator<=>(const LeaseReply&) const = default;
};

// From an owner that has stopped or a candidate that gives up. The sender does nothing in this term any more.
struct LeaseRelease {
    LeaseId lease{};
    Term term = 0;
    Participant from{};
    // True if the sender owned the lease: standby nodes then need not wait. From a candidate, the release
    // changes nothing for them.
    bool was_owner = false;
    auto operator<=>(const LeaseRelease&) const = default;
};

using Message = std::variant<LeaseRequest, LeaseReply, LeaseRelease>;

}  // namespace indigovane::ownership
