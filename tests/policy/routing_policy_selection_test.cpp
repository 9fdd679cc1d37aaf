// The routing policy as a whole: which endpoints reads and writes go to.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "policy/emulated_pooler.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST(ReplicaSelection, WritesAndFreshReadsGoToThePrimaryOtherReadsToReplicas) {
    EmulatedPooler pooler;
    pooler.add_group(4);
    for (std::uint32_t request_class : {kWrite, kFresh}) {
        RequestId id = pooler.request(request_class, 3s);
        EXPECT_EQ(pooler.target(id), kPrimary);
        pooler.serve(id);
    }
    std::set<EndpointId> seen;
    for (int i = 0; i < 60; ++i) {
        RequestId id = pooler.request(i % 2 ? kBounded : kAny);
        ASSERT_NE(pooler.last_attempt(id), nullptr);
        seen.insert(pooler.target(id));
        pooler.serve(id);
    }
    EXPECT_EQ(seen, (std::set<EndpointId>{EndpointId{1}, EndpointId{2}, EndpointId{3}}));
}

TEST(ReplicaSelection, AGroupsFirstUseChecksItsEndpointsAndQueuesBoundedReads) {
    EmulatedPooler pooler;
    pooler.apply_list(EndpointListKind::cached, {EmulatedPooler::entry(0), EmulatedPooler::entry(1)});
    pooler.hosts[EndpointId{0}] = {true, 0ms, true};
    pooler.hosts[EndpointId{1}] = {false, 5ms, true};
    EXPECT_EQ(pooler.health_checks, 0);
    RequestId id = pooler.request(kBounded);
    EXPECT_EQ(pooler.health_checks, 2);
    EXPECT_EQ(pooler.last_attempt(id), nullptr);
    pooler.advance(5ms);
    EXPECT_EQ(pooler.target(id), EndpointId{1});
}

TEST(ReplicaSelection, ABoundedReadIsRejectedWithRetryAfterWhenAllReplicasLag) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    pooler.hosts[EndpointId{1}].lag = pooler.hosts[EndpointId{2}].lag = 5s;
    pooler.advance(2s);
    for (std::uint32_t index : {1, 2}) pooler.hosts[EndpointId{index}].lag = 7s;
    RequestId id = pooler.request(kBounded);
    pooler.advance(400ms);
    EXPECT_EQ(pooler.last_attempt(id), nullptr);
    EXPECT_EQ(pooler.final_answers[id], "rejected");
    EXPECT_TRUE(pooler.retry_after.has_value());
}

TEST(ReplicaSelection, AReplicaOutsideTheLatencyWindowGetsNoReads) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (int i = 0; i < 5; ++i)
        pooler.deliver(HealthCheckResult{EndpointId{1}, AttemptStatus::ok, 40ms,
                                         LoadReport{pooler.now, false, {}, {}, {}}});
    for (int i = 0; i < 20; ++i) {
        RequestId id = pooler.request(kBounded);
        EXPECT_EQ(pooler.target(id), EndpointId{2});
        pooler.serve(id);
    }
}

TEST(ReplicaSelection, EqualEventsGiveEqualActions) {
    auto run = [] {
        EmulatedPooler pooler;
        pooler.add_group(5);
        std::vector<EndpointId> targets;
        for (int i = 0; i < 50; ++i) {
            RequestId id = pooler.request(kBounded);
            targets.push_back(pooler.target(id));
            pooler.serve(id);
        }
        return targets;
    };
    EXPECT_EQ(run(), run());
}

// Otherwise long reads would delay the replay of the log on one replica after another, until none was current
// enough for bounded reads.
TEST(ReplicaSelection, AnyReadsGoToReplicasTooFarBehindForBoundedReads) {
    EmulatedPooler pooler;
    pooler.add_group(4);
    pooler.now += 5s;  // endpoint 3 then lags by 4 s, the others do not
    for (std::uint32_t index : {1, 2})
        pooler.deliver(HealthCheckResult{EndpointId{index}, AttemptStatus::ok, 1ms,
                                         LoadReport{pooler.now, false, {}, {}, {}}});
    pooler.deliver(HealthCheckResult{EndpointId{3}, AttemptStatus::ok, 1ms,
                                     LoadReport{pooler.now - 4s, false, {}, {}, {}}});
    for (int i = 0; i < 4; ++i) EXPECT_EQ(pooler.target(pooler.request(kAny)), EndpointId{3});
    for (int i = 0; i < 4; ++i) EXPECT_NE(pooler.target(pooler.request(kBounded)), EndpointId{3});
}

TEST(SessionReads, GoToEndpointsThatHaveReachedTheClientsToken) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    RequestId old = pooler.request(kSession, 1s, 2s);
    EXPECT_NE(pooler.target(old), kPrimary);
    pooler.serve(old);
    RequestId recent =
        pooler.request(kSession, 1s, 1us);  // committed just now: no replica is known to have it
    EXPECT_EQ(pooler.target(recent), kPrimary);
}

