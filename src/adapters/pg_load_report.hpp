// Load reports of hosts, as the parameter `health` and the answer to SHOW health carry them: comma-separated
// name=value pairs, for example "inflight=7,util=0.61".
#pragma once

#include <string_view>

#include "routing/types.hpp"

namespace indigovane::adapters {

// Sets `report` and `report_position_unix_us` of `result`. Unknown names are skipped. A report with any part
// that cannot be parsed leaves `result` unchanged.
void read_load_report(std::string_view text, routing::AttemptResult& result);

}  // namespace indigovane::adapters
