// What holds at the moment of a send. A read that waited for a connection was sent to a replica whose data
// had been recent enough only when the policy chose it.
#include <doctest/doctest.h>

#include <variant>

#include "policy/fixtures.hpp"
#include "policy/routing_policy.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

namespace {

constexpr EndpointId kPrimary{0}, kReplica{1}, kOtherReplica{2};
constexpr Duration kBound = 300ms;

/// A policy before a primary and two replicas, which answer from what they have unless `check` says
/// otherwise.
struct Fixture {
    explicit Fixture(Consistency consistency, StalenessCheck check = StalenessCheck::none,
                     std::uint32_t max_attempts = 4)
        : policy(make_settings(consistency, check, max_attempts), 1, now) {
        EndpointList list{EndpointListKind::full, {list_entry(0, true), list_entry(1), list_entry(2)}};
        handle(list);
    }
    static Settings make_settings(Consistency consistency, StalenessCheck check, std::uint32_t max_attempts) {
        Settings settings;
        settings.may_check_health = true;
        settings.staleness_check = check;
        settings.token_source = TokenSource::remembered;
        settings.max_attempts = max_attempts;
        settings.classes = {class_settings(consistency), class_settings(Consistency::write)};
        return settings;
    }
    void handle(const Event& event) {
        actions.clear();
        policy.handle(now, event, actions);
    }
    void report(EndpointId endpoint, Duration lag, bool is_primary = false) {
        HealthCheckResult result;
        result.endpoint = endpoint;
        result.status = AttemptStatus::ok;
        result.report.position = now - lag;
        result.report.primary = is_primary;
        handle(result);
    }
    /// The endpoint to which the last event's actions send the request; absent: none.
    std::optional<EndpointId> sent_to() const {
        for (const Action& action : actions)
            if (auto* send = std::get_if<SendAttempt>(&action)) return send->endpoint;
        return std::nullopt;
    }
    std::optional<Time> position() const {
        for (const Action& action : actions)
            if (auto* send = std::get_if<SendAttempt>(&action)) return send->required_position;
        return std::nullopt;
    }
    void arrive() {
        RequestArrival arrival;
        arrival.id = kRequest;
        arrival.request_class = ClassId{0};
        arrival.group = GroupId{1};
        arrival.client_timeout = 1s;
        arrival.session = SessionKey{3};
        handle(arrival);
    }
    void end_attempt(EndpointId endpoint, AttemptStatus status) {
        AttemptOutcome outcome;
        outcome.id = kRequest;
        outcome.attempt = attempts++;
        outcome.endpoint = endpoint;
        outcome.status = status;
        handle(outcome);
    }
    SendCheck check(EndpointId endpoint, std::optional<Time> decided = std::nullopt) {
        return policy.check_send(kRequest, endpoint, decided, now);
    }

    static constexpr RequestId kRequest{9};
    Time now = kStart;
    RoutingPolicy policy;
    Actions actions;
    std::uint32_t attempts = 0;
};

}  // namespace

TEST_CASE("send check: the staleness bound counts from the send, not from the decision") {
    Fixture fixture(Consistency::bounded);
    fixture.report(kReplica, 250ms);
    fixture.arrive();
    REQUIRE(fixture.sent_to() == kReplica);
    CHECK(fixture.check(kReplica).is_allowed);
    fixture.now += 50ms;  // the data is exactly as old as it may be
    CHECK(fixture.check(kReplica).is_allowed);
    CHECK(fixture.check(kReplica).required_position == fixture.now - kBound);
    fixture.now += 1ms;
    CHECK_FALSE(fixture.check(kReplica).is_allowed);
}

TEST_CASE("send check: a position that was reported while the read waited counts") {
    Fixture fixture(Consistency::bounded);
    fixture.report(kReplica, 250ms);
    fixture.arrive();
    REQUIRE(fixture.sent_to() == kReplica);
    fixture.now += 145ms;
    fixture.report(kReplica, 100ms);
    CHECK(fixture.check(kReplica).is_allowed);
}

TEST_CASE("send check: a disqualified read goes to another replica that can serve it in time") {
    Fixture fixture(Consistency::bounded);
    fixture.report(kReplica, 250ms);
    fixture.arrive();
    REQUIRE(fixture.sent_to() == kReplica);
    fixture.now += 145ms;
    fixture.report(kOtherReplica, 20ms);
    REQUIRE_FALSE(fixture.check(kReplica).is_allowed);
    fixture.end_attempt(kReplica, AttemptStatus::disqualified);
    CHECK(fixture.sent_to() == kOtherReplica);
    CHECK(fixture.check(kOtherReplica).is_allowed);
}

TEST_CASE("send check: a disqualified attempt costs no attempt, and its replica may serve the read later") {
    Fixture fixture(Consistency::bounded, StalenessCheck::none, 1);
    fixture.report(kReplica, 250ms);
    fixture.arrive();
    REQUIRE(fixture.sent_to() == kReplica);
    fixture.now += 145ms;
    fixture.end_attempt(kReplica, AttemptStatus::disqualified);
    CHECK(fixture.sent_to() == std::nullopt);
    CHECK(std::ranges::none_of(
        fixture.actions, [](const Action& action) { return std::holds_alternative<RejectRequest>(action); }));
    fixture.now += 10ms;
    fixture.report(kReplica, 50ms);
    CHECK(fixture.sent_to() == kReplica);
}

TEST_CASE("send check: a session read is not sent to a replica that may lack a commit answered meanwhile") {
    Fixture fixture(Consistency::session);
    fixture.report(kReplica, 10ms);
    fixture.arrive();
    REQUIRE(fixture.sent_to() == kReplica);
    CHECK(fixture.check(kReplica).is_allowed);
    fixture.now += 20ms;
    Time commit = fixture.now;
    CHECK_FALSE(fixture.check(kReplica, commit).is_allowed);
    CHECK(fixture.check(kReplica, commit).required_position == commit);
    CHECK(fixture.check(kPrimary, commit).is_allowed);
    fixture.now += 20ms;
    fixture.report(kReplica, 10ms);
    CHECK(fixture.check(kReplica, commit).is_allowed);
}

TEST_CASE("send check: what needs the primary is not sent to one that has lost its role meanwhile") {
    for (Consistency consistency : {Consistency::fresh, Consistency::write}) {
        Fixture fixture(consistency);
        fixture.report(kPrimary, 0ms, true);
        fixture.arrive();
        REQUIRE(fixture.sent_to() == kPrimary);
        CHECK(fixture.check(kPrimary).is_allowed);
        fixture.now += 30ms;
        fixture.report(kReplica, 0ms, true);
        CHECK_FALSE(fixture.check(kPrimary).is_allowed);
        fixture.end_attempt(kPrimary, AttemptStatus::disqualified);
        CHECK(fixture.sent_to() == kReplica);
    }
}

// Hosts that check staleness wait for the log, or reject the read: refusing here would cost reads they serve.
TEST_CASE("send check: where endpoints check staleness they decide") {
    Fixture fixture(Consistency::bounded, StalenessCheck::wait);
    fixture.report(kReplica, 250ms);
    fixture.arrive();
    REQUIRE(fixture.sent_to().has_value());
    fixture.now += 145ms;
    CHECK(fixture.check(kReplica).is_allowed);
    CHECK(fixture.check(kReplica).required_position == fixture.now - kBound);
}
