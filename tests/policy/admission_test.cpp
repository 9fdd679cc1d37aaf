#include "policy/admission.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("a request is rejected on arrival when no answer could reach its client in time") {
    Request request = make_request(class_settings(Consistency::any));
    CHECK(should_admit(request, kStart));
    request.deadline = kStart + 60ms;
    CHECK(should_admit(request, kStart));
    request.request_class->record_latency(20);  // the usual latency becomes 60 ms
    CHECK_FALSE(should_admit(request, kStart));
}

TEST_CASE("a request past its latency objective is admitted only where a late answer has value") {
    Request request = make_request(class_settings(Consistency::any));
    request.latency_objective = kStart;
    CHECK_FALSE(should_admit(request, kStart));
    request.request_class->late_share = 0.5;
    CHECK(should_admit(request, kStart));
}

TEST_CASE("a read is queued while it can meet its latency objective, and for at least 50 ms") {
    Request read = make_request(class_settings(Consistency::any));
    read.request_class->usual_latency_ms = 20;
    CHECK(queue_deadline(read) == kStart + 320ms);
    read.request_class->usual_latency_ms = 200;
    CHECK(queue_deadline(read) == kStart + 50ms);
}

TEST_CASE("a request that needs the primary is queued for at most 45% of its client's timeout") {
    Request write = make_request(class_settings(Consistency::write));
    CHECK(queue_deadline(write) == kStart + 450ms);
    write.request_class->usual_latency_ms = 900;
    CHECK(queue_deadline(write) == kStart + 90ms);
}

TEST_CASE(
    "an attempt must start early enough for another replica, and before the deduplication window ends") {
    Endpoint endpoint;
    CHECK(attempt_start_deadline(make_request(class_settings(Consistency::any)), kStart) == kStart + 100ms);
    ClassSettings with_key = class_settings(Consistency::write, Idempotency::idempotency_key);
    with_key.deduplication_window = 200ms;
    Request write = make_request(with_key);
    CHECK(attempt_start_deadline(write, kStart) == kStart + 450ms);
    run_attempt(write, endpoint, AttemptStatus::timeout);
    CHECK(attempt_start_deadline(write, kStart) == kStart + 180ms);
}

TEST_CASE(
    "dispatch order: requests in time before late ones, then by weight per usual latency, then the newest") {
    Request late = make_request(class_settings(Consistency::any));
    late.latency_objective = kStart;
    late.request_class->priority_weight = 9;
    Request heavy = make_request(class_settings(Consistency::any));
    heavy.request_class->priority_weight = 3;
    Request older = make_request(class_settings(Consistency::any));
    Request newer = make_request(class_settings(Consistency::any));
    newer.arrived = kStart + 1ms;
    std::vector<Request*> queue{&late, &older, &newer, &heavy};
    sort_for_dispatch(queue, kStart);
    CHECK(queue == std::vector<Request*>{&heavy, &newer, &older, &late});
}

TEST_CASE("a rejection has a Retry-After only where the settings allow it, and within their limit") {
    Settings settings;
    CHECK_FALSE(retry_after(settings));
    settings.may_send_retry_after = true;
    CHECK(retry_after(settings) == Duration(250ms));
    settings.max_retry_after = 100ms;
    CHECK(retry_after(settings) == Duration(100ms));
}
