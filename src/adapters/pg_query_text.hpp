// The statement, with its comment, of a request that came in by another wire than PostgreSQL's.
#pragma once

#include <cstdint>
#include <string>

#include "routing/types.hpp"

namespace indigovane::adapters {

// `remaining_ms`: how long the answer is waited for. Empty statement: a request of verb `other` has its own.
std::string query_text(const routing::ClientRequest& request, std::int64_t remaining_ms);

}  // namespace indigovane::adapters
