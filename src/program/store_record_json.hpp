// Records of a store as JSON, one object a line: what `store dump` and `store get` print and `store load`
// reads.
//
//   {"space": name, "key": ..., "value": ..., "sequence": number, "expires_ms": number}
//
// Text stands as text, other bytes as {"hex": "..."}. A session's commit has 16 hex digits for its key and
// {"commit_us": number, "open": bool} for its value: JSON numbers would lose digits of a session's id.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "store/format.hpp"

namespace indigovane::program {

// A line that is no record; what() says why.
struct RecordFormatError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One line, without its end.
std::string write_record_line(const store::Record& record, std::uint64_t sequence);
// `sequence` is ignored: a record gets a new one where it is stored. Throws RecordFormatError.
store::Record read_record_line(const std::string& line);

// The bytes of a session's key; nothing where the text is not 16 hex digits.
std::optional<std::string> read_session_key(std::string_view hex);

}  // namespace indigovane::program
