// Tests of Voter and Fence: which requests are granted, which acts are accepted, and that their memory is
// bounded.
#include "ownership/voter.hpp"

#include <doctest/doctest.h>

#include "ownership/fence.hpp"

namespace indigovane::ownership {
namespace {

constexpr LeaseId kLease{7};
constexpr Participant kFirst{NodeId{1}, 1};
constexpr Participant kSecond{NodeId{2}, 1};
constexpr Time kStarted{seconds(0)};
constexpr Time kNow{seconds(100)};

Voter started_voter(const std::vector<GrantRecord>& stored = {}) {
    return {NodeId{0}, Settings{}, stored, kStarted};
}

TEST_CASE("voter and fence: the number of leases is bounded, and known leases keep working at the bound") {
    Settings settings;
    Voter voter = started_voter();
    Fence fence;
    for (std::uint64_t id = 0; id < kMaxLeases + 10; ++id) {
        bool within_bound = id < kMaxLeases;
        CHECK(voter.vote({LeaseId{id}, 1, kFirst, 1}, kNow).reply.granted == within_bound);
        CHECK(fence.accept(LeaseId{id}, {2, kFirst}) == within_bound);
    }
    CHECK(!fence.accept(LeaseId{1}, {1, kSecond}));
    CHECK(!fence.accept(LeaseId{1}, {0, kFirst}));
    CHECK(fence.accept(LeaseId{1}, {3, kSecond}));
    CHECK(!voter.vote({LeaseId{1}, 2, kSecond, 1}, kNow).reply.granted);
    CHECK(voter.vote({LeaseId{1}, 2, kSecond, 1}, kNow + settings.lease_duration).reply.granted);
}

TEST_CASE("voter: grants nothing for a lease's duration after its start, and replies how long that lasts") {
    Voter voter = started_voter();
    Time last = kStarted + Settings{}.lease_duration - Duration(1);

    LeaseReply early = voter.vote({kLease, 1, kFirst, 1}, last).reply;
    CHECK(!early.granted);
    CHECK(early.denied_for == Duration(1));
    CHECK(voter.vote({kLease, 1, kFirst, 1}, last + Duration(1)).reply.granted);
}

TEST_CASE("voter: within a term only one participant is granted the lease, and renewals are not stored") {
    Voter voter = started_voter();
    CHECK(voter.vote({kLease, 1, kFirst, 1}, kNow).persist == GrantRecord{kLease, 1, kFirst, false});

    Time expired = kNow + Settings{}.lease_duration;
    CHECK(!voter.vote({kLease, 1, kSecond, 1}, expired).reply.granted);
    Voter::Vote renewal = voter.vote({kLease, 1, kFirst, 2}, expired);
    CHECK(renewal.reply.granted);
    CHECK(!renewal.persist);
}

TEST_CASE("voter: nothing is granted in a released term, and another participant need not wait") {
    Voter voter = started_voter();
    voter.vote({kLease, 1, kFirst, 1}, kNow);

    CHECK(!voter.release({kLease, 1, kSecond, true}));
    auto stored = voter.release({kLease, 1, kFirst, true});
    REQUIRE(stored);
    CHECK(stored->released);
    CHECK(!voter.vote({kLease, 1, kFirst, 2}, kNow).reply.granted);
    CHECK(voter.vote({kLease, 2, kSecond, 1}, kNow).reply.granted);
}

TEST_CASE("voter: after a restart the stored term is not granted to another participant") {
    Voter voter = started_voter({{kLease, 4, kFirst, false}});

    LeaseReply reply = voter.vote({kLease, 4, kSecond, 1}, kNow).reply;
    CHECK(!reply.granted);
    CHECK(reply.highest_term == 4);
    CHECK(voter.vote({kLease, 5, kSecond, 2}, kNow).reply.granted);
}

TEST_CASE("fence: within a term only the participant that acted first is accepted, even after a restart") {
    Fence fence;
    fence.restore(kLease, {3, kFirst});
    CHECK(fence.accept(kLease, {3, kFirst}));
    CHECK(!fence.accept(kLease, {3, kSecond}));
    CHECK(fence.highest(kLease) == FencingToken{3, kFirst});
}

}  // namespace
}  // namespace indigovane::ownership
