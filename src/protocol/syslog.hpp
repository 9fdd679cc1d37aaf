// Syslog messages with structured data (RFC 5424), and their framing on a stream (RFC 6587, octet counting).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::syslog {

enum class Severity { emergency, alert, critical, error, warning, notice, informational, debug };

// A structured data element.
struct Element {
    // An SD-NAME, such as request@32473.
    std::string id;
    std::vector<std::pair<std::string, std::string>> parameters;
    bool operator==(const Element&) const = default;
};

struct Message {
    // 3: system daemons.
    int facility = 3;
    Severity severity = Severity::informational;
    // In the format of RFC 3339; empty if there is none.
    std::string timestamp;
    // Header fields; empty if absent. `id` is the MSGID.
    std::string host, app, process, id;
    std::vector<Element> data;
    // In UTF-8.
    std::string text;
    bool operator==(const Message&) const = default;
};

// Writes a message. In names and header fields, characters that the RFC does not allow become '_', and text
// over the maximum length is cut off.
std::string write(const Message& message);
// Returns nothing if the message is malformed.
std::optional<Message> read(std::string_view line);

// Formats a Unix time in microseconds as UTC, with microseconds.
std::string timestamp(std::int64_t unix_micros);

// The length of the message in bytes, a space and the message.
std::string frame(std::string_view message);
enum class Next { message, more, malformed };
// Reads the framed message at the front of `in`. `length` is its size with the frame. Messages of more than
// `limit` bytes are malformed.
Next next_frame(std::string_view in, std::size_t limit, std::string_view& message, std::size_t& length);

}  // namespace indigovane::protocol::syslog
