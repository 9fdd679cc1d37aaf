#include "policy/outlier_ejection.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("an endpoint is ejected once more than half of its recent answers are errors") {
    Ejection ejection;
    int errors = 1;
    while (!ejection.record_attempt_end(AttemptStatus::error, kStart).was_ejected) ++errors;
    CHECK(errors == 5);
    CHECK(ejection.fault() == Fault::erring);
    CHECK_FALSE(ejection.record_attempt_end(AttemptStatus::rejected, kStart).was_readmitted);
    CHECK(ejection.record_attempt_end(AttemptStatus::ok, kStart).was_readmitted);
    CHECK_FALSE(ejection.is_ejected());
}

TEST_CASE("an ejected endpoint admits a trial after 200 ms, then after pauses that double up to 2 s") {
    Ejection ejection;
    CHECK(ejection.eject(Fault::erring, kStart));
    CHECK_FALSE(ejection.eject(Fault::erring, kStart));
    CHECK_FALSE(admits_request(ejection, Idempotency::idempotent, true, kStart + 199ms));
    CHECK(admits_request(ejection, Idempotency::idempotent, true, kStart + 200ms));

    Time now = kStart + 200ms;
    for (Duration pause : {400ms, 800ms, 1600ms, 2000ms, 2000ms}) {
        ejection.start_trial(now);
        CHECK_FALSE(ejection.is_trial_due(now + pause - 1us));
        now += pause;
        CHECK(ejection.is_trial_due(now));
    }
    ejection.record_attempt_end(AttemptStatus::ok, now);
    CHECK_FALSE(ejection.is_ejected());
}

TEST_CASE(
    "a request that is not idempotent, even with a key, is a trial only two seconds after the ejection") {
    Ejection ejection;
    ejection.eject(Fault::unresponsive, kStart);
    CHECK_FALSE(admits_request(ejection, Idempotency::idempotency_key, true, kStart + 1999ms));
    CHECK(admits_request(ejection, Idempotency::idempotency_key, true, kStart + 2s));
}

TEST_CASE("an unreachable endpoint is tried by health checks where they are allowed") {
    Ejection ejection;
    ejection.eject(Fault::unreachable, kStart);
    CHECK_FALSE(admits_request(ejection, Idempotency::idempotent, true, kStart + 10s));
    CHECK(admits_request(ejection, Idempotency::idempotent, false, kStart + 10s));
    CHECK(ejection.record_health_check(true, false, kStart + 10s).was_readmitted);
    ejection.eject(Fault::unresponsive, kStart);
    CHECK_FALSE(ejection.record_health_check(true, false, kStart + 10s).was_readmitted);
}

TEST_CASE("an endpoint is unresponsive when it answers none of several requests for many usual latencies") {
    Ejection ejection;
    ejection.record_attempt_sent(0, 10, kStart);
    CHECK_FALSE(ejection.is_unresponsive(1, 10, kStart + 10s));
    ejection.record_attempt_sent(1, 10, kStart);
    CHECK_FALSE(ejection.is_unresponsive(2, 10, kStart + 350ms));
    CHECK(ejection.is_unresponsive(2, 10, kStart + 351ms));
    CHECK_FALSE(ejection.is_unresponsive(2, 100, kStart + 600ms));
    CHECK(ejection.is_unresponsive(2, 100, kStart + 601ms));
    ejection.record_attempt_end(AttemptStatus::miss, kStart + 300ms);
    CHECK_FALSE(ejection.is_unresponsive(2, 10, kStart + 351ms));
}
