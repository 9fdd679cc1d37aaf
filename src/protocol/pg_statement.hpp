// The statements of clients: the comment before one that holds names and values, and the forms that the
// translator knows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::pg {

// A statement with the comment before it that holds names and values. Views into the text.
struct Statement {
    std::vector<std::pair<std::string_view, std::string_view>> fields;
    std::string_view comment;  // with its delimiters; empty: there was none
    std::string_view body;     // what follows it, without a closing semicolon and blanks
    bool several = false;      // more than one statement
    bool malformed = false;    // the comment, or a literal, does not end or parse

    std::optional<std::string_view> field(std::string_view name) const;
};
Statement read_statement(std::string_view sql);

// The statements that the translator knows; views into the text where there is no escape.
struct Verb {
    enum class Kind { lookup, write, page, other } kind = Kind::other;
    std::string name;                    // of the row looked up or written; the row before a page
    std::optional<std::string> content;  // written: the literal's value as it stands
    std::string_view long_content;       // or this, where it is long: not copied, and with no quote in it
    std::optional<std::string> prefix;
    std::uint32_t limit = 0;
};
Verb read_verb(std::string_view body);

// The same text with field `d` set to `value`; added where there was none. Appended to `out`, in one
// allocation.
std::string with_deadline(std::string_view sql, const Statement& statement, std::string_view value,
                          std::string out = {});
// A query message of that text.
std::string query_with_deadline(std::string_view sql, const Statement& statement, std::string_view value);

}  // namespace indigovane::protocol::pg
