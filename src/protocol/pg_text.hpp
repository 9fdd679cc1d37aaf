// Text and bytea literals of PostgreSQL.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace indigovane::protocol::pg {

// Whether the character is white space between the words of a statement.
bool is_blank(char c);
// Whether the bytes are UTF-8 and hold no control characters other than white space.
bool is_valid_text(std::string_view bytes);
// Writes a string literal.
std::string quote(std::string_view text);
// Writes the hex form of a bytea value: \x and two digits per byte.
std::string hex(std::string_view bytes);
// Reads the hex form of a bytea value. Returns nothing if it is malformed.
std::optional<std::string> unhex(std::string_view text);
// Whether unhex() can read the text.
bool is_hex(std::string_view text);

}  // namespace indigovane::protocol::pg
