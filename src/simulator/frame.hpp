// Parser for the lines of the simulator protocol: a message name followed by name=value pairs, separated by
// spaces. This file doesn't interpret the names and values.
//
// A number that cannot be parsed throws Malformed with the value in its text. No other exception is thrown.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::simulator {

/// Thrown for input that violates the protocol. The text describes the violation.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// One parsed message. Holds views into the text passed to the constructor, which must outlive it.
class Line {
  public:
    /// Throws Malformed if a part after the name is not name=value.
    explicit Line(std::string_view text);
    explicit Line(const char* text) : Line(std::string_view(text)) {}
    /// Deleted: the views would outlive a temporary string.
    explicit Line(std::string&& text) = delete;

    std::string_view name() const { return name_; }
    /// Returns a field's value, or std::nullopt if the field is absent.
    std::optional<std::string_view> find(std::string_view field) const;
    /// Returns a field's value. Throws Malformed if the field is absent.
    std::string_view require(std::string_view field) const;

  private:
    std::string_view name_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

/// Parses an unsigned decimal integer.
std::uint64_t to_count(std::string_view text);
/// Parses a decimal number. Throws Malformed for infinity and NaN as well.
double to_number(std::string_view text);
/// Parses "1", "0", "true" or "false".
bool to_flag(std::string_view text);
/// Parses an unsigned hexadecimal integer without a prefix.
std::uint64_t to_hex(std::string_view text);
/// Converts milliseconds with an optional fraction to microseconds, rounded to the nearest.
std::int64_t to_micros(std::string_view millis);
/// Formats microseconds as milliseconds with three digits after the decimal point.
std::string from_micros(std::int64_t micros);

}  // namespace indigovane::simulator
