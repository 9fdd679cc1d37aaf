// Reads messages of PostgreSQL's wire protocol, version 3: their framing and bodies. No I/O. All views point
// into the given bytes. Source: PostgreSQL documentation, "Frontend/Backend Protocol", "Message Formats".
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::pg {

// Protocol version and request codes of startup packets.
constexpr std::uint32_t kVersion3 = 196608;
constexpr std::uint32_t kCancelCode = 80877102;
constexpr std::uint32_t kSslCode = 80877103;
constexpr std::uint32_t kGssCode = 80877104;

// SQLSTATE codes that this program sends or handles specially (PostgreSQL documentation, appendix A).
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

// Result of reading: a complete message, more bytes needed, or the reason why the message is rejected.
enum class Next { message, more, too_long, malformed };

struct Message {
    // 0 for a startup packet, which has no type byte.
    char type = 0;
    std::string_view body;
};

// Reads the message at the front of `in`. `length` is its total size in bytes, also set for Next::too_long;
// `limit` is the maximum of it.
Next next_message(std::string_view in, std::size_t limit, Message& message, std::size_t& length);
// Like next_message(), for a startup packet.
Next next_startup(std::string_view in, std::size_t limit, Message& message, std::size_t& length);

// The big-endian number in the first four bytes; 0 if there are fewer.
std::uint32_t read_u32(std::string_view bytes);
// Takes a string that ends with a NUL, and the NUL, from the front of `input`. Returns nothing if there is no
// NUL.
std::optional<std::string_view> read_string(std::string_view& input);

struct ErrorFields {
    std::string_view severity, code, message;
};
// Reads the body of an ErrorResponse. Fields that are missing or malformed stay empty.
ErrorFields read_error(std::string_view body);

struct Column {
    std::string_view name;
    // Whether the format is binary and not text.
    bool binary = false;
};
// Reads the body of a RowDescription. Returns nothing if it is malformed.
std::optional<std::vector<Column>> read_columns(std::string_view body);
// Reads the body of a DataRow; a null value is std::nullopt. Returns nothing if the body is malformed.
std::optional<std::vector<std::optional<std::string_view>>> read_values(std::string_view body);
// Reads the name and value of a ParameterStatus. Returns nothing if the body is malformed.
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body);

}  // namespace indigovane::protocol::pg
