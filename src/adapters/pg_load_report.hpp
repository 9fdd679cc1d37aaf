// Load reports as hosts give them in the parameter `health` and as the answer of SHOW health:
// "inflight=7,util=0.61".
#pragma once

#include <string_view>

#include "routing/types.hpp"

namespace indigovane::adapters {

// Names that mean nothing here are skipped; a report that can't be read as a whole changes nothing.
void read_load_report(std::string_view text, routing::AttemptResult& result);

}  // namespace indigovane::adapters
