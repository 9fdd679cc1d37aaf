// The decision module as a whole: health checks, outlier ejection, slow start, concurrency limit.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "policy/emulated_pooler.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST(HealthChecks, AGroupInSteadyUseIsCheckedAtAThirdOfTheBoundAndAnswersSpareSome) {
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
    int without = checks(false);
    int with = checks(true);
    EXPECT_GE(without, 2 * 3 * 10);  // two replicas, each at least every 100 ms of 3.3 s
    EXPECT_LT(with, without);
}

// In a large fleet each pooler uses each group now and then: paced health checks would cost more than the
// requests.
TEST(HealthChecks, AnIdleGroupIsNotCheckedAndItsNextReadHasOneReplicaChecked) {
    EmulatedPooler pooler;
    pooler.add_group(5);
    pooler.advance(2s);
    int before = pooler.health_checks;
    pooler.advance(10s);
    EXPECT_EQ(pooler.health_checks, before);
    RequestId id = pooler.request(kBounded);
    EXPECT_EQ(pooler.health_checks, before + 1);
    EXPECT_EQ(pooler.last_attempt(id), nullptr);  // what is known is too old
    pooler.advance(3ms);
    ASSERT_NE(pooler.last_attempt(id), nullptr);
    EXPECT_NE(pooler.target(id), kPrimary);
    EXPECT_EQ(pooler.health_checks, before + 1);
}

TEST(HealthChecks, AReplicaThatDoesNotAnswerAnOnDemandCheckIsPassedOver) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    pooler.advance(2s);
    RequestId id = pooler.request(kBounded);
    pooler.checks_in_flight.clear();  // no answer to the first one comes
    pooler.advance(40ms);
    EXPECT_NE(pooler.last_attempt(id), nullptr);
}

TEST(HealthChecks, QueuedReadsDemandNoMoreChecksThanRequestsPayFor) {
    Settings settings = usual_settings();
    settings.health_check_price = 0.02;
    EmulatedPooler pooler(settings);
    pooler.add_group(5);
    for (std::uint32_t m : {1, 2, 3, 4}) pooler.hosts[EndpointId{m}].lag = 500ms;  // too old, not surely so
    int before = pooler.health_checks;
    for (int i = 0; i < 40; ++i) {
        pooler.request(kBounded);
        pooler.advance(500ms);
    }
    EXPECT_GT(pooler.health_checks - before, 20);
    EXPECT_LT(pooler.health_checks - before, 40 * 2 + 20);
}

// What another pooler says of an endpoint proves nothing: it is checked, and until it has answered all stays.
TEST(HealthChecks, GossipOfANewPrimaryLeadsToOneCheck) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    int before = pooler.health_checks;
    pooler.feed(PrimaryGossip{EndpointId{1}});
    EXPECT_EQ(pooler.health_checks, before + 1);
    EXPECT_EQ(pooler.target(pooler.request(kWrite)), kPrimary);
    for (int i = 0; i < 100; ++i) pooler.feed(PrimaryGossip{EndpointId{1}});
    EXPECT_EQ(pooler.health_checks, before + 1);  // one is in flight
    pooler.advance(10ms);
    EXPECT_EQ(pooler.target(pooler.request(kWrite)), kPrimary);
    pooler.hosts[EndpointId{1}].primary = true;
    pooler.hosts[kPrimary].primary = false;
    pooler.feed(PrimaryGossip{EndpointId{1}});
    pooler.advance(10ms);
    EXPECT_EQ(pooler.target(pooler.request(kWrite)), EndpointId{1});
    pooler.feed(PrimaryGossip{EndpointId{77}});  // never listed
}

// A hundred poolers, a request a second each in a group.
TEST(HealthChecks, ArePaidForByRequests) {
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

TEST(SlowStart, AnEndpointGetsItsShareOfWhatTheOthersTake) {
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

TEST(SlowStart, AGroupThatIsWarmingUpAsAWholeIsSentTheShareItCanDo) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (std::uint32_t m : {0, 1, 2})
        pooler.apply_list(EndpointListKind::changes,
                          {EmulatedPooler::entry(m, EndpointState::ready, pooler.now)});
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        RequestId id = pooler.request(kAny);
        if (pooler.last_attempt(id)) ++sent;
        pooler.end_attempt(id, AttemptStatus::ok);
    }
    EXPECT_GT(sent, 100);
    EXPECT_LT(sent, 320);  // a fifth, and 1.4 times that while answers come in time; it falls at 2.5 times
}

// Else the whole group's reads would gather on it.
TEST(SlowStart, AReplicaTakesNoMoreThanItsFairShareWhenItAloneIsFit) {
    EmulatedPooler pooler;
    pooler.add_group(6);
    for (std::uint32_t m = 1; m < 6; ++m)
        pooler.feed(HealthCheckResult{EndpointId{m}, AttemptStatus::ok, 1ms,
                                      LoadReport{pooler.now - (m == 1 ? 0s : 50s), false, {}, {}, {}}});
    pooler.apply_list(EndpointListKind::changes,
                      {EmulatedPooler::entry(1, EndpointState::ready, pooler.now)});
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        RequestId id = pooler.request(kSession, 1s, 1s);
        sent += pooler.target(id) == EndpointId{1};
        pooler.end_attempt(id, AttemptStatus::ok);
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 80);  // a fifth of a fifth
}

