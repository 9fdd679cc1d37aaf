// Tests of LeaseClaims: how one node requests, owns, renews and releases a lease.
#include "ownership/lease_claims.hpp"

#include <doctest/doctest.h>

namespace indigovane::ownership {
namespace {

constexpr LeaseId kLease{7};
constexpr Participant kSelf{NodeId{9}, 1};

// A candidate with three voters and no random delays.
struct CandidateFixture {
    Settings settings = settings_with_three_voters();
    LeaseClaims claims{kSelf, settings, [] { return 0.0; }};
    Time now{seconds(100)};

    static Settings settings_with_three_voters() {
        Settings settings;
        settings.voters = {NodeId{0}, NodeId{1}, NodeId{2}};
        return settings;
    }
    LeaseRequest request() { return std::get<LeaseRequest>(claims.advance(now).messages.at(0)); }
    ClaimOutput reply(const LeaseRequest& request, NodeId voter, bool granted, Duration denied_for = {}) {
        return claims.receive(
            {kLease, request.term, voter, request.from, request.round, granted, request.term, denied_for},
            now);
    }
    void become_owner() {
        claims.stand_by(kLease, 0, now);
        LeaseRequest sent = request();
        reply(sent, NodeId{0}, true);
        reply(sent, NodeId{1}, true);
        REQUIRE(claims.fencing_token(kLease, now));
    }
    ClaimState state() const { return claims.claims().at(kLease).state; }
};

TEST_CASE("claims: a grant of a request sent before withdrawing is ignored after standing by again") {
    Settings settings;
    settings.voters = {NodeId{0}};
    LeaseClaims claims({NodeId{1}, 1}, settings, [] { return 0.0; });
    Time now{seconds(100)};
    claims.stand_by(kLease, 0, now);
    LeaseRequest first = std::get<LeaseRequest>(claims.advance(now).messages.at(0));
    claims.withdraw(kLease, now);
    now += seconds(60);
    claims.stand_by(kLease, 0, now);
    REQUIRE(claims.advance(now).messages.size() == 1);
    claims.receive({kLease, first.term, NodeId{0}, first.from, first.round, true, first.term, {}}, now);
    CHECK(!claims.fencing_token(kLease, now));
}

TEST_CASE("claims: a quorum of grants makes a candidate the owner, two grants of one voter do not") {
    CandidateFixture fixture;
    fixture.claims.stand_by(kLease, 0, fixture.now);
    LeaseRequest request = fixture.request();

    fixture.reply(request, NodeId{0}, true);
    fixture.reply(request, NodeId{0}, true);
    CHECK(!fixture.claims.fencing_token(kLease, fixture.now));

    fixture.reply(request, NodeId{1}, true);
    CHECK(fixture.claims.fencing_token(kLease, fixture.now) == FencingToken{1, kSelf});
}

TEST_CASE("claims: ownership counts from the request and ends before the voters' lease") {
    CandidateFixture fixture;
    fixture.claims.stand_by(kLease, 0, fixture.now);
    LeaseRequest request = fixture.request();
    Time sent = fixture.now;
    fixture.now += milliseconds(100);
    fixture.reply(request, NodeId{0}, true);
    fixture.reply(request, NodeId{1}, true);

    Time end = sent + fixture.settings.ownership_duration();
    CHECK(end < sent + fixture.settings.lease_duration);
    CHECK(fixture.claims.fencing_token(kLease, end - Duration(1)));
    CHECK(!fixture.claims.fencing_token(kLease, end));
}

TEST_CASE("claims: a candidate denied by too many voters waits until a quorum may grant the lease") {
    CandidateFixture fixture;
    fixture.claims.stand_by(kLease, 0, fixture.now);
    LeaseRequest request = fixture.request();

    fixture.reply(request, NodeId{0}, false, seconds(1));
    CHECK(fixture.state() == ClaimState::requesting);
    fixture.reply(request, NodeId{1}, false, seconds(2));
    CHECK(fixture.state() == ClaimState::waiting);
    CHECK(fixture.claims.next_due() == fixture.now + seconds(1));
}

TEST_CASE("claims: a higher standby rank waits longer") {
    CandidateFixture fixture;
    fixture.claims.stand_by(kLease, 2, fixture.now);
    CHECK(fixture.claims.next_due() == fixture.now + fixture.settings.standby_delay * 2);
}

TEST_CASE("claims: an owner whose act was rejected for a newer term stops and releases its lease") {
    CandidateFixture fixture;
    fixture.become_owner();

    ClaimOutput output = fixture.claims.record_rejection(kLease, 5, fixture.now);

    CHECK(!fixture.claims.fencing_token(kLease, fixture.now));
    REQUIRE(output.messages.size() == 1);
    CHECK(std::get<LeaseRelease>(output.messages[0]) == LeaseRelease{kLease, 1, kSelf, true});
    CHECK(fixture.request().term == 6);
}

TEST_CASE("claims: an owner that hands over requests again only after a lease's duration") {
    CandidateFixture fixture;
    fixture.become_owner();

    CHECK(fixture.claims.hand_over(kLease, fixture.now).messages.size() == 1);

    CHECK(fixture.state() == ClaimState::waiting);
    CHECK(fixture.claims.next_due() == fixture.now + fixture.settings.lease_duration);
}

}  // namespace
}  // namespace indigovane::ownership
