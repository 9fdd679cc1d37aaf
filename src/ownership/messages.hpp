// Messages between candidates, owners and voters. Each may arrive late, more than once or never. The
// transport has to see to it that `from` is the sender.
#pragma once

#include <variant>

#include "ownership/types.hpp"

namespace indigovane::ownership {

// A candidate's or an owner's to each voter. In the term that it owns: a renewal.
struct LeaseRequest {
    LeaseId lease{};
    Term term = 0;
    Participant from{};
    std::uint32_t round = 0;  // repeated in the reply: a late one counts from when its round was sent
    auto operator<=>(const LeaseRequest&) const = default;
};

// A voter's answer.
struct LeaseReply {
    LeaseId lease{};
    Term term = 0;  // as requested
    NodeId from{};
    Participant to{};
    std::uint32_t round = 0;
    bool granted = false;
    Term highest_term = 0;  // that the voter knows of
    Duration denied_for{};  // not granted: for so long at least it will not be, by the voter's clock
    auto operator<=>(const LeaseReply&) const = default;
};

// An owner's that has stopped, or a candidate's that gives up: nothing is done in this term any more.
struct LeaseRelease {
    LeaseId lease{};
    Term term = 0;
    Participant from{};
    bool was_owner = false;  // standby nodes need not wait; else nothing has changed for them
    auto operator<=>(const LeaseRelease&) const = default;
};

using Message = std::variant<LeaseRequest, LeaseReply, LeaseRelease>;

}  // namespace indigovane::ownership
