// Checks what a host reports before it is used: positions and load reports for plausibility, and answers for
// the age of their data.
#pragma once

#include "routing/backend_task.hpp"

namespace indigovane::routing {

// Whether a position is at most one second ahead of `now_unix_us` and at most one day behind it; true without
// a position. A position in the future would make a host count as current for good, because recorded
// positions only increase.
bool is_plausible_position(std::optional<std::int64_t> position_unix_us, std::int64_t now_unix_us);
// Whether the counts and the CPU utilization of a load report lie within plausible bounds.
bool is_plausible_report(const policy::LoadReport& report);

// Removes an implausible position from the result. Returns the load report, with its position converted to
// the policy's time, or an empty report if any of its values or its position is implausible.
policy::LoadReport sanitize(AttemptResult& result, const Clock& clock, Time now);

// Whether the data of a successful answer is older than its task requires, regardless of the host's own
// checks. The data of a primary is never too old.
bool is_stale(const ClientRequest& request, const BackendTask& task, const AttemptResult& result);

}  // namespace indigovane::routing
