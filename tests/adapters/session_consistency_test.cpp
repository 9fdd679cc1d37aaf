// A session's reads see its own writes, including writes that are answered while the read waits.
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "adapters/pending_admission.hpp"
#include "adapters/raw_client.hpp"
#include "policy/routing_policy.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

struct ManualClock : routing::Clock {
    ManualClock() : Clock(0) {}
    policy::Time now() const override { return at; }
    policy::Time at{100s};
};
struct IdleDriver : routing::Driver {
    void wake() override {}
    void alarm(std::optional<policy::Time>) override {}
};
struct AnswerCount : routing::Responder {
    void on_answer(const routing::Answer&) override { ++answers; }
    void on_final_error(const routing::FinalError&) override {}
    int answers = 0;
};

std::vector<routing::EndpointInfo> primary_and_replica() {
    std::vector<routing::EndpointInfo> endpoints(2);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].uid = std::to_string(i);
        endpoints[i].address = std::to_string(i);
        endpoints[i].group = 1;
        endpoints[i].primary = i == 0;
    }
    return endpoints;
}

routing::ClientRequest session_request(const char* id, std::uint32_t request_class) {
    using Verb = routing::ClientRequest::Verb;
    routing::ClientRequest request;
    request.id = id;
    request.request_class = routing::ClassId{request_class};
    request.group = routing::GroupId{1};
    request.client_timeout = 2s;
    request.session = 5;
    request.verb = request_class == 2 ? Verb::write : Verb::lookup;
    return request;
}

// Where hosts check positions, the read is sent, and its answer is dropped if it is too old all the same.
// Where they don't, the read is not sent to a host that is not known to have the commit.
TEST_CASE("a session's read that waits for a connection sees a write that is answered meanwhile") {
    bool hosts_check = false;
    SUBCASE("hosts check positions") {
        hosts_check = true;
    }
    SUBCASE("hosts do not check positions") {}
    ManualClock clock;
    IdleDriver driver;
    AnswerCount writer;
    AnswerCount reader;
    FakeBackend backend;
    NullLogger logger;
    auto used_settings = settings();
    used_settings.may_check_health = false;
    if (!hosts_check) used_settings.staleness_check = policy::StalenessCheck::none;
    routing::Core core(driver, clock, used_settings, 3, {}, backend, logger);
    core.apply_endpoint_list(policy::EndpointListKind::full, primary_and_replica());
    auto send = [&](const char* id, std::uint32_t request_class, routing::Responder& responder) {
        core.accept(session_request(id, request_class), responder);
        core.run_batch();
    };
    send("r", 1, reader);  // its session has written nothing yet, so that a replica may serve it
    REQUIRE(backend.opened == std::vector<std::string>{"1"});
    send("w", 2, writer);
    REQUIRE(backend.opened.size() == 2);
    auto establish = [&](std::size_t link) {
        backend.links[link]->up = true;
        backend.links[link]->owner->on_ready(*backend.links[link]);
    };
    auto answer = [&](std::size_t link, std::int64_t position_ms, policy::Role role) {
        routing::AttemptResult result;
        result.status = policy::AttemptStatus::ok;
        result.role = role;
        result.position_unix_us = position_ms * 1000;
        backend.links[link]->owner->on_result(*backend.links[link], result);
        core.run_batch();
    };
    establish(1);
    answer(1, 100'020, policy::Role::primary);  // the position of the commit
    CHECK(writer.answers == 1);
    establish(0);  // the read can be sent only after the commit
    CHECK(backend.links[0]->busy == hosts_check);
    if (hosts_check) {
        answer(0, 100'001, policy::Role::replica);  // a position before the commit
        CHECK(logger.lines["stale"] == 1);
        CHECK(reader.answers == 0);
        return;
    }
    CHECK(logger.lines["disqualified"] == 1);
    CHECK(reader.answers == 0);
    backend.links[1]->busy = false;
    core.run_batch();
    CHECK(backend.links[1]->busy);  // the primary has the commit
    answer(1, 100'030, policy::Role::primary);
    CHECK(reader.answers == 1);
}

// The routing policy alone, with a primary (1) and a replica (2). Health checks report the replica's lag.
struct PolicyFixture {
    policy::Time now{100s};
    policy::RoutingPolicy policy;
    policy::Actions actions;
    explicit PolicyFixture(const policy::Settings& policy_settings) : policy(policy_settings, 3, now) {
        using namespace indigovane::policy;
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i : {1, 2})
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, i == 1, {}});
        run(list);
    }
    void run(const policy::Event& event) {
        actions.clear();
        policy.handle(now, event, actions);
    }
    void report_lag(policy::Duration lag) {
        policy::HealthCheckResult result;
        result.endpoint = policy::EndpointId{2};
        result.status = policy::AttemptStatus::ok;
        result.report.position = now - lag;
        run(result);
    }
    const policy::SendAttempt* sent() const {
        for (const auto& action : actions)
            if (auto* attempt = std::get_if<policy::SendAttempt>(&action)) return attempt;
        return nullptr;
    }
    void request(std::uint64_t id, std::uint32_t request_class, policy::Duration client_timeout = 3s) {
        policy::RequestArrival arrival;
        arrival.id = policy::RequestId{id};
        arrival.request_class = policy::ClassId{request_class};
        arrival.group = policy::GroupId{1};
        arrival.client_timeout = client_timeout;
        arrival.session = policy::SessionKey{1};
        run(arrival);
    }
    void finish(std::uint64_t id, std::uint32_t endpoint, policy::AttemptStatus status,
                std::uint32_t attempt = 0, std::optional<policy::Time> commit = std::nullopt) {
        policy::AttemptOutcome outcome;
        outcome.id = policy::RequestId{id};
        outcome.endpoint = policy::EndpointId{endpoint};
        outcome.status = status;
        outcome.attempt = attempt;
        outcome.is_request_finished = status == policy::AttemptStatus::ok;
        outcome.position = commit;
        run(outcome);
    }
};

