// The routing policy as a whole: admission, retries and final answers.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "policy/emulated_pooler.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST(Admission, ARejectionHasNoRetryAfterWhereTheSettingsForbidIt) {
    Settings settings = usual_settings();
    settings.may_send_retry_after = false;
    EmulatedPooler pooler(settings);
    RequestId id = pooler.request(kAny, 1s);
    pooler.advance(1s);
    EXPECT_EQ(pooler.final_answers[id], "rejected");
    EXPECT_FALSE(pooler.retry_after.has_value());
}

// If the read is rejected with time left, its client can retry and find a replica. If it is sent at the last
// moment, its answer is late.
TEST(Admission, AQueuedReadIsRejectedFourUsualLatenciesBeforeItsLatencyObjective) {
    EmulatedPooler pooler;
    pooler.add_group(2);
    for (int i = 0; i < 50; ++i) {  // any reads take 50 ms
        RequestId id = pooler.request(kAny);
        pooler.advance(50ms);
        pooler.end_attempt(id, AttemptStatus::ok, Role::replica, pooler.now);
    }
    while (pooler.last_attempt(pooler.request(kAny))) {  // until the replica's window is full
    }
    RequestId queued = pooler.request(kAny);
    pooler.advance(150ms);
    EXPECT_FALSE(pooler.has_final_answer(queued));
    pooler.advance(60ms);
    EXPECT_TRUE(pooler.has_final_answer(queued));
}

// Without a minimum queueing time, every read of a class with slow answers would be rejected on arrival.
TEST(Admission, AReadIsQueuedLongEnoughForAnOnDemandCheck) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (int i = 0; i < 100; ++i) {
        RequestId id = pooler.request(kBounded);
        pooler.advance(250ms);
        pooler.end_attempt(id, AttemptStatus::ok, Role::replica, pooler.now);
    }
    pooler.advance(3s);
    RequestId id = pooler.request(kBounded);
    pooler.advance(5ms);
    EXPECT_NE(pooler.last_attempt(id), nullptr);
}

// Clients leave after 32 ms and retry immediately, so that work for them is wasted. A request with its full
// timeout is never rejected for this reason.
TEST(Admission, ARequestWhoseTimeoutIsBelowTheUsualLatencyIsRejectedOnArrival) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (std::uint32_t request_class : {kBounded, kSession, kWrite}) {
        RequestId unknown = pooler.request(request_class, 32ms);  // the latency is not known yet
        EXPECT_FALSE(pooler.final_answers.contains(unknown));
        pooler.serve(unknown);
        RequestId early = pooler.request(request_class, 32ms);
        EXPECT_EQ(pooler.final_answers[early], "rejected");
        RequestId full = pooler.request(request_class, 400ms);
        EXPECT_FALSE(pooler.final_answers.contains(full));
        pooler.end_attempt(full, AttemptStatus::ok);
    }
    // An attempt with half of its latency objective left is admitted, however long answers take.
    for (int i = 0; i < 100; ++i) {
        RequestId slow = pooler.request(kWrite, 3s);
        pooler.advance(900ms);
        pooler.end_attempt(slow, AttemptStatus::ok, Role::primary);
    }
    RequestId id = pooler.request(kWrite, 270ms);
    EXPECT_FALSE(pooler.final_answers.contains(id));
}

// The short timeout of some clients may become the usual one. First attempts of other clients must not be
// taken for late retries because of that.
TEST(Admission, AnUnmarkedRequestHasItsWholeObjectiveWhereClientsMarkRetries) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    pooler.deliver(RequestArrival{RequestId{900}, ClassId{kBounded}, GroupId{1}, 60ms, {}, {}, true});
    for (int i = 0; i < 20; ++i) pooler.request(kBounded, 60ms);
    RequestId first = pooler.request(
        kBounded, 550ms);  // as a retry, 450 ms of its deadline would have passed: more than the objective
    EXPECT_FALSE(pooler.final_answers.contains(first));
}

TEST(Admission, ATimeoutWithJitterIsNotTakenForALateRetry) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    for (int i = 0; i < 40; ++i) {
        RequestId id = pooler.request(kBounded, 500ms + Duration(100 * (i * 7 % 40)));
        EXPECT_FALSE(pooler.has_final_answer(id));
        pooler.serve(id);
    }
    RequestId late = pooler.request(kBounded, 300ms);  // 700 of 1000 ms have passed; the objective is 400 ms
    EXPECT_EQ(pooler.final_answers[late], "rejected");
}