// Else the queued writes of a whole fleet would keep hammering a primary in slow start that rejects them.
TEST(RejectionBackoff, AnEndpointThatRejectsIsPausedLongerEachTime) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    int sent = 0;
    for (int i = 0; i < 20; ++i) pooler.request(kWrite, 5s);
    for (int i = 0; i < 500; ++i) {
        for (std::size_t k = 0; k < pooler.sends.size(); ++k) {
            EmulatedPooler::SentAttempt attempt = pooler.sends[k];
            if (attempt.id == RequestId{1}) continue;
            ++sent;
            pooler.feed(AttemptOutcome{attempt.id,
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
    pooler.advance(800ms);  // its checks still answer
    RequestId third = pooler.request(kWrite, 3s);
    EXPECT_EQ(pooler.last_attempt(third), nullptr);
    pooler.end_attempt(first, AttemptStatus::ok, Role::primary, pooler.now);
    EXPECT_EQ(pooler.target(third), kPrimary);
    pooler.end_attempt(second, AttemptStatus::ok, Role::primary, pooler.now);
}

TEST(OutlierEjection, AnUnreachableReplicaIsLeftOutUntilAHealthCheckAnswers) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    pooler.hosts[EndpointId{1}].answers = false;
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
    pooler.hosts[EndpointId{1}].answers = true;
    pooler.advance(2s);
    std::set<EndpointId> seen;
    for (int i = 0; i < 30; ++i) {
        id = pooler.request(kAny);
        seen.insert(pooler.target(id));
        pooler.serve(id);
    }
    EXPECT_EQ(seen.size(), 2u);
}

TEST(OutlierEjection, AReplicaThatErrsAtOnceLosesItsShare) {
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

TEST(OutlierEjection, WhenAllReplicasLookBadTheyStayInService) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (int i = 0; i < 40; ++i) {
        RequestId id = pooler.request(kAny);
        for (std::uint32_t k = 1; pooler.attempts[id] == k; ++k)
            pooler.end_attempt(id, AttemptStatus::error);  // each ends once
        pooler.advance(500ms);
    }
    EXPECT_NE(pooler.last_attempt(pooler.request(kAny)), nullptr);
}

// At a replica that is quick with the rest.
TEST(OutlierEjection, TwoLongReadsInFlightAreNoFault) {
    Settings settings = usual_settings();
    settings.classes[kAny].latency_objective = 8s;
    settings.classes[kAny].deadline = 20s;
    EmulatedPooler pooler(settings);
    pooler.add_group(2);
    for (int i = 0; i < 5; ++i) pooler.serve(pooler.request(kBounded));
    pooler.advance(2s);  // log lines are a second apart
    pooler.request(kAny, 20s);
    pooler.request(kAny, 20s);
    int before = pooler.log_lines;
    pooler.advance(3s);
    EXPECT_EQ(pooler.log_lines, before);  // nobody was ejected
}

TEST(ConcurrencyLimit, AWindowBoundsWhatIsInFlightAndRejectsEarly) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    std::vector<RequestId> ids;
    for (int i = 0; i < 300; ++i) ids.push_back(pooler.request(kAny));
    EXPECT_LT(pooler.sends.size(), 100u);
    pooler.advance(300ms);
    int rejected = 0;
    for (RequestId id : ids) rejected += pooler.answered(id);
    EXPECT_GT(rejected, 200);
}

// How many requests one replica gets at once after a second in which its health checks reported that lag and
// that load.
std::size_t sent_at_once(Duration behind, std::optional<double> busy, std::optional<double> queued = {}) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    pooler.hosts[EndpointId{1}] = {false, behind, true, busy, queued};
    for (int i = 0; i < 50; ++i) {
        pooler.serve(pooler.request(kAny));
        pooler.serve(pooler.request(kBounded));
        pooler.advance(20ms);
    }
    std::size_t before = pooler.sends.size();
    for (int i = 0; i < 100; ++i) pooler.request(kAny);
    return pooler.sends.size() - before;
}

// A replica whose cores are crowded with reads applies the log too slowly and answers as fast as ever.
TEST(ConcurrencyLimit, AReplicaThatFallsBehindUnderReadsIsGivenFewer) {
    std::size_t usual = sent_at_once(5ms, 0.6);
    EXPECT_EQ(usual, 6u);
    EXPECT_LE(sent_at_once(150ms, 0.8), usual / 2);
    EXPECT_LE(sent_at_once(5ms, 0.95), usual / 2);  // it will fall behind
    EXPECT_LE(sent_at_once(150ms, std::nullopt, 5), usual / 2);
    // With idle cores the log stands still for another reason, and fewer reads would not help. Where nothing
    // is reported of them nothing follows.
    EXPECT_EQ(sent_at_once(150ms, 0.2), usual);
    EXPECT_EQ(sent_at_once(150ms, std::nullopt, 1), usual);
    EXPECT_EQ(sent_at_once(150ms, std::nullopt), usual);
}