TEST(SessionReads, GoToEndpointsThatHaveReachedTheRememberedToken) {
    Settings settings = usual_settings();
    settings.token_source = TokenSource::remembered;
    EmulatedPooler pooler(settings);
    pooler.add_group(3);
    SessionKey key{5};
    RequestId write = pooler.request(kWrite, 3s, std::nullopt, key);
    pooler.now += 10ms;
    pooler.end_attempt(write, AttemptStatus::ok, Role::primary, pooler.now);
    RequestId own_read = pooler.request(kSession, 1s, std::nullopt, key);
    EXPECT_EQ(pooler.target(own_read), kPrimary);
    RequestId other = pooler.request(kSession, 1s, std::nullopt, SessionKey{6});
    EXPECT_NE(pooler.target(other), kPrimary);
}

TEST(SessionReads, GoToTheReplicaWithTheLeastLagThenToThePrimaryWhereEndpointsCheckStaleness) {
    Settings settings = usual_settings();
    settings.staleness_check = StalenessCheck::refuse;
    EmulatedPooler pooler(settings);
    pooler.add_group(3);
    pooler.deliver(HealthCheckResult{EndpointId{1}, AttemptStatus::ok, 1ms,
                                     LoadReport{pooler.now - 900ms, false, {}, {}, {}}});
    pooler.deliver(
        HealthCheckResult{EndpointId{2}, AttemptStatus::ok, 1ms, LoadReport{pooler.now, false, {}, {}, {}}});
    RequestId id = pooler.request(kSession, 1s, 1us);
    EXPECT_EQ(pooler.target(id), EndpointId{2});
    pooler.end_attempt(id, AttemptStatus::miss, Role::replica, pooler.now - 50ms);
    EXPECT_EQ(pooler.target(id), kPrimary);
}

TEST(SessionReads, ForgottenTokensRaiseTheFloor) {
    Settings settings = usual_settings();
    settings.token_source = TokenSource::remembered;
    EmulatedPooler pooler(settings);
    pooler.add_group(2);
    for (std::uint64_t i = 0; i < 50002; ++i) {
        RequestId write = pooler.request(kWrite, 3s, std::nullopt, SessionKey{i});
        pooler.end_attempt(write, AttemptStatus::ok, Role::primary, pooler.now + 1h);
    }
    RequestId own = pooler.request(kSession, 1s, std::nullopt, SessionKey{0});
    EXPECT_EQ(pooler.target(own), kPrimary);
}

TEST(SessionReads, GoToThePrimaryWhereReplicasHaveNoCapacity) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    while (pooler.target(pooler.request(kAny)) == EndpointId{1}) {
    }
    EXPECT_EQ(pooler.target(pooler.request(kSession)), kPrimary);
    EXPECT_EQ(pooler.last_attempt(pooler.request(kBounded)),
              nullptr);  // bounded reads never go to the primary
}

// A lag of seconds persists for seconds: the replica with the shortest lag is tried, not one that
// might have caught up.
TEST(SessionReads, GoToTheReplicaWithTheShortestReportedLag) {
    Settings settings = usual_settings();
    settings.staleness_check = StalenessCheck::wait;
    settings.may_check_health = false;
    auto target = [&](Duration first, Duration since, Duration second, Duration age, std::uint64_t seed) {
        EmulatedPooler pooler(settings, seed);
        pooler.add_group(3);
        pooler.now += 10s;  // a lower position than before would be ignored
        pooler.deliver(
            HealthCheckResult{kPrimary, AttemptStatus::ok, 1ms, LoadReport{pooler.now, true, {}, {}, {}}});
        pooler.deliver(HealthCheckResult{EndpointId{1}, AttemptStatus::ok, 1ms,
                                         LoadReport{pooler.now - first, false, {}, {}, {}}});
        pooler.now += since;
        pooler.deliver(HealthCheckResult{EndpointId{2}, AttemptStatus::ok, 1ms,
                                         LoadReport{pooler.now - second, false, {}, {}, {}}});
        pooler.now += 3s;
        return pooler.target(pooler.request(kSession, 1s, age));
    };
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EXPECT_EQ(target(5ms, 0s, 2s, 300ms, seed), EndpointId{1});
        EXPECT_EQ(target(60ms, 2s, 90ms, 40ms, seed), EndpointId{1});  // although its report is older
    }
}

TEST(BoundedStaleness, PositionsAreNeverExtrapolated) {
    Settings settings = usual_settings();
    settings.may_check_health = false;  // no health check refreshes the known positions
    EmulatedPooler pooler(settings);
    pooler.apply_list(EndpointListKind::full, {EmulatedPooler::entry(0), EmulatedPooler::entry(1)});
    RequestId first = pooler.request(kAny);
    pooler.end_attempt(first, AttemptStatus::ok, Role::replica, pooler.now);
    Duration gap = 150ms;
    pooler.now += gap;
    EndpointId fresh = pooler.target(first);
    RequestId soon = pooler.request(kBounded);
    EXPECT_EQ(pooler.target(soon), fresh);
    pooler.end_attempt(soon, AttemptStatus::ok, Role::replica, std::nullopt);
    pooler.now += 100ms;
    RequestId later = pooler.request(kBounded);
    EXPECT_EQ(pooler.last_attempt(later), nullptr);
}