TEST_CASE("policy: if hosts don't check positions, a session's read sees a write that may have run") {
    using policy::EndpointId, policy::AttemptStatus;
    for (bool answered : {false, true}) {
        auto policy_settings = settings();
        policy_settings.staleness_check = policy::StalenessCheck::none;
        policy_settings.classes[2].idempotency = policy::Idempotency::not_idempotent;
        PolicyFixture fixture(policy_settings);
        fixture.report_lag(0ms);
        fixture.request(1, 1);
        REQUIRE(fixture.sent());
        CHECK(fixture.sent()->endpoint == EndpointId{2});
        fixture.now += 10ms;
        fixture.request(2, 2);  // a write, whose answer may be lost
        REQUIRE(fixture.sent());
        fixture.now += 200ms;
        fixture.report_lag(5ms);
        fixture.request(3, 1);
        REQUIRE(fixture.sent());
        CHECK(fixture.sent()->endpoint == EndpointId{1});
        CHECK(fixture.sent()->required_position == fixture.now);
        fixture.now += 10ms;
        fixture.finish(2, 1, answered ? AttemptStatus::ok : AttemptStatus::timeout, 0, fixture.now - 150ms);
        fixture.report_lag(5ms);
        fixture.request(4, 1);
        REQUIRE(fixture.sent());
        CHECK(fixture.sent()->endpoint == (answered ? EndpointId{2} : EndpointId{1}));
        fixture.now += 10ms;
        fixture.report_lag(5ms);  // the position is past the time until which the lost write may have run
        fixture.request(5, 1);
        REQUIRE(fixture.sent());
        CHECK(fixture.sent()->endpoint == EndpointId{2});
    }
}

