// Tests of LeaseNode: votes, claims and standby order together.
#include "ownership/lease_node.hpp"

#include <doctest/doctest.h>

namespace indigovane::ownership {
namespace {

constexpr LeaseId kLease{7};
constexpr Participant kSelf{NodeId{0}, 1};
constexpr Time kNow{seconds(100)};

Settings settings_with_voter(NodeId voter) {
    Settings settings;
    settings.voters = {voter};
    return settings;
}

LeaseNode node_with_voter(NodeId voter) {
    return {kSelf, settings_with_voter(voter), {}, [] { return 0.0; }, Time(seconds(0))};
}

// Makes the node the owner: its request and its own vote are delivered without delay.
void make_owner(LeaseNode& node) {
    node.set_members({NodeId{0}, NodeId{1}}, kNow);
    node.set_leases({kLease}, kNow);
    Time due = *node.next_due();
    auto request = std::get<LeaseRequest>(node.advance(due).send.at(0).message);
    auto reply = std::get<LeaseReply>(node.receive(request, due).send.at(0).message);
    node.receive(reply, due);
    REQUIRE(node.fencing_token(kLease, due));
}

TEST_CASE("lease node: a grant returns the record to store together with the reply") {
    LeaseNode node = node_with_voter(NodeId{0});
    Participant other{NodeId{1}, 1};

    NodeOutput output = node.receive(LeaseRequest{kLease, 1, other, 1}, kNow);

    REQUIRE(output.persist.size() == 1);
    CHECK(output.persist[0].holder == other);
    REQUIRE(output.send.size() == 1);
    CHECK(output.send[0].to == other.node);
}

TEST_CASE("lease node: a node that is not a voter does not reply to requests") {
    LeaseNode node = node_with_voter(NodeId{5});
    CHECK(!node.is_voter());
    CHECK(node.receive(LeaseRequest{kLease, 1, {NodeId{1}, 1}, 1}, kNow).send.empty());
}

TEST_CASE(
    "lease node: an owner keeps its lease when members change, and releases it to standby nodes at "
    "shutdown") {
    LeaseNode node = node_with_voter(NodeId{0});
    make_owner(node);

    node.set_members({NodeId{1}, NodeId{2}, NodeId{3}}, kNow);
    Time now = *node.next_due();
    CHECK(node.fencing_token(kLease, now));

    NodeOutput output = node.shut_down(now);
    CHECK(!node.fencing_token(kLease, now));
    CHECK(output.send.size() == 4);  // to the voter and three standby nodes
    CHECK(!node.next_due());
}

}  // namespace
}  // namespace indigovane::ownership
