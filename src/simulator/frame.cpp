#include "simulator/frame.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace indigovane::simulator {
namespace {

constexpr double kMicrosPerMilli = 1000;
/// Largest time accepted. A double cannot represent every whole microsecond much beyond it (2^53).
constexpr double kMaxMicros = 9e15;
/// Buffer size for a formatted 64-bit time, with its terminating zero.
constexpr std::size_t kTimeTextSize = 32;

template <typename T, typename... Base>
T parse(std::string_view text, const char* expected_format, Base... base) {
    T value{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    if (error != std::errc() || end != text.data() + text.size())
        throw Malformed("'" + std::string(text) + "' is not a " + expected_format);
    return value;
}

}  // namespace

Line::Line(std::string_view text) {
    bool first = true;
    while (!text.empty()) {
        std::size_t space = text.find(' ');
        std::string_view part = text.substr(0, space);
        text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
        if (first) {
            name_ = part;
            first = false;
        } else if (!part.empty()) {
            std::size_t equals = part.find('=');
            if (equals == 0 || equals == std::string_view::npos)
                throw Malformed("'" + std::string(part) + "' is not a name=value pair");
            fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
        }
    }
}

std::optional<std::string_view> Line::find(std::string_view field) const {
    for (const auto& [name, value] : fields_)
        if (name == field) return value;
    return std::nullopt;
}

std::string_view Line::require(std::string_view field) const {
    if (auto value = find(field)) return *value;
    throw Malformed("field '" + std::string(field) + "' is missing");
}

std::uint64_t to_count(std::string_view text) {
    return parse<std::uint64_t>(text, "whole number");
}
std::uint64_t to_hex(std::string_view text) {
    return parse<std::uint64_t>(text, "hex number", 16);
}

double to_number(std::string_view text) {
    auto value = parse<double>(text, "number");
    if (!std::isfinite(value)) throw Malformed("'" + std::string(text) + "' is not a finite number");
    return value;
}

bool to_flag(std::string_view text) {
    if (text == "1" || text == "true") return true;
    if (text == "0" || text == "false") return false;
    throw Malformed("'" + std::string(text) + "' is not 1, 0, true or false");
}

std::int64_t to_micros(std::string_view millis) {
    double micros = to_number(millis) * kMicrosPerMilli;
    if (std::fabs(micros) > kMaxMicros) throw Malformed("'" + std::string(millis) + "' ms is out of range");
    return std::llround(micros);
}

std::string from_micros(std::int64_t micros) {
    char text[kTimeTextSize];
    std::snprintf(text, sizeof text, "%lld.%03lld", static_cast<long long>(micros / 1000),
                  static_cast<long long>(micros % 1000));
    return text;
}

}  // namespace indigovane::simulator
