// Text and bytea literals of PostgreSQL.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace indigovane::protocol::pg {

bool is_blank(char c);                     // white space between words of a statement
bool valid_text(std::string_view bytes);   // UTF-8 without control characters but blanks
std::string quote(std::string_view text);  // as a string literal
std::string hex(std::string_view bytes);   // as bytea's text form: \x...
std::optional<std::string> unhex(std::string_view text);
bool is_hex(std::string_view text);  // whether unhex() reads it

}  // namespace indigovane::protocol::pg
