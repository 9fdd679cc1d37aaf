// What PostgreSQL brings itself: functions with what they do, operators, types. Written after the
// documentation of version 15 (chapters 8 and 9), which names volatility only in part; what is not listed is
// unknown, and what is unknown goes to the primary. So a gap costs a replica its read, never the data.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace indigovane::statement {

// What a function, operator or relation may do when it is evaluated.
enum class Effect : std::uint8_t {
    reads,    // nothing but read, whatever its volatility
    session,  // changes what later statements of its connection see: settings, advisory locks, sequences'
              // last
    writes,   // changes data, or something outside the transaction
};

// Of a function in pg_catalog, by its plain name; nothing: there is none that is known.
std::optional<Effect> builtin_function(std::string_view name);
bool builtin_aggregate(std::string_view name);  // costs grow with all rows
bool builtin_operator(std::string_view name);
bool builtin_type(std::string_view name);  // as the grammar has it: int4, not integer
// Functions that take a whole statement, a table or a file as text: what they read or run can't be seen.
bool opaque_function(std::string_view name);

}  // namespace indigovane::statement
