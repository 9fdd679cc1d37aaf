#include "policy/concurrency_limit.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

namespace {

ConcurrencyLimit::Sample sample(Duration latency, int in_flight) {
    return {latency, 400ms, true, in_flight};
}

}  // namespace

TEST_CASE("the window grows by one per answer while latency is low and the window is in use") {
    ConcurrencyLimit limit;
    CHECK(limit.window() == 6);
    limit.record_latency(sample(20ms, 2), kStart);
    CHECK(limit.window() == 6);
    limit.record_latency(sample(20ms, 5), kStart);
    CHECK(limit.window() == 7);
    for (int i = 0; i < 100; ++i) limit.record_latency(sample(20ms, 100), kStart);
    CHECK(limit.window() == 64);
}

TEST_CASE("requests in flight together shrink the window once, and it grows slowly afterwards") {
    ConcurrencyLimit limit;
    limit.record_latency(sample(100ms, 2), kStart);
    limit.record_rejection(5, kStart);
    CHECK(limit.window() == doctest::Approx(4.2));
    limit.record_rejection(5, kStart + 50ms);
    CHECK(limit.window() == doctest::Approx(4.2));
    limit.record_latency(sample(100ms, 4), kStart + 60ms);
    CHECK(limit.window() == doctest::Approx(4.2 + 1 / 4.2));
}

TEST_CASE("the window shrinks while answers take most of the latency objective, but not below one") {
    ConcurrencyLimit limit;
    Time now = kStart;
    for (int i = 0; i < 100; ++i) limit.record_latency(sample(800ms, 0), now += 1s);
    CHECK(limit.window() == 1);
    CHECK(limit.admits(0, 0.1));
    CHECK_FALSE(limit.admits(1, 1));
}

TEST_CASE("replication lag shrinks a replica's window while its cores are busy, not while they are idle") {
    LoadReport report;
    report.position = kStart - 250ms;
    report.cpu_utilization = 0.5;
    ConcurrencyLimit limit;
    limit.record_replication_lag(report, 300ms, 5, kStart);
    CHECK(limit.window() == 6);
    limit.record_latency(sample(20ms, 5), kStart);
    CHECK(limit.window() == 6);
    report.cpu_utilization = 0.75;
    limit.record_replication_lag(report, 300ms, 5, kStart + 1s);
    CHECK(limit.window() == doctest::Approx(4.8));
}

TEST_CASE("after a restart the window is two and grows by one per answer") {
    ConcurrencyLimit limit;
    limit.restart();
    CHECK(limit.window() == 2);
    limit.record_latency(sample(20ms, 2), kStart);
    CHECK(limit.window() == 3);
}
