// Property tests of the scanner and the analyzer with random statements.
#include <doctest/doctest.h>
#include <pg_query.h>
#include <rapidcheck.h>

#include <random>
#include <string>
#include <vector>

#include "statement/scan_helpers.hpp"
#include "statement/statement_generator.hpp"

namespace indigovane::statement {
namespace {

TEST_CASE("the shape does not depend on literals, blanks, comments or the case of keywords") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto tokens = StatementGenerator(random).statement();
        RC_ASSERT(shape(write(tokens, random)) == shape(write(tokens, random)));
    }));
}

TEST_CASE("the shape depends on tables, columns, functions and structure") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto tokens = StatementGenerator(random).statement();
        auto changed_tokens = tokens;
        std::vector<std::size_t> names;
        for (std::size_t i = 0; i < tokens.size(); ++i)
            if (tokens[i].type == Token::Type::name) names.push_back(i);
        std::size_t name_index = names[random() % names.size()];
        changed_tokens[name_index].text = "changed";
        RC_ASSERT(shape(write(tokens, random)) != shape(write(changed_tokens, random)));
        changed_tokens = tokens;
        changed_tokens.push_back({Token::Type::word, "offset"});
        changed_tokens.push_back({Token::Type::number, ""});
        RC_ASSERT(shape(write(tokens, random)) != shape(write(changed_tokens, random)));
    }));
}

// libpg_query normalizes a statement as PostgreSQL does and replaces each constant by $n. Replacing the
// scanner's spans by $n must give the same text.
TEST_CASE("the scanner finds the same literals as libpg_query's normalization") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        std::string sql = write(StatementGenerator(random).statement(), random);
        PgQueryNormalizeResult result = pg_query_normalize(sql.c_str());
        std::string normalized = result.error ? "" : result.normalized_query;
        bool has_error = result.error != nullptr;
        pg_query_free_normalize_result(result);
        RC_PRE(!has_error);
        Scanner scanner({.max_spans = 10000});
        RC_ASSERT(scanner.scan(sql));
        std::string replaced;
        std::size_t from = 0;
        int number = 0;
        for (Span span : scanner.spans()) {
            replaced += sql.substr(from, span.begin - from) + "$" + std::to_string(++number);
            from = span.begin + span.length;
        }
        replaced += sql.substr(from);
        RC_ASSERT(replaced == normalized);
    }));
}

TEST_CASE("any bytes can be analyzed, and only a plain read may go to a replica") {
    CHECK(rc::check([](const std::string& bytes) {
        StatementAnalyzer analyzer({}, {});
        const StatementProfile& profile = analyzer.analyze(bytes, {});
        RC_ASSERT(profile.route != Route::replica || profile.kind == Kind::read);
    }));
    CHECK(rc::check([](std::uint64_t seed) {
        // Delimiters, keywords and statements in random order.
        static const char* const pieces[] = {
            "'",  "\"",  "$$", "/*",    "*/", "--",     "\n",           "E'",
            "\\", "U&'", "(",  ")",     ";",  "select", "nextval('s')", "delete from t",
            "1",  ",",   "in", "values"};
        std::mt19937_64 random(seed);
        std::string sql = "select ";
        for (int i = 0; i < 12; ++i)
            sql += std::string(pieces[random() % std::size(pieces)]) + (random() % 2 ? " " : "");
        StatementAnalyzer analyzer({}, {});
        const StatementProfile& profile = analyzer.analyze(sql, {});
        RC_ASSERT(profile.route != Route::replica || profile.kind == Kind::read);
    }));
}

}  // namespace
}  // namespace indigovane::statement