TEST(Admission, TheRequestWithTheHigherPriorityWeightGetsThePrimaryFirst) {
    Settings settings = usual_settings();
    settings.classes[kWrite].priority_weight = 6;
    EmulatedPooler pooler(settings);
    pooler.apply_list(EndpointListKind::full, {EmulatedPooler::entry(0), EmulatedPooler::entry(1)});
    RequestId read = pooler.request(kFresh);
    RequestId write = pooler.request(kWrite, 3s);
    pooler.hosts[kPrimary] = {true, 0ms, true};
    pooler.advance(200ms);
    ASSERT_NE(pooler.last_attempt(read), nullptr);
    ASSERT_NE(pooler.last_attempt(write), nullptr);
    EXPECT_EQ(pooler.sends.front().id, write);
}

// In a large fleet each pooler gets few answers of a group. Some are late because the request itself takes
// long, not because the endpoint is overloaded.
TEST(Admission, AFewLateAnswersDoNotCauseRejections) {
    Settings settings = usual_settings();
    settings.fleet_size = 100;
    EmulatedPooler pooler(settings);
    pooler.add_group(4);
    for (int i = 0; i < 400; ++i) {
        RequestId id = pooler.request(kAny);
        EXPECT_FALSE(pooler.has_final_answer(id));
        pooler.now += i % 10 == 0 ? 600ms : 100ms;
        pooler.end_attempt(id, AttemptStatus::ok, Role::replica, pooler.now);
    }
}

TEST(FinalAnswer, AQueuedWriteIsAnsweredBeforeItsDeadline) {
    EmulatedPooler pooler;
    pooler.apply_list(EndpointListKind::full,
                      {EmulatedPooler::entry(1), EmulatedPooler::entry(2)});  // no endpoint is primary
    RequestId id = pooler.request(kWrite, 900ms);
    pooler.advance(899ms);
    EXPECT_EQ(pooler.final_answers[id], "rejected");
    EXPECT_EQ(pooler.last_attempt(id), nullptr);
}

TEST(FinalAnswer, AnUnansweredWriteFailsBeforeItsDeadlineAndIsNotRetried) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    RequestId id = pooler.request(kWrite, 700ms);
    pooler.advance(700ms);
    EXPECT_EQ(pooler.final_answers[id], "failed");
    pooler.end_attempt(id, AttemptStatus::cancelled);
    pooler.advance(1s);
    EXPECT_EQ(pooler.attempts[id], 1u);
}

TEST(FinalAnswer, ACancelledRequestGetsNoFinalAnswer) {
    EmulatedPooler pooler;
    pooler.apply_list(EndpointListKind::full, {EmulatedPooler::entry(1)});
    RequestId id = pooler.request(kWrite, 900ms);
    pooler.deliver(RequestCancelled{id});
    pooler.advance(2s);
    EXPECT_FALSE(pooler.has_final_answer(id));
    EXPECT_EQ(pooler.last_attempt(id), nullptr);
}

TEST(FinalAnswer, WithoutAListOrWithAnUnknownClassRequestsAreRejected) {
    EmulatedPooler pooler;
    pooler.apply_list(EndpointListKind::cached, {});
    std::vector<RequestId> ids;
    for (std::uint32_t request_class : {0u, 1u, 2u, 3u, 4u, 77u})
        ids.push_back(pooler.request(request_class, 500ms));
    ids.push_back(pooler.request(kBounded, 0ms));
    pooler.advance(499ms);
    for (RequestId id : ids) EXPECT_EQ(pooler.final_answers[id], "rejected");
}

TEST(FinalAnswer, ARequestIdMayBeReusedAfterItsRequestHasFinished) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    RequestId id = pooler.request(kBounded);
    pooler.serve(id);
    pooler.final_answers.clear();
    pooler.attempts.clear();
    pooler.deliver(RequestArrival{id, ClassId{kBounded}, GroupId{1}, 1s, {}, {}, false});
    EXPECT_EQ(pooler.last_attempt(id)->attempt, 0u);
    pooler.serve(id);
    EXPECT_EQ(pooler.final_answers[id], "served");
}

TEST(RetryPolicy, ANonIdempotentWriteThatMayHaveRunIsNeitherRetriedNorRejected) {
    for (AttemptStatus status :
         {AttemptStatus::error, AttemptStatus::reset, AttemptStatus::timeout, AttemptStatus::cancelled}) {
        EmulatedPooler pooler;
        pooler.add_group(3);
        RequestId id = pooler.request(kWrite, 3s);
        pooler.end_attempt(id, status);
        pooler.advance(3s);
        EXPECT_EQ(pooler.attempts[id], 1u);
        EXPECT_EQ(pooler.final_answers[id], "failed");
    }
}

