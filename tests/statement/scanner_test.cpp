// Tests of the scanner by examples: canonical texts, literals and flaws. A wrong canonical text would give
// different statements one shape, or one statement several.
#include "statement/scan_helpers.hpp"

namespace indigovane::statement {
namespace {

TEST_CASE("the canonical text folds words, replaces literals, drops comments and merges equal elements") {
    CHECK(canonical("SELECT  Content FROM kv WHERE name = 'a''b' -- c") ==
          "select content from kv where name = ?");
    CHECK(canonical("select/*x/*y*/*/1,\"Odd \"\"Name\"") == "select ? , \"Odd \"\"Name\"");
    CHECK(canonical("x IN (1, -2,'c' , NULL)") == "x in ( ? )");
    CHECK(canonical("x IN (1, f(2), f(3), 4)") == "x in ( ? , f ( ? ) , ? )");
    CHECK(canonical("x IN (SELECT a, a FROM t)") == "x in ( select a , a from t )");
    CHECK(canonical("VALUES (1,'a'),(2,NULL), (3.5,$$x$$)") == "values ( ? , ? )");
    CHECK(canonical("insert into t values (now(), 1),(now(),2) returning id") ==
          "insert into t values ( now ( ) , ? ) returning id");
    CHECK(canonical("x in ('a', 'b''c', 'd', E'e', 5 , 6,7, -8, 'f'\n'g', h, 'i')") == "x in ( ? , h , ? )");
    Scanner scanner({.max_spans = 100});
    REQUIRE(scanner.scan("x in ('a', 'b''c' ,5, 6,'d')"));
    CHECK(scanner.literals() == 5);
    CHECK(scanner.spans()[2] == Span{19, 1});
    CHECK(canonical("x = any(array[1,2,3])") == "x = any ( array [ ? ] )");
    CHECK(canonical("a-1, a - -1, -1, (-1), a*-1") == "a - ? , a - ? , ? , ( ? ) , a * ?");
    CHECK(canonical("'a'\n  'b' 'c'") == "? ?");
    CHECK(canonical("'a' -- x\n 'b'") == "?");
    CHECK(canonical("U&'d!0061' UESCAPE '!' x") == "? x");
    CHECK(canonical("a<>-1 and b@-1 or c->>'d' is null") == "a <> ? and b @- ? or c ->> ? is null");
    CHECK(canonical("1..2") == "? .. ?");
    CHECK(canonical("a::int4, $1::text, $12") == "a :: int4 , $1 :: text , $12");
    CHECK(canonical("SELECT 1; ;") == "select ?");
}

TEST_CASE("quotes in comments, comment marks in strings and malformed tokens are handled as in PostgreSQL") {
    CHECK(canonical("'/* ' /* ' */ '--' -- '\n$$'$$ $a$ $$ $a$") == "? ? ? ?");
    CHECK(canonical("E'\\'' || e'\\\\' || 'a\\'") == "? || ? || ?");
    CHECK(flaw("'a") == Flaw::unterminated);
    CHECK(flaw("E'a\\'") == Flaw::unterminated);
    CHECK(flaw("/* /* */") == Flaw::unterminated);
    CHECK(flaw("$a$ $b$") == Flaw::unterminated);
    CHECK(flaw("\"a") == Flaw::unterminated);
    CHECK(flaw("\"\"") == Flaw::bad_identifier);
    CHECK(flaw("12a") == Flaw::bad_number);
    CHECK(flaw("$99999999999") == Flaw::bad_number);
    CHECK(flaw("U&'\\zzzz'") == Flaw::bad_escape);
    CHECK(flaw("U&'\\D800'") == Flaw::bad_escape);
    CHECK(flaw("U&'\\D83D\\DE00'") == Flaw::none);
    CHECK(flaw("a \\ b") == Flaw::bad_character);
    CHECK(flaw(" ; /* */ --") == Flaw::empty);
}

}  // namespace
}  // namespace indigovane::statement
