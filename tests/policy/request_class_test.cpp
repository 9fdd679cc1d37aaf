#include "policy/request_class.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("missing settings get the defaults that cannot break a rule") {
    RequestClass request_class = make_request_class({});
    CHECK(request_class.consistency == Consistency::write);
    CHECK(request_class.idempotency == Idempotency::not_idempotent);
    CHECK(request_class.deduplication_window == 0ms);
    CHECK(request_class.deadline == 1s);
    CHECK(request_class.latency_objective == 1s);
    CHECK(request_class.needs_primary());
}

TEST_CASE("the usual latency starts at a quarter of the objective and approaches the mean of the answers") {
    RequestClass request_class = make_request_class(class_settings(Consistency::any));
    CHECK(request_class.usual_latency_ms == 100);
    CHECK_FALSE(request_class.has_latency_samples());
    request_class.record_latency(20);
    CHECK(request_class.has_latency_samples());
    CHECK(request_class.usual_latency_ms == doctest::Approx(60));
    for (int i = 0; i < 500; ++i) request_class.record_latency(20);
    CHECK(request_class.usual_latency_ms == doctest::Approx(20).epsilon(0.01));
}

TEST_CASE("a client timeout other than the usual one is taken as the rest of the deadline") {
    ClientTimeouts timeouts;
    for (int i = 0; i < 6; ++i) CHECK(timeouts.elapsed_before({500ms, 1s, false, false}) == 0ms);
    CHECK(timeouts.elapsed_before({510ms, 1s, false, false}) == 0ms);
    CHECK(timeouts.elapsed_before({300ms, 1s, false, false}) == 700ms);
}

TEST_CASE(
    "no time counts as elapsed where no timeout is usual, or for an unmarked request where clients mark "
    "retries") {
    ClientTimeouts varied;
    for (int i = 0; i < 10; ++i) CHECK(varied.elapsed_before({100ms + i * 50ms, 1s, false, false}) == 0ms);
    ClientTimeouts marked;
    for (int i = 0; i < 6; ++i) marked.elapsed_before({500ms, 1s, false, true});
    CHECK(marked.elapsed_before({300ms, 1s, false, true}) == 0ms);
    CHECK(marked.elapsed_before({300ms, 1s, true, true}) == 700ms);
}
