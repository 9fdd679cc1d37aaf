// The SQL statement, with its leading comment, for a request that did not arrive over the PostgreSQL
// protocol.
#pragma once

#include <cstdint>
#include <string>

#include "routing/types.hpp"

namespace indigovane::adapters {

// `remaining_ms`: time left until the request's deadline, written as the comment's field `d`. For the verb
// `other` the result is the comment alone, since such a request carries its own statement.
std::string query_text(const routing::ClientRequest& request, std::int64_t remaining_ms);

}  // namespace indigovane::adapters
