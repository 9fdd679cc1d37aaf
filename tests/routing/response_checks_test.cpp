// Implausible positions and load reports of hosts are dropped, and stale answers are detected.
#include "routing/response_checks.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;

AttemptResult answer_at(std::int64_t position_unix_ms) {
    AttemptResult result;
    result.status = policy::AttemptStatus::ok;
    result.position_unix_us = position_unix_ms * 1000;
    return result;
}

}  // namespace

TEST_CASE("checks: a position more than one second ahead or one day behind is implausible") {
    constexpr std::int64_t now = 1'000'000'000'000;
    CHECK(is_plausible_position(std::nullopt, now));
    CHECK(is_plausible_position(now + 1'000'000, now));
    CHECK(!is_plausible_position(now + 1'000'001, now));
    CHECK(is_plausible_position(now - 86'400'000'000, now));
    CHECK(!is_plausible_position(now - 86'400'000'001, now));
}

TEST_CASE("checks: a load report with one implausible value or position is dropped as a whole") {
    Clock clock;
    Time now = clock.now();
    AttemptResult result;
    result.report.in_flight = 3;
    result.report_position_unix_us = clock.to_unix(now);
    CHECK(sanitize(result, clock, now).in_flight == 3);
    CHECK(sanitize(result, clock, now).position == now);

    result.report.queued = -1;
    CHECK(!sanitize(result, clock, now).in_flight);
    result.report.queued = 0;
    result.report_position_unix_us = clock.to_unix(now + 2s);
    CHECK(!sanitize(result, clock, now).in_flight);
    result.position_unix_us = clock.to_unix(now + 2s);
    sanitize(result, clock, now);
    CHECK(!result.position_unix_us);
}

TEST_CASE("checks: an answer is stale if its position is below the required one by more than the tolerance") {
    ClientRequest session_read;
    session_read.session = 1;
    ClientRequest bounded_read;
    BackendTask task;
    CHECK(!is_stale(session_read, task, answer_at(900)));  // no position is required
    task.required_position_unix_ms = 1000;

    CHECK(!is_stale(session_read, task, answer_at(998)));  // within the rounding tolerance
    CHECK(is_stale(session_read, task, answer_at(997)));
    CHECK(!is_stale(bounded_read, task, answer_at(948)));  // within the tolerance of a staleness bound
    CHECK(is_stale(bounded_read, task, answer_at(947)));
    AttemptResult by_primary = answer_at(900);
    by_primary.role = policy::Role::primary;
    CHECK(!is_stale(session_read, task, by_primary));
}

}  // namespace indigovane::testing
