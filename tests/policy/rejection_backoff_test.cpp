#include "policy/rejection_backoff.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("a rejection pauses an endpoint for 50 ms with jitter, and each further one for twice as long") {
    RejectionBackoff backoff;
    Random random(1);
    backoff.record_rejection(kStart, random);
    CHECK(backoff.is_paused(kStart + 24ms));
    CHECK_FALSE(backoff.is_paused(kStart + 75ms));
    for (int i = 0; i < 10; ++i) backoff.record_rejection(kStart, random);
    CHECK(backoff.is_paused(kStart + 999ms));
    CHECK_FALSE(backoff.is_paused(kStart + 3s));
}

TEST_CASE("each success halves the pause") {
    RejectionBackoff backoff;
    Random random(1);
    for (int i = 0; i < 10; ++i) backoff.record_rejection(kStart, random);
    for (int i = 0; i < 10; ++i) backoff.record_success();
    backoff.record_rejection(kStart, random);
    CHECK_FALSE(backoff.is_paused(kStart + 75ms));
}

TEST_CASE("after an attempt that got no connection the pause is 50 ms, and a longer pause stays") {
    RejectionBackoff backoff;
    backoff.record_no_connection(kStart);
    CHECK(backoff.is_paused(kStart + 49ms));
    CHECK_FALSE(backoff.is_paused(kStart + 50ms));
    backoff.record_no_connection(kStart - 20ms);
    CHECK(backoff.is_paused(kStart + 49ms));
}
