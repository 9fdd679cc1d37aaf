// Standby order: which members stand by for a lease, and in which order they request it. Rendezvous hashing
// over a view of the members, so that leases are spread evenly and a member that leaves moves only its own.
// Advice only: two views may differ, which costs time, never an owner too many.
// Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998.
#pragma once

#include <vector>

#include "ownership/types.hpp"

namespace indigovane::ownership {

// The first `count` members for this lease; a position is a standby rank. Equal views give equal orders.
std::vector<NodeId> standby_order(LeaseId lease, const std::vector<NodeId>& members, std::size_t count);

}  // namespace indigovane::ownership
