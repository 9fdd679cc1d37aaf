// Canonical texts and shapes. A canonical text holds the tokens of a statement, each after a blank, with
// placeholders for literals. A shape is a hash that identifies the statements whose canonical texts differ at
// most in the kinds of their literals.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace indigovane::statement {

// The bytes that stand for literals in a canonical text. Outside of quoted identifiers they are unambiguous,
// because control characters belong to no token.
enum Placeholder : char {
    kText = 1,     // 'x', E'x', U&'x', N'x', $$x$$
    kInteger = 2,  // an integer that fits 32 bits, which the grammar tells apart from other numbers
    kNumber = 3,   // any other number
    kBits = 4,     // B'1', X'f'
    kAny = 5,      // an element of IN (), ARRAY[] or VALUES (), where literals of all kinds may stand
};

// XXH3-128 of the canonical text with the same placeholder for literals of all kinds.
struct Shape {
    std::uint64_t high = 0, low = 0;
    bool operator==(const Shape&) const = default;
    auto operator<=>(const Shape&) const = default;
    std::string hex() const;  // 32 hexadecimal digits
    // Returns false and leaves `out` unchanged unless `hex` consists of 32 hexadecimal digits.
    static bool parse(std::string_view hex, Shape& out);
};
struct ShapeHash {
    std::size_t operator()(const Shape& shape) const { return std::size_t(shape.low); }
};

Shape shape_of(std::string_view canonical);
// Replaces each placeholder by a literal of its kind, so that the statement can be parsed.
std::string parsable(std::string_view canonical);
// The canonical text for people: placeholders become ?, control characters become blanks, and a text of
// more than `max_bytes` bytes is cut and ends in "...".
std::string printable(std::string_view canonical, std::size_t max_bytes = 512);

}  // namespace indigovane::statement
