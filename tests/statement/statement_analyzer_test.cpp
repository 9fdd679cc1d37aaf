// The analyzer: kind and route of statements, by examples and by the corpus, and its limits.
#include <chrono>
#include <fstream>
#include <string>

#include "statement/scan_helpers.hpp"

namespace indigovane::statement {
namespace {

TEST_CASE("a literal of 4 MiB costs its length and nothing more; unbounded nesting is no fault") {
    std::string big = "INSERT INTO kv VALUES ('" + std::string(4 << 20, 'x') + "')";
    Scanner scanner({.longest = 4096, .most_spans = 4});
    REQUIRE(scanner.scan(big));
    CHECK(scanner.text().size() < 100);
    REQUIRE(scanner.spans().size() == 1);
    CHECK(scanner.spans()[0].length == (4 << 20) + 2);
    std::string deep = "SELECT " + std::string(100000, '(') + "1" + std::string(100000, ')');
    CHECK_FALSE(scanner.scan(deep));
    CHECK(scanner.flaw() == Flaw::too_long);
    StatementAnalyzer analyzer({}, {});
    CHECK(analyzer.analyze(deep, {}).route != Route::replica);
    std::string nested = "SELECT ";
    for (int i = 0; i < 1500; ++i) nested += "abs(";
    CHECK(analyzer.analyze(nested + "nextval('s')" + std::string(1500, ')'), {}).route != Route::replica);
}

TEST_CASE("kinds of literal share a shape, not a classification: none can be cached for another") {
    StatementAnalyzer analyzer({}, {});
    CHECK(analyzer.analyze("SELECT x::char('a') FROM t", {}).kind == Kind::invalid);
    CHECK(analyzer.analyze("SELECT x::char(10) FROM t", {}).kind == Kind::read);
    CHECK(shape("SELECT x::char('a') FROM t") == shape("SELECT x::char(10) FROM t"));
}

// Resolves backslash escapes of the corpus.
std::string unescape(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '\\' || i + 1 == text.size()) {
            out += text[i];
            continue;
        }
        const char escaped = text[++i];
        out += escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped;
    }
    return out;
}

TEST_CASE("the corpus: every statement has the kind and route that is expected, cached as well") {
    std::ifstream in(CORPUS);
    REQUIRE(in);
    StatementAnalyzer analyzer({}, {});
    std::string line;
    int count = 0;
    while (std::getline(in, line)) {
        if (line.empty() || line[0] == '#') continue;
        const std::size_t kind_end = line.find('\t');
        const std::size_t route_end = line.find('\t', kind_end + 1);
        const std::string sql = unescape(line.substr(route_end + 1));
        for (int round = 0; round < 2; ++round) {  // parsed, then cached
            const StatementProfile& profile = analyzer.analyze(sql, {});
            CHECK_MESSAGE(name(profile.kind) == line.substr(0, kind_end), sql);
            CHECK_MESSAGE(name(profile.route) == line.substr(kind_end + 1, route_end - kind_end - 1), sql);
        }
        ++count;
    }
    CHECK(count >= 500);
}

TEST_CASE("new shapes beyond the parse limit take the safe route, known ones are classified as before") {
    StatementAnalyzer analyzer({}, {.parses_per_second = 10});
    StatementAnalyzer::Time now{std::chrono::seconds(100)};
    int read = 0;
    for (int i = 0; i < 100; ++i) {
        const StatementProfile& profile = analyzer.analyze("SELECT c" + std::to_string(i) + " FROM t", now);
        read += profile.kind == Kind::read;
        if (profile.kind != Kind::read) CHECK(profile.route == Route::refuse);
    }
    CHECK(read == 10);
    CHECK(analyzer.analyze("SELECT c0 FROM t", now).kind == Kind::read);
    CHECK(analyzer.analyze("SELECT c99 FROM t", now + std::chrono::seconds(1)).kind == Kind::read);
}

TEST_CASE("ten thousand shapes of the usual length fit into 8 MiB") {
    StatementAnalyzer analyzer({}, {.parses_per_second = 1e9});
    for (int round = 0; round < 2; ++round)
        for (int i = 0; i < 10000; ++i) {
            std::string n = std::to_string(i);
            analyzer.analyze("SELECT a.c" + n +
                                 ", b.total FROM orders a JOIN bags b ON a.id = b.id WHERE a.hotel = 'h" + n +
                                 "' AND b.at > '2026-01-01' ORDER BY b.at LIMIT 10",
                             {});
        }
    CHECK(analyzer.cache().size() >= 9900);
    CHECK(analyzer.cache().bytes() <= (8 << 20) + 4096);
}

}  // namespace
}  // namespace indigovane::statement
