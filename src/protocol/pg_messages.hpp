// Messages of PostgreSQL's wire protocol, version 3, as they are read: framing and bodies. No I/O.
// Source: PostgreSQL documentation, "Frontend/Backend Protocol", "Message Formats". Views point into the
// bytes read.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::pg {

// Request codes of startup packets.
constexpr std::uint32_t kVersion3 = 196608;
constexpr std::uint32_t kCancelCode = 80877102;
constexpr std::uint32_t kSslCode = 80877103;
constexpr std::uint32_t kGssCode = 80877104;

// Error codes that this program gives or tells apart (PostgreSQL documentation, appendix A).
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

}  // namespace indigovane::protocol::pg
