// Tests of standby_order(): which members stand by for a lease, and in which order.
#include "ownership/standby_order.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace indigovane::ownership {
namespace {

TEST_CASE("standby order: leases are spread evenly, and only the leases of a member that leaves move") {
    std::vector<NodeId> members;
    for (std::uint16_t n = 0; n < 20; ++n) members.push_back(NodeId{n});
    std::vector<NodeId> remaining(members.begin(), members.end() - 1);
    std::map<NodeId, int> leases_by_first;
    for (int i = 0; i < 2000; ++i) {
        LeaseId lease = lease_id("probe/host-" + std::to_string(i));
        std::vector<NodeId> before = standby_order(lease, members, 3);
        std::vector<NodeId> after = standby_order(lease, remaining, 3);
        ++leases_by_first[before[0]];
        if (before[0] != members.back()) CHECK(after[0] == before[0]);
    }
    for (const auto& [node, leases] : leases_by_first) CHECK((leases > 60 && leases < 145));
    CHECK(leases_by_first.size() == 20);
}

TEST_CASE("standby order: the order of the members does not matter, and few members give a short result") {
    LeaseId lease = lease_id("list");
    std::vector<NodeId> members{NodeId{1}, NodeId{2}};
    std::vector<NodeId> reversed_members{NodeId{2}, NodeId{1}};
    CHECK(standby_order(lease, members, 3) == standby_order(lease, reversed_members, 3));
    CHECK(standby_order(lease, members, 3).size() == 2);
}

}  // namespace
}  // namespace indigovane::ownership
