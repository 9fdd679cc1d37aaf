// A session's reads see its own writes (docs/acceptance.md, narrow moments), also those that cross them.
#include <optional>
#include <string>
#include <variant>
#include <vector>

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

TEST_CASE("a session's read that waits for a connection sees a write that is answered meanwhile") {
    ManualClock clock;
    IdleDriver driver;
    AnswerCount writer;
    AnswerCount reader;
    FakeBackend backend;
    NullLogger logger;
    auto without_checks = settings();
    without_checks.may_check_health = false;
    without_checks.staleness_check = policy::StalenessCheck::none;
    routing::Core core(driver, clock, without_checks, 3, {}, backend, logger);
    core.apply_endpoint_list(policy::EndpointListKind::full, primary_and_replica());
    auto send = [&](const char* id, std::uint32_t request_class, routing::Responder& responder) {
        core.accept(session_request(id, request_class), responder);
        core.run_batch();
    };
    send("r", 1, reader);  // its session has written nothing yet: the replica will do
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
    answer(1, 100'020, policy::Role::primary);  // the commit
    CHECK(writer.answers == 1);
    establish(0);                               // late: the read is sent only now
    answer(0, 100'001, policy::Role::replica);  // without that write
    CHECK(reader.answers == 0);
    CHECK(logger.lines["stale"] == 1);
}

// The routing policy alone, with one primary (1) and a replica (2) whose lag health checks report.
struct PolicyRig {
    policy::Time now{100s};
    policy::RoutingPolicy policy;
    policy::Actions actions;
    explicit PolicyRig(const policy::Settings& with) : policy(with, 3, now) {
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

TEST_CASE("policy: where hosts don't check positions, a session's read covers what its write may have done") {
    using policy::EndpointId, policy::AttemptStatus;
    for (bool answered : {false, true}) {
        auto with = settings();
        with.staleness_check = policy::StalenessCheck::none;
        with.classes[2].idempotency = policy::Idempotency::not_idempotent;
        PolicyRig rig(with);
        rig.report_lag(0ms);
        rig.request(1, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == EndpointId{2});
        rig.now += 10ms;
        rig.request(2, 2);  // a write; its answer may be lost on the way
        REQUIRE(rig.sent());
        rig.now += 200ms;
        rig.report_lag(5ms);
        rig.request(3, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == EndpointId{1});
        CHECK(rig.sent()->required_position == rig.now);
        rig.now += 10ms;
        rig.finish(2, 1, answered ? AttemptStatus::ok : AttemptStatus::timeout, 0, rig.now - 150ms);
        rig.report_lag(5ms);
        rig.request(4, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == (answered ? EndpointId{2} : EndpointId{1}));
        rig.now += 10ms;
        rig.report_lag(5ms);  // past the moment until which the lost write may have run
        rig.request(5, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == EndpointId{2});
    }
}

TEST_CASE("policy: a queued read sees what its session writes meanwhile") {
    using policy::EndpointId, policy::AttemptStatus;
    for (bool writes : {false, true}) {
        auto with = settings();
        with.staleness_check = policy::StalenessCheck::none;
        PolicyRig rig(with);
        rig.request(1, 2);
        rig.report_lag(10ms);  // probed since the first request
        auto commit = rig.now += 50ms;
        rig.finish(1, 1, AttemptStatus::ok, 0, commit);
        rig.now += 2s;
        rig.request(2, 1);
        REQUIRE(!rig.sent());  // queued: the replica's position is being probed
        if (writes) {
            rig.request(3, 2);
            rig.now += 1ms;
            rig.finish(3, 1, AttemptStatus::ok, 0, rig.now);  // before the probe's result
            REQUIRE(!rig.sent());
        }
        bool on_replica = rig.sent() && rig.sent()->endpoint == EndpointId{2};
        rig.report_lag(2ms);
        on_replica = on_replica || (rig.sent() && rig.sent()->endpoint == EndpointId{2});
        CHECK(on_replica != writes);
    }
}

TEST_CASE("policy: a retry that waits for a connection does not start after its deduplication window") {
    using policy::AttemptStatus;
    for (bool ran : {true, false}) {
        auto with = settings();
        with.classes[2].deduplication_window = 300ms;
        PolicyRig rig(with);
        rig.request(1, 2);
        REQUIRE(rig.sent());
        const auto first = rig.now;
        rig.now += 200ms;
        rig.finish(1, 1, ran ? AttemptStatus::error : AttemptStatus::miss);
        for (int i = 0; i < 3 && !rig.sent(); ++i) rig.run(policy::TimerExpired{policy::TimerId{0}});
        REQUIRE(rig.sent());
        CHECK((rig.now + *rig.sent()->start_timeout <= first + 300ms) == ran);
    }
}

}  // namespace
}  // namespace indigovane::testing
