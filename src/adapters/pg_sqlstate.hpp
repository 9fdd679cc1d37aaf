// What the SQLSTATE of a host's error says about an attempt.
#pragma once

#include <string_view>

#include "policy/attempt_status.hpp"

namespace indigovane::adapters {

// Whether the text has the form of a SQLSTATE: five digits or capital letters.
bool is_sqlstate(std::string_view code);
// How an attempt ends that its host answers with this error.
policy::AttemptStatus attempt_status_of(std::string_view sqlstate);
// Whether the statement itself caused the error: every other host would answer the same, and the statement
// has had no effect. All other classes (08, 53, 57, 58, XX, ...) are faults of the host.
bool is_statement_error(std::string_view sqlstate);

}  // namespace indigovane::adapters