TEST(BoundedStaleness, AnOldReportDoesNotRestoreTheRoleOfPrimary) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    Time report = pooler.now;
    pooler.now += 50ms;
    RequestId id = pooler.request(kWrite, 3s);
    pooler.end_attempt(id, AttemptStatus::miss, Role::replica, std::nullopt);
    pooler.deliver(HealthCheckResult{kPrimary, AttemptStatus::ok, 1ms, LoadReport{report, true, {}, {}, {}}});
    EXPECT_EQ(pooler.attempts[id], 1u);
    RequestId own = pooler.request(kSession, 1s, 1us);
    EXPECT_EQ(pooler.last_attempt(own), nullptr);
}

// Otherwise all reads of a group by one pooler would go to the replica with the latest report.
TEST(LargeFleet, WhereEndpointsCheckStalenessAllReplicasThatWereCurrentShareReads) {
    for (bool checks : {true, false}) {
        Settings settings = usual_settings();
        settings.health_check_price = 0.08;
        settings.staleness_check = checks ? StalenessCheck::wait : StalenessCheck::none;
        EmulatedPooler pooler(settings);
        pooler.add_group(5);
        for (std::uint32_t index : {1, 2, 3, 4})
            pooler.deliver(HealthCheckResult{EndpointId{index}, AttemptStatus::ok, 1ms,
                                             LoadReport{pooler.now, false, {}, {}, {}}});
        pooler.advance(3s);  // the known positions are older than the bound
        std::map<EndpointId, int> count;
        for (int i = 0; i < 200; ++i) {
            RequestId id = pooler.request(kBounded);
            pooler.serve(id);
            ++count[pooler.target(id)];
            pooler.advance(50ms);
        }
        EXPECT_EQ(count[kPrimary], 0);
        if (!checks) continue;
        for (std::uint32_t index : {1, 2, 3, 4}) EXPECT_GT(count[EndpointId{index}], 25) << index;
    }
}

TEST(LargeFleet, WithoutReportsReadsAreSpreadOverTheListedEndpoints) {
    std::set<EndpointId> seen;
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        EmulatedPooler pooler(settings_without_health_checks(), seed);
        pooler.apply_list(EndpointListKind::full, {EmulatedPooler::entry(0), EmulatedPooler::entry(1),
                                                   EmulatedPooler::entry(2), EmulatedPooler::entry(3)});
        seen.insert(pooler.target(pooler.request(kBounded)));
    }
    EXPECT_EQ(seen.size(), 4u);
}

// Reads that miss delay a lagging replica while it catches up.
TEST(LargeFleet, AReplicaThatMissedGetsNoBoundedReadsUntilItMayHaveCaughtUp) {
    EmulatedPooler pooler(settings_without_health_checks());
    pooler.add_group(2);
    RequestId first = pooler.request(kBounded);
    ASSERT_EQ(pooler.target(first), EndpointId{1});
    pooler.end_attempt(first, AttemptStatus::miss, Role::replica, pooler.now - 3500ms);
    int sent = 0;
    for (Time from = pooler.now; pooler.now < from + 1300ms; pooler.advance(50ms))
        sent += pooler.last_attempt(pooler.request(kBounded)) != nullptr;
    EXPECT_EQ(sent, 0);
    pooler.advance(400ms);
    EXPECT_NE(pooler.last_attempt(pooler.request(kBounded)), nullptr);
}

TEST(LargeFleet, ANewReplicaGetsItsShareOfBoundedReadsBeforeItsFirstReport) {
    EmulatedPooler pooler(settings_without_health_checks());
    pooler.add_group(3);
    for (std::uint32_t index : {1, 2})
        pooler.deliver(HealthCheckResult{EndpointId{index}, AttemptStatus::ok, 1ms,
                                         LoadReport{pooler.now, false, {}, {}, {}}});
    pooler.apply_list(EndpointListKind::changes,
                      {EmulatedPooler::entry(3, EndpointState::ready, pooler.now)});
    std::map<EndpointId, int> early;
    std::map<EndpointId, int> later;
    auto reads = [&](std::map<EndpointId, int>& count) {
        for (int i = 0; i < 200; ++i) {
            RequestId id = pooler.request(kBounded);
            ++count[pooler.target(id)];
            pooler.end_attempt(id, AttemptStatus::ok);
        }
    };
    reads(early);
    EXPECT_EQ(early[EndpointId{3}], 0);  // its initial copy may be some seconds old
    pooler.now += 8s;
    reads(later);
    EXPECT_GT(later[EndpointId{3}], 20);
}
