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

struct Element {
    std::string id;  // an SD-NAME, such as request@32473
    std::vector<std::pair<std::string, std::string>> parameters;
    bool operator==(const Element&) const = default;
};

struct Message {
    int facility = 3;  // system daemons
    Severity severity = Severity::informational;
    std::string timestamp;  // RFC 3339; empty: none
    std::string host, app, process, id;
    std::vector<Element> data;
    std::string text;  // UTF-8
    bool operator==(const Message&) const = default;
};

// Names and header fields are made to fit what the RFC allows of them: other characters become '_', and what
// is too long is cut.
std::string write(const Message& message);
std::optional<Message> read(std::string_view line);

std::string timestamp(std::int64_t unix_micros);  // in UTC, to the microsecond

std::string frame(std::string_view message);  // its length, a space, itself
enum class Next { message, more, malformed };
// The framed message at the front of `in`; `length` is what it takes with its frame.
Next next_frame(std::string_view in, std::size_t limit, std::string_view& message, std::size_t& length);

}  // namespace indigovane::protocol::syslog
