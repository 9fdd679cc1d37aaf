// What a host reports and is not believed.
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

TEST_CASE("checks: a position over a second ahead or a day behind is dropped") {
    constexpr std::int64_t now = 1'000'000'000'000;
    CHECK(is_plausible_position(std::nullopt, now));
    CHECK(is_plausible_position(now + 1'000'000, now));
    CHECK(!is_plausible_position(now + 1'000'001, now));
    CHECK(is_plausible_position(now - 86'400'000'000, now));
    CHECK(!is_plausible_position(now - 86'400'000'001, now));
}

TEST_CASE("checks: a report with an impossible figure or position is dropped as a whole") {
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

TEST_CASE("checks: an answer is stale where its position is short of what its task requires") {
    ClientRequest session_read;
    session_read.session = 1;
    ClientRequest bounded_read;
    BackendTask task;
    CHECK(!is_stale(session_read, task, answer_at(900)));  // nothing is required
    task.required_position_unix_ms = 1000;

    CHECK(!is_stale(session_read, task, answer_at(998)));  // rounding
    CHECK(is_stale(session_read, task, answer_at(997)));
    CHECK(!is_stale(bounded_read, task, answer_at(948)));  // a time limit on sockets
    CHECK(is_stale(bounded_read, task, answer_at(947)));
    AttemptResult by_primary = answer_at(900);
    by_primary.role = policy::Role::primary;
    CHECK(!is_stale(session_read, task, by_primary));
}

}  // namespace indigovane::testing
