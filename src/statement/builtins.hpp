// PostgreSQL's built-in functions with their effects, its operators and its types. The lists follow chapters
// 8 and 9 of the documentation of version 15, which states the volatility of some functions only. A name that
// is not listed is unknown, and a statement that uses it goes to the primary. So a gap in the lists only
// moves a read from a replica to the primary; it never puts data at risk.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace indigovane::statement {

// What a function, operator or relation may do when it is evaluated. In ascending order of severity.
enum class Effect : std::uint8_t {
    reads,    // only reads, whatever its volatility
    session,  // changes state of the connection that later statements see: settings, advisory locks, the
              // last values of sequences
    writes,   // changes data, or something outside the transaction
};

// The effect of the function `name` (without a schema) in pg_catalog. Returns nothing if none is known.
std::optional<Effect> builtin_function(std::string_view name);
bool builtin_aggregate(std::string_view name);  // its cost grows with the number of rows
bool builtin_operator(std::string_view name);
bool builtin_type(std::string_view name);  // `name` as in the parse tree: int4, not integer
// Whether the function takes a statement, table or file as text, so that the parse tree doesn't show what it
// reads or runs.
bool opaque_function(std::string_view name);

}  // namespace indigovane::statement
