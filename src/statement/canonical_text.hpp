// Canonical texts of statements: tokens, each after a blank, literals as placeholders; and the shape that
// names all statements with the same canonical text.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace indigovane::statement {

// The bytes that stand for literals in a canonical text. They can't come from outside a quoted identifier:
// control characters belong to no token.
enum Placeholder : char {
    kText = 1,    // 'x', E'x', U&'x', N'x', $$x$$
    kWhole = 2,   // a number that fits 32 bits, as the grammar tells them apart
    kNumber = 3,  // any other number
    kBits = 4,    // B'1', X'f'
    kAny = 5,     // an element of IN (), ARRAY[] or VALUES (): each kind may stand there
};

struct Shape {  // XXH3-128 of the canonical text, all kinds of literal made alike
    std::uint64_t high = 0, low = 0;
    bool operator==(const Shape&) const = default;
    auto operator<=>(const Shape&) const = default;
    std::string hex() const;  // 32 digits
    static bool parse(std::string_view hex, Shape& out);
};
struct ShapeHash {
    std::size_t operator()(const Shape& s) const { return std::size_t(s.low); }
};

// Of a canonical text.
Shape shape_of(std::string_view canonical);
// The canonical text as a statement that can be parsed: a literal in each placeholder's stead.
std::string parsable(std::string_view canonical);
// For people: placeholders as ?.
std::string printable(std::string_view canonical, std::size_t most = 512);

}  // namespace indigovane::statement
