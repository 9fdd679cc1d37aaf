// Reading of numbers and tokens in clients' requests, for all fronts.
#pragma once

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace indigovane::adapters {

/// Returns the number that the whole text stands for, or std::nullopt.
template <typename T>
std::optional<T> parse_number(std::string_view text) {
    T value{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

/// Whether the text holds only characters that are safe in a statement's comment and in a header field.
inline bool is_plain_token(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(std::uint8_t(c)) || std::string_view("-_.:").find(c) != std::string_view::npos;
    });
}

}  // namespace indigovane::adapters
