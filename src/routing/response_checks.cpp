#include "routing/response_checks.hpp"

namespace indigovane::routing {

namespace {
constexpr std::int64_t kMaxAheadMicros = 1'000'000;        // one second, since clocks differ
constexpr std::int64_t kMaxBehindMicros = 86'400'000'000;  // one day
constexpr double kMaxReportedCount = 1e6;
// Positions are rounded down to milliseconds and commits up, so each may be off by one.
constexpr std::int64_t kRoundingMillis = 2;
// A staleness bound is a time limit. A host that is reached over a socket allows data to be older by up to
// this much.
constexpr std::int64_t kBoundToleranceMillis = 50;
}  // namespace

bool is_plausible_position(std::optional<std::int64_t> position_unix_us, std::int64_t now_unix_us) {
    if (!position_unix_us) return true;
    return *position_unix_us <= now_unix_us + kMaxAheadMicros &&
           *position_unix_us >= now_unix_us - kMaxBehindMicros;
}

bool is_plausible_report(const policy::LoadReport& report) {
    auto plausible = [](std::optional<double> value) {
        return !value || (*value >= 0 && *value < kMaxReportedCount);
    };
    return plausible(report.in_flight) && plausible(report.queued) && plausible(report.cpu_utilization);
}

policy::LoadReport sanitize(AttemptResult& result, const Clock& clock, Time now) {
    std::int64_t now_unix_us = clock.to_unix(now);
    if (!is_plausible_position(result.position_unix_us, now_unix_us)) {
        result.position_unix_us.reset();
        result.answer.position_unix_ms.reset();
    }
    policy::LoadReport report = result.report;
    if (!is_plausible_position(result.report_position_unix_us, now_unix_us) || !is_plausible_report(report))
        return {};
    if (result.report_position_unix_us) report.position = clock.from_unix(*result.report_position_unix_us);
    return report;
}

// Needed although hosts check for themselves: they still give stale answers to a session's read that follows
// its write within 100 ms.
bool is_stale(const ClientRequest& request, const BackendTask& task, const AttemptResult& result) {
    if (result.status != policy::AttemptStatus::ok || result.role == policy::Role::primary) return false;
    if (!task.required_position_unix_ms || !result.position_unix_us) return false;
    std::int64_t tolerance = kRoundingMillis + (request.session ? 0 : kBoundToleranceMillis);
    return *result.position_unix_us / kMicrosPerMilli + tolerance < *task.required_position_unix_ms;
}

}  // namespace indigovane::routing
