// The routing policy as a whole: health checks, outlier ejection, slow start, concurrency limit.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "policy/emulated_pooler.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST(HealthChecks, InSteadyUseReplicasAreCheckedAtAThirdOfTheBoundAndAnswersReplaceSomeChecks) {
    auto checks = [](bool answers_come) {
        EmulatedPooler pooler;
        pooler.add_group(3);
        for (int i = 0; i < 300; ++i) {
            RequestId id = pooler.request(kSession, 1s, 1s);
            if (answers_come) pooler.serve(id);
            pooler.advance(answers_come ? 1ms : 11ms);
        }
        return pooler.health_checks;
    };
    int checks_without_answers = checks(false);
    int checks_with_answers = checks(true);
    EXPECT_GE(checks_without_answers, 2 * 3 * 10);  // two replicas, each at least every 100 ms of 3.3 s
    EXPECT_LT(checks_with_answers, checks_without_answers);
}

// In a large fleet each pooler uses each group only now and then: health checks at a fixed interval would
// cost more than the requests.
TEST(HealthChecks, AnIdleGroupIsNotCheckedAndItsNextReadHasOneReplicaChecked) {
    EmulatedPooler pooler;
    pooler.add_group(5);
    pooler.advance(2s);
    int before = pooler.health_checks;
    pooler.advance(10s);
    EXPECT_EQ(pooler.health_checks, before);
    RequestId id = pooler.request(kBounded);
    EXPECT_EQ(pooler.health_checks, before + 1);
    EXPECT_EQ(pooler.last_attempt(id), nullptr);  // the known positions are too old
    pooler.advance(3ms);
    ASSERT_NE(pooler.last_attempt(id), nullptr);
    EXPECT_NE(pooler.target(id), kPrimary);
    EXPECT_EQ(pooler.health_checks, before + 1);
}

TEST(HealthChecks, AReadGoesToAnotherReplicaIfItsOnDemandCheckIsNotAnswered) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    pooler.advance(2s);
    RequestId id = pooler.request(kBounded);
    pooler.checks_in_flight.clear();  // the first check is never answered
    pooler.advance(40ms);
    EXPECT_NE(pooler.last_attempt(id), nullptr);
}

TEST(HealthChecks, QueuedReadsDemandNoMoreChecksThanRequestsPayFor) {
    Settings settings = usual_settings();
    settings.health_check_price = 0.02;
    EmulatedPooler pooler(settings);
    pooler.add_group(5);
    for (std::uint32_t index : {1, 2, 3, 4})
        pooler.hosts[EndpointId{index}].lag = 500ms;  // too old, but not provably
    int before = pooler.health_checks;
    for (int i = 0; i < 40; ++i) {
        pooler.request(kBounded);
        pooler.advance(500ms);
    }
    EXPECT_GT(pooler.health_checks - before, 20);
    EXPECT_LT(pooler.health_checks - before, 40 * 2 + 20);
}

// What another pooler reports about an endpoint is no proof: the endpoint is checked, and nothing changes
// until it has answered.
TEST(HealthChecks, GossipOfANewPrimaryLeadsToOneCheck) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    int before = pooler.health_checks;
    pooler.deliver(PrimaryGossip{EndpointId{1}});
    EXPECT_EQ(pooler.health_checks, before + 1);
    EXPECT_EQ(pooler.target(pooler.request(kWrite)), kPrimary);
    for (int i = 0; i < 100; ++i) pooler.deliver(PrimaryGossip{EndpointId{1}});
    EXPECT_EQ(pooler.health_checks, before + 1);  // one check is in flight already
    pooler.advance(10ms);
    EXPECT_EQ(pooler.target(pooler.request(kWrite)), kPrimary);
    pooler.hosts[EndpointId{1}].is_primary = true;
    pooler.hosts[kPrimary].is_primary = false;
    pooler.deliver(PrimaryGossip{EndpointId{1}});
    pooler.advance(10ms);
    EXPECT_EQ(pooler.target(pooler.request(kWrite)), EndpointId{1});
    pooler.deliver(PrimaryGossip{EndpointId{77}});  // an endpoint that was never listed
}

// Guards against checks that grow with poolers times endpoints: a fleet of 100 poolers, 60 endpoints in 12
// groups, and about one request per second and group from this pooler.
TEST(HealthChecks, RequestsPayForHealthChecks) {
    auto checks = [](double price, bool answers) {
        Settings settings = usual_settings();
        settings.staleness_check = StalenessCheck::wait;
        settings.fleet_size = 100;
        settings.health_check_price = price;
        EmulatedPooler pooler(settings);
        std::vector<EndpointEntry> entries;
        for (std::uint32_t i = 0; i < 60; ++i) {
            entries.push_back(EmulatedPooler::entry(i));
            entries.back().group = GroupId{i / 5};
            pooler.hosts[EndpointId{i}] = {i % 5 == 0, 5ms, answers || i % 5 == 0};
        }
        pooler.apply_list(EndpointListKind::full, entries);
        for (int i = 0; i < 300; ++i) {
            RequestId id = pooler.request(i % 3 ? kBounded : kWrite, 1s, std::nullopt, std::nullopt,
                                          std::uint32_t(i) % 12);
            pooler.advance(30ms);
            pooler.end_attempt(id, AttemptStatus::ok);
            pooler.advance(36ms);
        }
        return pooler.health_checks;
    };
    for (bool answers : {true, false}) {
        EXPECT_LT(checks(0.08, answers), 10 + 300 * 3 / 16 + 2);
        EXPECT_GT(checks(0, answers), 2 * checks(0.08, answers));
    }
}

