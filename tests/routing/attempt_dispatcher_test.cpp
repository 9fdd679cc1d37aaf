// AttemptDispatcher sends attempts, applies their deadlines and reports their outcomes. The connections are
// fakes that each test drives.
#include "routing/attempt_dispatcher.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using policy::AttemptStatus;

struct IgnoringDriver : Driver {
    void wake() override {}
    void alarm(std::optional<Time>) override {}
};

struct RecordingResponder : Responder {
    void on_answer(const Answer&) override { ++answers; }
    void on_final_error(const FinalError& ending) override { endings.push_back(ending.kind); }
    bool is_client_present() override { return is_present; }
    int answers = 0;
    std::vector<FinalError::Kind> endings;
    bool is_present = true;
};

// A dispatcher with two endpoints, and one request that is not idempotent.
struct DispatcherFixture {
    Clock clock;
    CoreLimits limits;
    policy::Settings settings;
    NullLogger logger;
    IgnoringDriver driver;
    FakeBackend backend;
    EventInbox inbox{driver};
    TimerQueue timers;
    RequestTable requests;
    ConnectionBudget budget{8, [] { return false; }, [] {}};
    EndpointRegistry endpoints{clock, [this](EndpointId id) {
                                   return std::make_unique<Pool>(id, backend, clock, 1s, dispatcher, budget);
                               }};
    PrimaryTracker primaries;
    RequestStatistics statistics;
    RequestLog log{logger, [](EndpointId) { return std::string(); }};
    RequestGuard guard{logger, [](EndpointId) { return std::string(); }};
    RequestCompletion completion{clock, settings, requests, inbox, guard, log, statistics};
    AttemptOutcomes outcomes{
        {clock, limits, settings, requests, endpoints, inbox, completion, primaries, guard, log, statistics}};
    policy::RoutingPolicy policy{settings, 1, clock.now()};
    AttemptDispatcher dispatcher{
        {clock, limits, requests, endpoints, timers, completion, outcomes, guard, log, statistics, policy}};
    RecordingResponder responder;
    RequestId request{};

    DispatcherFixture() {
        EndpointInfo first;
        first.uid = "s-0";
        EndpointInfo second;
        second.uid = "s-1";
        endpoints.apply(policy::EndpointListKind::full, {first, second});
        ClientRequest client_request;
        client_request.client_timeout = 10s;
        request = requests.add(std::move(client_request), responder, {}, clock.now());
    }
    void send(std::uint32_t endpoint) {
        policy::SendAttempt send;
        send.id = request;
        send.endpoint = EndpointId{endpoint};
        dispatcher.send(send);
    }
    FakeLink& connection(std::size_t number) { return *backend.links.at(number); }
    void establish(std::size_t number) { connection(number).owner->on_ready(connection(number)); }
    void answer(std::size_t number, AttemptStatus status) {
        AttemptResult result;
        result.status = status;
        connection(number).owner->on_result(connection(number), result);
    }
    PendingRequest& pending() { return *requests.find(request); }
    std::vector<AttemptStatus> take_reported_statuses() {
        std::vector<AttemptStatus> statuses;
        for (const policy::Event& event : inbox.take())
            if (auto* outcome = std::get_if<policy::AttemptOutcome>(&event))
                statuses.push_back(outcome->status);
        return statuses;
    }
};

}  // namespace

TEST_CASE("dispatch: the first answer goes to the client and ends the request") {
    DispatcherFixture fixture;
    fixture.send(0);
    fixture.establish(0);
    CHECK(fixture.connection(0).busy);

    fixture.answer(0, AttemptStatus::ok);

    CHECK(fixture.responder.answers == 1);
    CHECK(fixture.pending().finished);
    CHECK(fixture.take_reported_statuses() == std::vector{AttemptStatus::ok});
    CHECK(fixture.statistics.attempts == 1);
}

TEST_CASE("dispatch: a request that may have run and is not idempotent fails instead of being retried") {
    DispatcherFixture fixture;
    fixture.send(0);
    fixture.establish(0);
    fixture.answer(0, AttemptStatus::timeout);

    fixture.send(1);

    CHECK(fixture.backend.links.size() == 1);
    CHECK(fixture.responder.endings == std::vector{FinalError::Kind::failed});
    CHECK(fixture.take_reported_statuses() == std::vector{AttemptStatus::timeout, AttemptStatus::cancelled});
    CHECK(fixture.guard.violations()[std::size_t(Invariant::retry_if_idempotent)] == 1);
}

TEST_CASE("dispatch: a second attempt while one is in flight is blocked, and the first continues") {
    DispatcherFixture fixture;
    fixture.send(0);
    fixture.establish(0);

    fixture.send(1);
    CHECK(fixture.guard.violations()[std::size_t(Invariant::single_attempt)] == 1);
    CHECK(fixture.take_reported_statuses() == std::vector{AttemptStatus::not_started});
    fixture.answer(0, AttemptStatus::ok);

    CHECK(fixture.responder.answers == 1);
}

TEST_CASE("dispatch: at its deadline an attempt without a connection is not started, else it times out") {
    DispatcherFixture fixture;
    fixture.send(0);
    fixture.dispatcher.deadline_expired({EndpointId{0}, fixture.pending().attempts[0].task});
    CHECK(fixture.take_reported_statuses() == std::vector{AttemptStatus::not_started});

    fixture.establish(0);  // the connection is idle, and the next attempt uses it
    fixture.send(0);
    CHECK(fixture.connection(0).busy);
    fixture.dispatcher.deadline_expired({EndpointId{0}, fixture.pending().attempts[1].task});
    CHECK(fixture.take_reported_statuses() == std::vector{AttemptStatus::timeout});
    CHECK(fixture.connection(0).closed);
}

TEST_CASE("dispatch: an endpoint is unreachable if the connection is not established in time") {
    DispatcherFixture fixture;
    fixture.send(0);

    fixture.dispatcher.start_deadline_expired({EndpointId{0}, fixture.pending().attempts[0].task});

    CHECK(fixture.take_reported_statuses() == std::vector{AttemptStatus::unreachable});
}

TEST_CASE("dispatch: an attempt is not sent if its client left while it waited for a connection") {
    DispatcherFixture fixture;
    fixture.send(0);
    fixture.responder.is_present = false;

    fixture.establish(0);

    CHECK(!fixture.connection(0).busy);
    CHECK(fixture.statistics.clients_left == 1);
    CHECK(fixture.take_reported_statuses() == std::vector{AttemptStatus::cancelled});
    CHECK(fixture.pending().finished);
}

TEST_CASE("dispatch: an endpoint has at most one health check in flight, which fails at its deadline") {
    DispatcherFixture fixture;
    fixture.dispatcher.check_health(EndpointId{0});
    fixture.dispatcher.check_health(EndpointId{0});
    CHECK(fixture.statistics.health_checks == 1);

    fixture.dispatcher.deadline_expired(
        {EndpointId{0}, *fixture.endpoints.find(EndpointId{0})->health_check});

    CHECK(fixture.statistics.health_checks_failed == 1);
    CHECK(!fixture.endpoints.find(EndpointId{0})->health_check);
}

}  // namespace indigovane::testing
