// Sends, deadlines and outcomes of attempts, with connections that only do what a test brings about.
#include "routing/attempt_dispatcher.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using policy::AttemptStatus;

struct QuietDriver : Driver {
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

// Two endpoints, and requests whose class forbids that they run twice.
struct Rig {
    Clock clock;
    CoreLimits limits;
    policy::Settings settings;
    NullLogger logger;
    QuietDriver driver;
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
    AttemptDispatcher dispatcher{
        {clock, limits, requests, endpoints, timers, completion, outcomes, guard, log, statistics}};
    RecordingResponder responder;
    RequestId request{};

    Rig() {
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
    std::vector<AttemptStatus> reported() {
        std::vector<AttemptStatus> statuses;
        for (const policy::Event& event : inbox.take())
            if (auto* outcome = std::get_if<policy::AttemptOutcome>(&event))
                statuses.push_back(outcome->status);
        return statuses;
    }
};

}  // namespace

TEST_CASE("dispatch: the first answer goes to the client and ends the request") {
    Rig rig;
    rig.send(0);
    rig.establish(0);
    CHECK(rig.connection(0).busy);

    rig.answer(0, AttemptStatus::ok);

    CHECK(rig.responder.answers == 1);
    CHECK(rig.pending().finished);
    CHECK(rig.reported() == std::vector{AttemptStatus::ok});
    CHECK(rig.statistics.attempts == 1);
}

TEST_CASE("dispatch: what may have run is not sent again, and fails") {
    Rig rig;
    rig.send(0);
    rig.establish(0);
    rig.answer(0, AttemptStatus::timeout);

    rig.send(1);

    CHECK(rig.backend.links.size() == 1);
    CHECK(rig.responder.endings == std::vector{FinalError::Kind::failed});
    CHECK(rig.reported() == std::vector{AttemptStatus::timeout, AttemptStatus::cancelled});
    CHECK(rig.guard.violations()[std::size_t(Invariant::retry_if_idempotent)] == 1);
}

TEST_CASE("dispatch: a second attempt beside one in flight is held back, and the first goes on") {
    Rig rig;
    rig.send(0);
    rig.establish(0);

    rig.send(1);
    CHECK(rig.guard.violations()[std::size_t(Invariant::single_attempt)] == 1);
    CHECK(rig.reported() == std::vector{AttemptStatus::not_started});
    rig.answer(0, AttemptStatus::ok);

    CHECK(rig.responder.answers == 1);
}

TEST_CASE("dispatch: a deadline ends an attempt by whether it had a connection") {
    Rig rig;
    rig.send(0);
    rig.dispatcher.deadline_expired({EndpointId{0}, rig.pending().attempts[0].task});
    CHECK(rig.reported() == std::vector{AttemptStatus::not_started});

    rig.establish(0);  // idle now, and used by the next attempt
    rig.send(0);
    CHECK(rig.connection(0).busy);
    rig.dispatcher.deadline_expired({EndpointId{0}, rig.pending().attempts[1].task});
    CHECK(rig.reported() == std::vector{AttemptStatus::timeout});
    CHECK(rig.connection(0).closed);
}

TEST_CASE("dispatch: a connection that is not established in time says that the endpoint is unreachable") {
    Rig rig;
    rig.send(0);

    rig.dispatcher.start_deadline_expired({EndpointId{0}, rig.pending().attempts[0].task});

    CHECK(rig.reported() == std::vector{AttemptStatus::unreachable});
}

TEST_CASE("dispatch: nothing is sent for a client that left while its attempt waited") {
    Rig rig;
    rig.send(0);
    rig.responder.is_present = false;

    rig.establish(0);

    CHECK(!rig.connection(0).busy);
    CHECK(rig.statistics.clients_left == 1);
    CHECK(rig.reported() == std::vector{AttemptStatus::cancelled});
    CHECK(rig.pending().finished);
}

TEST_CASE("dispatch: an endpoint has one health check in flight, and a deadline ends it") {
    Rig rig;
    rig.dispatcher.check_health(EndpointId{0});
    rig.dispatcher.check_health(EndpointId{0});
    CHECK(rig.statistics.health_checks == 1);

    rig.dispatcher.deadline_expired({EndpointId{0}, *rig.endpoints.find(EndpointId{0})->health_check});

    CHECK(rig.statistics.health_checks_failed == 1);
    CHECK(!rig.endpoints.find(EndpointId{0})->health_check);
}

}  // namespace indigovane::testing