TEST(SlowStart, AnEndpointGetsItsShareOfWhatOtherEndpointsGet) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (int i = 0; i < 400; ++i) pooler.serve(pooler.request(kAny));
    pooler.apply_list(EndpointListKind::changes,
                      {EmulatedPooler::entry(2, EndpointState::ready, pooler.now)});
    std::map<EndpointId, int> count;
    for (int i = 0; i < 200; ++i) {
        RequestId id = pooler.request(kAny);
        if (pooler.last_attempt(id)) ++count[pooler.target(id)];
        pooler.serve(id);
    }
    EXPECT_GT(count[EndpointId{2}], 0);
    EXPECT_LT(count[EndpointId{2}], count[EndpointId{1}] * 0.4);
}

TEST(SlowStart, AGroupInSlowStartAsAWholeGetsTheShareItCanServe) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (std::uint32_t index : {0, 1, 2})
        pooler.apply_list(EndpointListKind::changes,
                          {EmulatedPooler::entry(index, EndpointState::ready, pooler.now)});
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        RequestId id = pooler.request(kAny);
        if (pooler.last_attempt(id)) ++sent;
        pooler.end_attempt(id, AttemptStatus::ok);
    }
    EXPECT_GT(sent, 100);
    EXPECT_LT(sent, 320);  // the share sent is 0.56 * 2 * 0.2, and the endpoints break down at 2 * 0.2
}

// Without this limit all reads of the group would go to the one replica that has the position while it
// is in slow start.
TEST(SlowStart, AReplicaGetsNoMoreThanItsFairShareIfItAloneHasThePosition) {
    EmulatedPooler pooler;
    pooler.add_group(6);
    for (std::uint32_t index = 1; index < 6; ++index)
        pooler.deliver(
            HealthCheckResult{EndpointId{index}, AttemptStatus::ok, 1ms,
                              LoadReport{pooler.now - (index == 1 ? 0s : 50s), false, {}, {}, {}}});
    pooler.apply_list(EndpointListKind::changes,
                      {EmulatedPooler::entry(1, EndpointState::ready, pooler.now)});
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        RequestId id = pooler.request(kSession, 1s, 1s);
        sent += pooler.target(id) == EndpointId{1};
        pooler.end_attempt(id, AttemptStatus::ok);
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 80);  // an initial share of a fifth, as one of five replicas
}

// Without the pause the queued writes of a whole fleet would be sent again and again to a primary in slow
// start that rejects them.
TEST(RejectionBackoff, AnEndpointThatRejectsIsPausedLongerAfterEachRejection) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    int sent = 0;
    for (int i = 0; i < 20; ++i) pooler.request(kWrite, 5s);
    for (int i = 0; i < 500; ++i) {
        for (std::size_t sent_index = 0; sent_index < pooler.sends.size(); ++sent_index) {
            EmulatedPooler::SentAttempt attempt = pooler.sends[sent_index];
            if (attempt.id == RequestId{1}) continue;
            ++sent;
            pooler.deliver(AttemptOutcome{attempt.id,
                                          attempt.attempt,
                                          attempt.endpoint,
                                          AttemptStatus::rejected,
                                          1ms,
                                          false,
                                          Role::primary,
                                          pooler.now,
                                          {}});
        }
        pooler.sends.clear();
        pooler.advance(10ms);
    }
    EXPECT_LT(sent, 40);
}

TEST(OutlierEjection, AnUnresponsivePrimaryGetsNoMoreWritesUntilItAnswers) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    RequestId first = pooler.request(kWrite, 3s);
    RequestId second = pooler.request(kWrite, 3s);
    pooler.advance(800ms);  // it still answers health checks
    RequestId third = pooler.request(kWrite, 3s);
    EXPECT_EQ(pooler.last_attempt(third), nullptr);
    pooler.end_attempt(first, AttemptStatus::ok, Role::primary, pooler.now);
    EXPECT_EQ(pooler.target(third), kPrimary);
    pooler.end_attempt(second, AttemptStatus::ok, Role::primary, pooler.now);
}

