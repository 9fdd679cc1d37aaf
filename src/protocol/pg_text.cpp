#include "protocol/pg_text.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace indigovane::protocol::pg {

bool is_blank(char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f';
}

bool is_valid_text(std::string_view bytes) {
    for (std::size_t i = 0; i < bytes.size();) {
        auto lead = std::uint8_t(bytes[i]);
        if (lead < 0x80) {
            if ((lead < 0x20 && !is_blank(char(lead))) || lead == 0x7f) return false;
            ++i;
            continue;
        }
        std::size_t continuation_bytes = lead >= 0xc2 && lead < 0xe0   ? 1
                                         : lead >= 0xe0 && lead < 0xf0 ? 2
                                         : lead >= 0xf0 && lead < 0xf5 ? 3
                                                                       : 0;
        if (continuation_bytes == 0 || bytes.size() - i <= continuation_bytes) return false;
        std::uint32_t code_point = lead & (0x3fu >> continuation_bytes);
        for (std::size_t k = 1; k <= continuation_bytes; ++k) {
            auto next = std::uint8_t(bytes[i + k]);
            if (next >> 6 != 2) return false;
            code_point = code_point << 6 | (next & 0x3f);
        }
        constexpr std::uint32_t kMinCodePoint[] = {0, 0x80, 0x800, 0x10000};
        if (code_point < kMinCodePoint[continuation_bytes] || code_point > 0x10ffff ||
            (code_point >= 0xd800 && code_point < 0xe000))
            return false;
        i += continuation_bytes + 1;
    }
    return true;
}

std::string quote(std::string_view text) {
    std::string out = "'";
    for (char c : text) {
        if (c == '\'') out += '\'';
        out += c;
    }
    return out += '\'';
}

std::string hex(std::string_view bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string out = "\\x";
    for (char c : bytes) {
        out += kDigits[std::uint8_t(c) >> 4];
        out += kDigits[std::uint8_t(c) & 15];
    }
    return out;
}

bool is_hex(std::string_view text) {
    return text.substr(0, 2) == "\\x" && text.size() % 2 == 0 &&
           std::all_of(text.begin() + 2, text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || ((c | 32) >= 'a' && (c | 32) <= 'f'); });
}

std::optional<std::string> unhex(std::string_view text) {
    if (text.substr(0, 2) != "\\x" || text.size() % 2) return std::nullopt;
    std::string out;
    for (std::size_t i = 2; i < text.size(); i += 2) {
        unsigned value = 0;
        auto [end, error] = std::from_chars(text.data() + i, text.data() + i + 2, value, 16);
        if (error != std::errc() || end != text.data() + i + 2) return std::nullopt;
        out += char(value);
    }
    return out;
}

}  // namespace indigovane::protocol::pg