// Guards against stale pages over REST where the sessions of other clients carry their commits.
TEST_CASE("policy: where clients carry tokens, a read whose client can't sees its session's last commit") {
    using policy::EndpointId, policy::AttemptStatus;
    auto policy_settings = settings();
    policy_settings.token_source = policy::TokenSource::carried;
    policy_settings.staleness_check = policy::StalenessCheck::none;
    PolicyFixture fixture(policy_settings);
    fixture.report_lag(5ms);
    fixture.request(1, 2);
    fixture.now += 10ms;
    fixture.finish(1, 1, AttemptStatus::ok, 0, fixture.now);
    fixture.now += 300ms;
    fixture.report_lag(1500ms);  // the replica has fallen behind the commit
    policy::RequestArrival read;
    read.request_class = policy::ClassId{1};
    read.group = policy::GroupId{1};
    read.client_timeout = 3s;
    read.session = policy::SessionKey{1};
    read.id = policy::RequestId{2};
    fixture.run(read);  // its client can carry a token and carries none: it has written nothing
    REQUIRE(fixture.sent());
    CHECK(fixture.sent()->endpoint == EndpointId{2});
    read.id = policy::RequestId{3};
    read.uses_remembered_token = true;
    fixture.run(read);
    REQUIRE(fixture.sent());
    CHECK(fixture.sent()->endpoint == EndpointId{1});
    read.id = policy::RequestId{4};
    read.session = policy::SessionKey{2};  // it has written nothing
    fixture.run(read);
    REQUIRE(fixture.sent());
    CHECK(fixture.sent()->endpoint == EndpointId{2});
}

TEST_CASE("the requests of clients that can't send a session token say so") {
    PendingFronts fixture;
    RawClient reader(fixture.loop, fixture.rest.local());
    reader.send(http::write_request("GET", "/v1/clusters/1/kv?class=own-order&session=s", "h", {}));
    REQUIRE(fixture.wait_for_requests(1));
    CHECK(fixture.admission.requests[0].uses_remembered_token);
    RawClient client(fixture.loop, fixture.pg.local());
    client.send(startup() + query("1", 4000, "own-order"));
    REQUIRE(fixture.wait_for_requests(2));
    CHECK_FALSE(fixture.admission.requests[1].uses_remembered_token);
}

TEST_CASE("policy: a queued read sees the writes that its session makes meanwhile") {
    using policy::EndpointId, policy::AttemptStatus;
    for (bool writes : {false, true}) {
        auto policy_settings = settings();
        policy_settings.staleness_check = policy::StalenessCheck::none;
        PolicyFixture fixture(policy_settings);
        fixture.request(1, 2);
        fixture.report_lag(10ms);  // a health check after the first request
        auto commit = fixture.now += 50ms;
        fixture.finish(1, 1, AttemptStatus::ok, 0, commit);
        fixture.now += 2s;
        fixture.request(2, 1);
        REQUIRE(!fixture.sent());  // queued until a health check reports the replica's position
        if (writes) {
            fixture.request(3, 2);
            fixture.now += 1ms;
            fixture.finish(3, 1, AttemptStatus::ok, 0, fixture.now);  // before the health check's result
            REQUIRE(!fixture.sent());
        }
        bool on_replica = fixture.sent() && fixture.sent()->endpoint == EndpointId{2};
        fixture.report_lag(2ms);
        on_replica = on_replica || (fixture.sent() && fixture.sent()->endpoint == EndpointId{2});
        CHECK(on_replica != writes);
    }
}

TEST_CASE("policy: a retry that waits for a connection does not start after its deduplication window") {
    using policy::AttemptStatus;
    for (bool ran : {true, false}) {
        auto policy_settings = settings();
        policy_settings.classes[2].deduplication_window = 300ms;
        PolicyFixture fixture(policy_settings);
        fixture.request(1, 2);
        REQUIRE(fixture.sent());
        const auto first = fixture.now;
        fixture.now += 200ms;
        fixture.finish(1, 1, ran ? AttemptStatus::error : AttemptStatus::miss);
        for (int i = 0; i < 3 && !fixture.sent(); ++i) fixture.run(policy::TimerExpired{policy::TimerId{0}});
        REQUIRE(fixture.sent());
        CHECK((fixture.now + *fixture.sent()->start_timeout <= first + 300ms) == ran);
    }
}

}  // namespace
}  // namespace indigovane::testing
