// Records of a store as JSON, one object on each line. `store dump` and `store get` print them and `store
// load` reads them.
//
//   {"space": name, "key": ..., "value": ..., "sequence": number, "expires_ms": number}
//
// Printable ASCII is written as a string, other bytes as {"hex": "..."}. A session's commit has 16 hex digits
// as its key, because a JSON number would lose digits of the session's id. Its value is
// {"commit_us": number, "open": bool}.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "store/format.hpp"

namespace indigovane::program {

// Thrown for a line that is not a record. what() gives the reason.
struct RecordFormatError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Returns the line without a line feed.
std::string write_record_line(const store::Record& record, std::uint64_t sequence);
// Ignores the line's `sequence`: the store assigns a new one. Throws RecordFormatError.
store::Record read_record_line(const std::string& line);

// Returns the bytes of a session's key, or nothing if the text is not 16 hex digits.
std::optional<std::string> read_session_key(std::string_view hex);

}  // namespace indigovane::program
