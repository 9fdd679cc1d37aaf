// Reads the statements of clients: the leading comment, which holds fields as names and values, and the forms
// of statement that the translator knows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::pg {

// A statement and its leading comment, as views into the text. The comment holds fields, such as
// "/* id=9b,d=480 */".
struct Statement {
    // No request uses nearly as many fields. read_statement() reads one more at most, so that a comment of
    // millions of them takes neither time nor memory.
    static constexpr std::size_t kMaxFields = 1024;

    std::vector<std::pair<std::string_view, std::string_view>> fields;
    // With its delimiters; empty if there is no comment.
    std::string_view comment;
    // The text after the comment, without the closing semicolon and surrounding white space.
    std::string_view body;
    // Whether the text holds more than one statement.
    bool has_several_statements = false;
    // Whether the comment or a literal is not terminated, or a field of the comment has no name or no '='.
    bool malformed = false;

    // The first field with this name.
    std::optional<std::string_view> field(std::string_view name) const;
};
Statement read_statement(std::string_view sql);

// A statement in one of the forms that the translator knows, or any other statement.
struct Verb {
    enum class Kind { lookup, write, page, other } kind = Kind::other;
    // Name of the row that is looked up or written; for a page, the name after which it starts; for other
    // statements, the first literal.
    std::string name;
    // Value of the literal that is written; bytea's hex form is not decoded. Unset if it is in
    // `long_content`.
    std::optional<std::string> content;
    // A long literal that contains no quote: a view into the statement, to avoid a copy.
    std::string_view long_content;
    // Prefix of the names in a page, if the statement has one.
    std::optional<std::string> prefix;
    // Maximum number of rows in a page.
    std::uint32_t limit = 0;
};
Verb read_verb(std::string_view body);

// Appends `sql` to `out` with the comment's field `d` set to `value`, with one allocation. The field is added
// if the comment lacks it; without a comment the text stays unchanged.
std::string with_deadline(std::string_view sql, const Statement& statement, std::string_view value,
                          std::string out = {});
// A Query message with the text of with_deadline().
std::string query_with_deadline(std::string_view sql, const Statement& statement, std::string_view value);

}  // namespace indigovane::protocol::pg
