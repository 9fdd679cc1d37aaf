// Lines of the wire: a name and name=value pairs. Nothing here knows what they mean.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::simulator {

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Line {
  public:
    explicit Line(std::string_view text);  // keeps views into `text`

    std::string_view name() const { return name_; }
    std::optional<std::string_view> find(std::string_view field) const;
    std::string_view need(std::string_view field) const;  // throws Malformed

  private:
    std::string_view name_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

std::uint64_t to_count(std::string_view text);
double to_number(std::string_view text);
bool to_flag(std::string_view text);  // 1, 0, true, false
std::uint64_t to_hex(std::string_view text);
std::int64_t to_micros(std::string_view millis);
std::string from_micros(std::int64_t micros);

}  // namespace indigovane::simulator
