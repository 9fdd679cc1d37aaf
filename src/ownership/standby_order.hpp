// Standby order: which members stand by for a lease, and in which order they request it. It is computed by
// rendezvous hashing over the members that a node knows, so that leases are spread evenly and only the leases
// of a member that leaves move. The order is advisory: if two nodes know different members, an election takes
// longer, but there is never more than one owner.
// Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998.
#pragma once

#include <vector>

#include "ownership/types.hpp"

namespace indigovane::ownership {

// Returns the first `count` members for this lease; the index of a member is its standby rank. The same
// members give the same result, whatever their order.
std::vector<NodeId> standby_order(LeaseId lease, const std::vector<NodeId>& members, std::size_t count);

}  // namespace indigovane::ownership
