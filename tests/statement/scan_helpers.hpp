// Helpers for tests: scan a statement and return its canonical text, its shape or its flaw.
#pragma once

#include <doctest/doctest.h>

#include <string>
#include <string_view>

#include "statement/statement_analyzer.hpp"

namespace indigovane::statement {

inline std::string canonical(std::string_view sql) {
    Scanner scanner;
    REQUIRE_MESSAGE(scanner.scan(sql), sql);
    return printable(scanner.text(), 100000);
}
inline Shape shape(std::string_view sql) {
    Scanner scanner;
    scanner.scan(sql);
    return shape_of(scanner.text());
}
inline Flaw flaw(std::string_view sql) {
    Scanner scanner;
    return scanner.scan(sql) ? Flaw::none : scanner.flaw();
}

}  // namespace indigovane::statement
