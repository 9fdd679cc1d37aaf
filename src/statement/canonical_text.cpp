#include "statement/canonical_text.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "statement/character_classes.hpp"

namespace indigovane::statement {

std::string Shape::hex() const {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string out;
    for (std::uint64_t half : {high, low})
        for (int shift = 60; shift >= 0; shift -= 4) out += kDigits[half >> shift & 15];
    return out;
}

bool Shape::parse(std::string_view text, Shape& out) {
    if (text.size() != 32) return false;
    std::uint64_t halves[2] = {};
    for (std::size_t i = 0; i < 32; ++i) {
        int digit = hex_digit(text[i]);
        if (digit < 0) return false;
        halves[i / 16] = halves[i / 16] << 4 | std::uint64_t(digit);
    }
    out = {halves[0], halves[1]};
    return true;
}

Shape shape_of(std::string_view canonical) {
    // Placeholders of all kinds are made alike on the way. A quoted identifier keeps its bytes: control
    // characters in one are told from placeholders by the quotes.
    std::string even(canonical);
    bool quoted = false;
    for (char& c : even) {
        if (c == '"') quoted = !quoted;
        if (!quoted && c >= kText && c <= kAny) c = kText;
    }
    XXH128_hash_t hash = XXH3_128bits(even.data(), even.size());
    return {hash.high64, hash.low64};
}

std::string parsable(std::string_view canonical) {
    std::string out;
    out.reserve(canonical.size() + 64);
    bool quoted = false;
    for (char c : canonical) {
        if (c == '"') quoted = !quoted;
        if (quoted || c < kText || c > kAny) {
            out += c;
            continue;
        }
        switch (c) {
            case kText:
                out += "'1'";
                break;
            case kWhole:
            case kAny:
                out += '1';
                break;
            case kNumber:
                out += "1.0";
                break;
            case kBits:
                out += "B'1'";
                break;
        }
    }
    return out;
}

std::string printable(std::string_view canonical, std::size_t most) {
    std::string out;
    for (char c : canonical.substr(canonical.empty() ? 0 : 1)) {
        if (out.size() >= most) return out + "...";
        out += c >= kText && c <= kAny ? '?' : std::uint8_t(c) < 0x20 || c == 0x7f ? ' ' : c;
    }
    return out;
}

}  // namespace indigovane::statement
