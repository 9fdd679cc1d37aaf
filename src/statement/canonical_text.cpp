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
    // Replaces placeholders of all kinds by the same one. Quoted identifiers are left as they are, because a
    // control character in one is not a placeholder.
    std::string normalized(canonical);
    bool is_quoted = false;
    for (char& c : normalized) {
        if (c == '"') is_quoted = !is_quoted;
        if (!is_quoted && c >= kText && c <= kAny) c = kText;
    }
    XXH128_hash_t hash = XXH3_128bits(normalized.data(), normalized.size());
    return {hash.high64, hash.low64};
}

std::string parsable(std::string_view canonical) {
    std::string out;
    out.reserve(canonical.size() + 64);
    bool is_quoted = false;
    for (char c : canonical) {
        if (c == '"') is_quoted = !is_quoted;
        if (is_quoted || c < kText || c > kAny) {
            out += c;
            continue;
        }
        switch (c) {
            case kText:
                out += "'1'";
                break;
            case kInteger:
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

std::string printable(std::string_view canonical, std::size_t max_bytes) {
    std::string out;
    for (char c : canonical.substr(canonical.empty() ? 0 : 1)) {
        if (out.size() >= max_bytes) return out + "...";
        out += c >= kText && c <= kAny ? '?' : std::uint8_t(c) < 0x20 || c == 0x7f ? ' ' : c;
    }
    return out;
}

}  // namespace indigovane::statement
