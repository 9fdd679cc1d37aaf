// Lines of the simulator's wire: a name and name=value pairs, set apart by spaces. Nothing here knows what
// they mean.
//
// Numbers that can't be read throw Malformed, whose text names the value; nothing else is thrown.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::simulator {

/// The input breaks the protocol; the text says how.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// One message. Keeps views into the text that it was made from.
class Line {
  public:
    /// Throws Malformed where a part is not name=value.
    explicit Line(std::string_view text);
    explicit Line(const char* text) : Line(std::string_view(text)) {}
    explicit Line(std::string&& text) = delete;  // would be gone before its views

    std::string_view name() const { return name_; }
    /// A field's value; nothing where it is absent.
    std::optional<std::string_view> find(std::string_view field) const;
    /// A field's value; throws Malformed where it is absent.
    std::string_view require(std::string_view field) const;

  private:
    std::string_view name_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

std::uint64_t to_count(std::string_view text);
/// Finite numbers only.
double to_number(std::string_view text);
/// 1, 0, true or false.
bool to_flag(std::string_view text);
std::uint64_t to_hex(std::string_view text);
/// Milliseconds with a fraction, as microseconds.
std::int64_t to_micros(std::string_view millis);
/// The reverse, with three digits after the point.
std::string from_micros(std::int64_t micros);

}  // namespace indigovane::simulator
