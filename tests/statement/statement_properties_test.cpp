// Properties of scanner and analyzer over random statements.
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

TEST_CASE("a shape does not change with literals, blanks, comments and case of keywords") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto tokens = StatementGenerator(random).statement();
        RC_ASSERT(shape(write(tokens, random)) == shape(write(tokens, random)));
    }));
}

TEST_CASE("a shape changes with table, column, function or structure") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto tokens = StatementGenerator(random).statement();
        auto other = tokens;
        std::vector<std::size_t> names;
        for (std::size_t i = 0; i < tokens.size(); ++i)
            if (tokens[i].sort == Token::Sort::name) names.push_back(i);
        std::size_t at = names[random() % names.size()];
        other[at].text = "changed";
        RC_ASSERT(shape(write(tokens, random)) != shape(write(other, random)));
        other = tokens;
        other.push_back({Token::Sort::word, "offset"});
        other.push_back({Token::Sort::number, ""});
        RC_ASSERT(shape(write(tokens, random)) != shape(write(other, random)));
    }));
}

// PostgreSQL's own normalisation writes $n for each constant: what stands between them must be what stands
// between the scanner's spans.
TEST_CASE("the literals that the scanner finds are those that libpg_query normalizes") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        std::string sql = write(StatementGenerator(random).statement(), random);
        PgQueryNormalizeResult result = pg_query_normalize(sql.c_str());
        std::string normalised = result.error ? "" : result.normalized_query;
        bool failed = result.error != nullptr;
        pg_query_free_normalize_result(result);
        RC_PRE(!failed);
        Scanner scanner({.most_spans = 10000});
        RC_ASSERT(scanner.scan(sql));
        std::string own;
        std::size_t from = 0;
        int number = 0;
        for (Span span : scanner.spans()) {
            own += sql.substr(from, span.begin - from) + "$" + std::to_string(++number);
            from = span.begin + span.length;
        }
        own += sql.substr(from);
        RC_ASSERT(own == normalised);
    }));
}

TEST_CASE("any bytes at all are classified, and only a plain read may go to a replica") {
    CHECK(rc::check([](const std::string& bytes) {
        StatementAnalyzer analyzer({}, {});
        const StatementProfile& profile = analyzer.analyze(bytes, {});
        RC_ASSERT(profile.route != Route::replica || profile.kind == Kind::read);
    }));
    CHECK(rc::check([](std::uint64_t seed) {
        // Pieces that begin and end things, in any order.
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
