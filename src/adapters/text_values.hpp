// What fronts read out of a client's words, whatever the wire.
#pragma once

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace indigovane::adapters {

// A number, if it is the whole of the text.
template <typename T>
std::optional<T> whole(std::string_view text) {
    T value{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

// Fit for a statement's comment and a header field.
inline bool plain(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(std::uint8_t(c)) || std::string_view("-_.:").find(c) != std::string_view::npos;
    });
}

}  // namespace indigovane::adapters
