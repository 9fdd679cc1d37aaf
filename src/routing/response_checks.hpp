// What a host reports is checked before it is believed: positions and load reports for plausibility, answers
// for the age of their data.
#pragma once

#include "routing/backend_task.hpp"

namespace indigovane::routing {

// A position in the future would make a host count as current for good, since positions never go back.
bool is_plausible_position(std::optional<std::int64_t> position_unix_us, std::int64_t now_unix_us);
bool is_plausible_report(const policy::LoadReport& report);

// Drops from a result the position and the report that no host can rightly give. Returns the report that
// remains, with its position in the policy's time.
policy::LoadReport sanitize(AttemptResult& result, const Clock& clock, Time now);

// Whether a successful answer's data is older than its task requires, whatever the host has checked itself.
// A primary's data is never too old.
bool is_stale(const ClientRequest& request, const BackendTask& task, const AttemptResult& result);

}  // namespace indigovane::routing
