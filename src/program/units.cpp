#include "program/units.hpp"

#include <charconv>

namespace indigovane::program {

using limits::Duration;

namespace {

// Whole numbers up to these limits are exact as a double.
constexpr double kMaxNumber = 1e15;
constexpr double kMaxMicroseconds = 9e15;

// Parses a whole number or a decimal followed by a unit of `units`, and returns the number times the unit's
// factor.
template <std::size_t N>
std::optional<double> parse_with_unit(std::string_view text,
                                      const std::pair<std::string_view, double> (&units)[N]) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value < 0 || value > kMaxNumber) return std::nullopt;
    std::string_view unit = text.substr(std::size_t(end - text.data()));
    for (auto [name, factor] : units)
        if (unit == name) return value * factor;
    return std::nullopt;
}

}  // namespace

std::optional<Duration> read_duration(std::string_view text) {
    static constexpr std::pair<std::string_view, double> kUnits[] = {
        {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
    auto microseconds = parse_with_unit(text, kUnits);
    if (!microseconds || *microseconds >= kMaxMicroseconds) return std::nullopt;
    return Duration(std::int64_t(*microseconds));
}

std::optional<std::size_t> read_size(std::string_view text) {
    static constexpr std::pair<std::string_view, double> kUnits[] = {
        {"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824.0}};
    auto bytes = parse_with_unit(text, kUnits);
    return bytes ? std::optional(std::size_t(*bytes)) : std::nullopt;
}

std::optional<double> read_percentage(std::string_view text) {
    static constexpr std::pair<std::string_view, double> kUnits[] = {{"%", 0.01}};
    return parse_with_unit(text, kUnits);
}

}  // namespace indigovane::program
