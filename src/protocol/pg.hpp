// PostgreSQL's wire protocol, version 3, as far as simple queries need it. No I/O: bytes in, bytes out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::pg {

constexpr std::uint32_t kVersion3 = 196608;
constexpr std::uint32_t kCancelCode = 80877102;
constexpr std::uint32_t kSslCode = 80877103;
constexpr std::uint32_t kGssCode = 80877104;

namespace sqlstate {
constexpr std::string_view kProtocolViolation = "08P01";
constexpr std::string_view kFeatureNotSupported = "0A000";
constexpr std::string_view kInvalidParameter = "22023";
constexpr std::string_view kSyntaxError = "42601";
constexpr std::string_view kProgramLimit = "54000";
constexpr std::string_view kTooManyConnections = "53300";
constexpr std::string_view kCannotConnectNow = "57P03";
constexpr std::string_view kReadOnly = "25006";
constexpr std::string_view kSnapshotTooOld = "72000";
constexpr std::string_view kConnectionFailure = "08006";
constexpr std::string_view kQueryCanceled = "57014";
constexpr std::string_view kBadText = "22021";
constexpr std::string_view kOutOfMemory = "53200";
}  // namespace sqlstate

// ---- reading -----------------------------------------------------------------------------------

enum class Next { message, more, too_long, malformed };

struct Message {
    char type = 0;  // 0: a startup packet, which has none
    std::string_view body;
};

// The message at the front of `in`; `length` is how many bytes it takes, told for `too_long` too.
Next next_message(std::string_view in, std::size_t limit, Message& message, std::size_t& length);
Next next_startup(std::string_view in, std::size_t limit, Message& message, std::size_t& length);

std::uint32_t read_u32(std::string_view bytes);                       // the first four; 0 if there are fewer
std::optional<std::string_view> read_string(std::string_view& rest);  // up to a NUL, which is skipped

struct ErrorFields {
    std::string_view severity, code, message;
};
ErrorFields read_error(std::string_view body);

struct Column {
    std::string_view name;
    bool binary = false;
};
std::optional<std::vector<Column>> read_columns(std::string_view body);  // of a RowDescription
// All values of a DataRow; null is nothing.
std::optional<std::vector<std::optional<std::string_view>>> read_values(std::string_view body);
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body);

// ---- writing -----------------------------------------------------------------------------------

class Writer {
  public:
    Writer& startup(std::string_view user, std::string_view database);
    Writer& query(std::string_view sql);
    Writer& authentication_ok();
    Writer& parameter(std::string_view name, std::string_view value);
    Writer& backend_key(std::uint32_t process, std::uint32_t secret);
    Writer& ready() { return plain('Z', "I"); }
    Writer& empty_query() { return plain('I', ""); }
    Writer& complete(std::string_view tag);
    struct ColumnSpec {
        std::string_view name;
        std::uint32_t type;
        bool binary;
    };
    Writer& row_description(const std::vector<ColumnSpec>& columns);
    Writer& data_row(const std::vector<std::optional<std::string_view>>& values);
    Writer& error(std::string_view severity, std::string_view code, std::string_view message,
                  std::string_view detail = {});
    Writer& plain(char type, std::string_view body);

    std::string take() { return std::move(out_); }

  private:
    std::size_t begin(char type);
    void end(std::size_t at);
    void u16(std::uint16_t v);
    void u32(std::uint32_t v);
    void text(std::string_view s);

    std::string out_;
};

// ---- statements --------------------------------------------------------------------------------

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

bool valid_text(std::string_view bytes);   // UTF-8 without control characters but blanks
std::string quote(std::string_view text);  // as a string literal
std::string hex(std::string_view bytes);   // as bytea's text form: \x...
std::optional<std::string> unhex(std::string_view text);
bool is_hex(std::string_view text);  // whether unhex() reads it

}  // namespace indigovane::protocol::pg
