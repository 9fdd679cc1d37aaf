// Which tokens a byte may begin or continue, by PostgreSQL's lexical rules. Bytes from 0x80 on belong to
// words.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace indigovane::statement {

// kWordStart and kWordPart: the first and any further character of a word. kOperator: characters of
// operators. kPunctuation: characters that are tokens by themselves.
enum : std::uint8_t {
    kBlank = 1,
    kWordStart = 2,
    kWordPart = 4,
    kDigit = 8,
    kOperator = 16,
    kPunctuation = 32
};

constexpr std::array<std::uint8_t, 256> make_classes() {
    std::array<std::uint8_t, 256> classes{};
    for (char b : {' ', '\t', '\n', '\r', '\f', '\v'}) classes[std::uint8_t(b)] |= kBlank;
    for (int b = 'a'; b <= 'z'; ++b) classes[std::size_t(b)] |= kWordStart | kWordPart;
    for (int b = 'A'; b <= 'Z'; ++b) classes[std::size_t(b)] |= kWordStart | kWordPart;
    for (int b = 0x80; b <= 0xff; ++b) classes[std::size_t(b)] |= kWordStart | kWordPart;
    classes['_'] |= kWordStart | kWordPart;
    classes['$'] |= kWordPart;
    for (int b = '0'; b <= '9'; ++b) classes[std::size_t(b)] |= kDigit | kWordPart;
    for (char b : std::string_view("~!@#^&|`?+-*/%<>=")) classes[std::uint8_t(b)] |= kOperator;
    for (char b : std::string_view(",()[].;:")) classes[std::uint8_t(b)] |= kPunctuation;
    return classes;
}
constexpr auto kClasses = make_classes();

constexpr std::array<char, 256> make_lower() {
    std::array<char, 256> folded{};
    for (int b = 0; b < 256; ++b) folded[std::size_t(b)] = char(b >= 'A' && b <= 'Z' ? b + 32 : b);
    return folded;
}
constexpr auto kLower = make_lower();

// Whether the character belongs to one of the classes, a bitwise combination of the constants above.
inline bool is(char c, std::uint8_t classes) {
    return (kClasses[std::uint8_t(c)] & classes) != 0;
}
// Folds ASCII letters only.
inline char lower(char c) {
    return c >= 'A' && c <= 'Z' ? char(c + 32) : c;
}
// The value of a hexadecimal digit, or -1 if the character is none.
inline int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    c = lower(c);
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

}  // namespace indigovane::statement
