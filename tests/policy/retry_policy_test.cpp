#include "policy/retry_policy.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

namespace {

Request request_after(Idempotency idempotency, AttemptStatus status) {
    static Endpoint endpoint;
    Request request = make_request(class_settings(Consistency::write, idempotency));
    run_attempt(request, endpoint, status);
    return request;
}

}  // namespace

TEST_CASE("a request that may have run is retried only where its class allows it") {
    Time soon = kStart + 10ms;
    CHECK(may_retry(request_after(Idempotency::idempotent, AttemptStatus::timeout), soon));
    CHECK(may_retry(request_after(Idempotency::idempotency_key, AttemptStatus::timeout), soon));
    CHECK_FALSE(may_retry(request_after(Idempotency::not_idempotent, AttemptStatus::timeout), soon));
    CHECK(may_retry(request_after(Idempotency::not_idempotent, AttemptStatus::rejected), soon));
}

TEST_CASE("a request with an idempotency key is retried only within its deduplication window") {
    Request request = request_after(Idempotency::idempotency_key, AttemptStatus::reset);
    CHECK(retry_deadline(request) == kStart + 480ms);
    CHECK(may_retry(request, kStart + 479ms));
    CHECK_FALSE(may_retry(request, kStart + 480ms));
}

TEST_CASE("a request with an idempotency key is not retried where only its zone drops duplicates") {
    ClassSettings settings = class_settings(Consistency::write, Idempotency::idempotency_key);
    settings.deduplication_scope = DeduplicationScope::zone;
    Endpoint endpoint;
    Request request = make_request(settings);
    run_attempt(request, endpoint, AttemptStatus::timeout);
    CHECK_FALSE(may_retry(request, kStart + 10ms));
}

TEST_CASE("attempts are limited by their number, by how many may have run, and by the time left") {
    Endpoint endpoint;
    Request request = make_request(class_settings(Consistency::any), 2);
    CHECK(may_retry(request, kStart));
    CHECK_FALSE(may_retry(request, kStart + 990ms));
    run_attempt(request, endpoint, AttemptStatus::rejected);
    CHECK(may_retry(request, kStart));
    run_attempt(request, endpoint, AttemptStatus::rejected);
    CHECK_FALSE(may_retry(request, kStart));

    Request repeated = make_request(class_settings(Consistency::any), 9);
    for (int i = 0; i < 3; ++i) run_attempt(repeated, endpoint, AttemptStatus::timeout);
    CHECK_FALSE(may_retry(repeated, kStart));
}

TEST_CASE("a rejection promises that a retry is harmless only where it is") {
    CHECK(rejection_is_harmless(request_after(Idempotency::idempotent, AttemptStatus::timeout)));
    CHECK(rejection_is_harmless(request_after(Idempotency::not_idempotent, AttemptStatus::not_started)));
    CHECK_FALSE(rejection_is_harmless(request_after(Idempotency::not_idempotent, AttemptStatus::timeout)));
    CHECK_FALSE(rejection_is_harmless(request_after(Idempotency::idempotency_key, AttemptStatus::timeout)));
}