TEST(OutlierEjection, AnUnreachableReplicaGetsNoReadsUntilAHealthCheckSucceeds) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    pooler.hosts[EndpointId{1}].is_reachable = false;
    RequestId id{};
    do {
        id = pooler.request(kAny);
        if (pooler.target(id) == EndpointId{1}) break;
        pooler.serve(id);
    } while (true);
    pooler.end_attempt(id, AttemptStatus::unreachable);
    EXPECT_EQ(pooler.target(id), EndpointId{2});
    pooler.serve(id);
    for (int i = 0; i < 20; ++i) {
        id = pooler.request(kAny);
        EXPECT_EQ(pooler.target(id), EndpointId{2});
        pooler.serve(id);
    }
    pooler.hosts[EndpointId{1}].is_reachable = true;
    pooler.advance(2s);
    std::set<EndpointId> seen;
    for (int i = 0; i < 30; ++i) {
        id = pooler.request(kAny);
        seen.insert(pooler.target(id));
        pooler.serve(id);
    }
    EXPECT_EQ(seen.size(), 2u);
}

TEST(OutlierEjection, AReplicaThatReturnsOnlyErrorsGetsFewReads) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    int errors = 0;
    for (int i = 0; i < 200; ++i) {
        RequestId id = pooler.request(kAny);
        if (pooler.target(id) == EndpointId{1}) {
            ++errors;
            pooler.end_attempt(id, AttemptStatus::error);
        }
        pooler.serve(id);
        pooler.advance(5ms);
    }
    EXPECT_LT(errors, 30);
}

TEST(OutlierEjection, IfAllReplicasReturnErrorsTheyStayInUse) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (int i = 0; i < 40; ++i) {
        RequestId id = pooler.request(kAny);
        for (std::uint32_t number = 1; pooler.attempts[id] == number; ++number)
            pooler.end_attempt(id, AttemptStatus::error);  // ends each attempt once
        pooler.advance(500ms);
    }
    EXPECT_NE(pooler.last_attempt(pooler.request(kAny)), nullptr);
}

// The replica answers its other requests quickly, so that two long reads may look like an
// unresponsive endpoint.
TEST(OutlierEjection, TwoLongReadsInFlightDoNotEjectAReplica) {
    Settings settings = usual_settings();
    settings.classes[kAny].latency_objective = 8s;
    settings.classes[kAny].deadline = 20s;
    EmulatedPooler pooler(settings);
    pooler.add_group(2);
    for (int i = 0; i < 5; ++i) pooler.serve(pooler.request(kBounded));
    pooler.advance(2s);  // at most one line is logged per second
    pooler.request(kAny, 20s);
    pooler.request(kAny, 20s);
    int before = pooler.log_lines;
    pooler.advance(3s);
    EXPECT_EQ(pooler.log_lines, before);  // no endpoint was ejected
}

TEST(ConcurrencyLimit, TheWindowLimitsRequestsInFlightAndOthersAreRejectedEarly) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    std::vector<RequestId> ids;
    for (int i = 0; i < 300; ++i) ids.push_back(pooler.request(kAny));
    EXPECT_LT(pooler.sends.size(), 100u);
    pooler.advance(300ms);
    int rejected = 0;
    for (RequestId id : ids) rejected += pooler.has_final_answer(id);
    EXPECT_GT(rejected, 200);
}

// Number of requests that one replica gets at the same time, after health checks reported this lag and
// load for one second.
std::size_t sent_at_once(Duration replication_lag, std::optional<double> cpu_utilization,
                         std::optional<double> in_flight = {}) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    pooler.hosts[EndpointId{1}] = {false, replication_lag, true, cpu_utilization, in_flight};
    for (int i = 0; i < 50; ++i) {
        pooler.serve(pooler.request(kAny));
        pooler.serve(pooler.request(kBounded));
        pooler.advance(20ms);
    }
    std::size_t before = pooler.sends.size();
    for (int i = 0; i < 100; ++i) pooler.request(kAny);
    return pooler.sends.size() - before;
}

// A replica whose cores are busy with reads applies the log too slowly, although it answers as fast as usual.
TEST(ConcurrencyLimit, AReplicaThatFallsBehindUnderReadsGetsFewer) {
    std::size_t usual = sent_at_once(5ms, 0.6);
    EXPECT_EQ(usual, 6u);
    EXPECT_LE(sent_at_once(150ms, 0.8), usual / 2);
    EXPECT_LE(sent_at_once(5ms, 0.95), usual / 2);  // its cores are so busy that it will fall behind
    EXPECT_LE(sent_at_once(150ms, std::nullopt, 5), usual / 2);
    // With idle cores the lag has another cause, and fewer reads would not help. The same holds where
    // no load is reported.
    EXPECT_EQ(sent_at_once(150ms, 0.2), usual);
    EXPECT_EQ(sent_at_once(150ms, std::nullopt, 1), usual);
    EXPECT_EQ(sent_at_once(150ms, std::nullopt), usual);
}