// An answer with old data, or a rejection after a row, does not prove that the statement never ran.
TEST(RetryPolicy, EvidenceOfExecutionPreventsRetryAndRejectionWhateverTheStatus) {
    struct Case {
        AttemptStatus status;
        Execution evidence;
    };
    for (auto [status, evidence] :
         {Case{AttemptStatus::stale, Execution::never_ran}, Case{AttemptStatus::rejected, Execution::ran},
          Case{AttemptStatus::miss, Execution::ran}, Case{AttemptStatus::unreachable, Execution::ran},
          Case{AttemptStatus::not_started, Execution::may_have_run},
          Case{AttemptStatus::rejected, Execution::may_have_run}}) {
        EmulatedPooler pooler;
        pooler.add_group(3);
        RequestId id = pooler.request(kWrite, 3s);
        pooler.end_attempt(id, status, Role::primary, pooler.now, evidence);
        pooler.advance(3s);
        EXPECT_EQ(pooler.attempts[id], 1u) << int(status);
        EXPECT_EQ(pooler.final_answers[id], "failed") << int(status);
    }
}

TEST(RetryPolicy, AnIdempotentReadWithAStaleAnswerIsRetriedAtAnotherReplica) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    RequestId id = pooler.request(kAny, 3s);
    EndpointId first = pooler.target(id);
    pooler.end_attempt(id, AttemptStatus::stale, Role::replica, pooler.now - 2s);
    pooler.advance(100ms);
    EXPECT_EQ(pooler.attempts[id], 2u);
    EXPECT_NE(pooler.target(id), first);
}

TEST(RetryPolicy, AWriteThatADemotedPrimaryDidNotExecuteGoesToTheNewPrimary) {
    EmulatedPooler pooler;
    pooler.add_group(3);
    RequestId id = pooler.request(kWrite, 3s);
    pooler.hosts[kPrimary] = {false, 0ms, true};
    pooler.end_attempt(id, AttemptStatus::miss, Role::replica, pooler.now);
    pooler.advance(500ms);
    EXPECT_EQ(pooler.attempts[id], 1u);  // it is queued: no endpoint claims to be primary
    pooler.hosts[EndpointId{2}].is_primary = true;
    pooler.advance(500ms);
    EXPECT_EQ(pooler.target(id), EndpointId{2});
}

TEST(RetryPolicy, AWriteWithAnIdempotencyKeyIsRetriedOnlyWithinItsDeduplicationWindow) {
    EmulatedPooler pooler(usual_settings(Idempotency::idempotency_key));
    pooler.add_group(3);
    RequestId id = pooler.request(kWrite, 3s);
    pooler.end_attempt(id, AttemptStatus::error, Role::primary, pooler.now);
    EXPECT_EQ(pooler.attempts[id], 2u);
    // The second attempt ends without execution after the deduplication window of the first has ended.
    pooler.now += 1100ms;
    pooler.end_attempt(id, AttemptStatus::miss, Role::primary, pooler.now);
    pooler.advance(1s);
    EXPECT_EQ(pooler.attempts[id], 2u);
    EXPECT_EQ(pooler.final_answers[id], "failed");
}

// The deduplication window ends while the write is queued, before a primary is found. A retry after that
// could run the write twice.
TEST(RetryPolicy, AWriteWithAnIdempotencyKeyQueuedPastItsDeduplicationWindowIsNotSent) {
    EmulatedPooler pooler(usual_settings(Idempotency::idempotency_key));
    pooler.add_group(3);
    RequestId id = pooler.request(kWrite, 3s);
    pooler.hosts[kPrimary] = {false, 0ms, false};
    pooler.deliver(HealthCheckResult{kPrimary, AttemptStatus::unreachable, 1ms, {}});
    pooler.end_attempt(id, AttemptStatus::reset);
    pooler.advance(1500ms);
    pooler.hosts[EndpointId{1}].is_primary = true;
    pooler.advance(1s);
    EXPECT_EQ(pooler.attempts[id], 1u);
    EXPECT_EQ(pooler.final_answers[id], "failed");
}

TEST(RetryPolicy, AtMostOneAttemptIsInFlight) {
    EmulatedPooler pooler;
    pooler.add_group(4);
    RequestId id = pooler.request(kBounded);
    pooler.advance(950ms);
    EXPECT_EQ(pooler.attempts[id], 1u);
}

TEST(RetryPolicy, NoMoreAttemptsAreSentThanTheSettingsAllow) {
    Settings settings = usual_settings();
    settings.max_attempts = 2;
    EmulatedPooler pooler(settings);
    pooler.add_group(6);
    RequestId id = pooler.request(kBounded);
    for (int i = 0; i < 5; ++i) pooler.end_attempt(id, AttemptStatus::rejected, Role::replica, pooler.now);
    EXPECT_EQ(pooler.attempts[id], 2u);
    EXPECT_EQ(pooler.final_answers[id], "rejected");
}
