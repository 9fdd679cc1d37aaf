// Tests of the analyzer: the kind and route of statements, by examples and by the corpus, and its limits. A
// statement that writes and is classified as a read would be sent to a replica.
#include <chrono>
#include <fstream>
#include <string>

#include "statement/scan_helpers.hpp"

namespace indigovane::statement {
namespace {

TEST_CASE("a literal of 4 MiB adds one placeholder to the canonical text, and deep nesting causes no crash") {
    std::string long_statement = "INSERT INTO kv VALUES ('" + std::string(4 << 20, 'x') + "')";
    Scanner scanner({.max_text_bytes = 4096, .max_spans = 4});
    REQUIRE(scanner.scan(long_statement));
    CHECK(scanner.text().size() < 100);
    REQUIRE(scanner.spans().size() == 1);
    CHECK(scanner.spans()[0].length == (4 << 20) + 2);
    std::string deep_statement = "SELECT " + std::string(100000, '(') + "1" + std::string(100000, ')');
    CHECK_FALSE(scanner.scan(deep_statement));
    CHECK(scanner.flaw() == Flaw::too_long);
    StatementAnalyzer analyzer({}, {});
    CHECK(analyzer.analyze(deep_statement, {}).route != Route::replica);
    std::string nested_calls = "SELECT ";
    for (int i = 0; i < 1500; ++i) nested_calls += "abs(";
    CHECK(analyzer.analyze(nested_calls + "nextval('s')" + std::string(1500, ')'), {}).route !=
          Route::replica);
}

TEST_CASE("statements that differ in the kind of a literal share a shape but not a cached classification") {
    StatementAnalyzer analyzer({}, {});
    CHECK(analyzer.analyze("SELECT x::char('a') FROM t", {}).kind == Kind::invalid);
    CHECK(analyzer.analyze("SELECT x::char(10) FROM t", {}).kind == Kind::read);
    CHECK(shape("SELECT x::char('a') FROM t") == shape("SELECT x::char(10) FROM t"));
}

// Resolves the backslash escapes of a line of the corpus.
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

TEST_CASE("every statement of the corpus has the expected kind and route, when parsed and when cached") {
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
        // The first round parses the statement, the second one finds it in the cache.
        for (int round = 0; round < 2; ++round) {
            const StatementProfile& profile = analyzer.analyze(sql, {});
            CHECK_MESSAGE(name(profile.kind) == line.substr(0, kind_end), sql);
            CHECK_MESSAGE(name(profile.route) == line.substr(kind_end + 1, route_end - kind_end - 1), sql);
        }
        ++count;
    }
    CHECK(count >= 500);
}

TEST_CASE("new shapes beyond the parse rate limit are refused, and cached shapes keep their classification") {
    StatementAnalyzer analyzer({}, {.parses_per_second = 10});
    StatementAnalyzer::Time now{std::chrono::seconds(100)};
    int read_count = 0;
    for (int i = 0; i < 100; ++i) {
        const StatementProfile& profile = analyzer.analyze("SELECT c" + std::to_string(i) + " FROM t", now);
        read_count += profile.kind == Kind::read;
        if (profile.kind != Kind::read) CHECK(profile.route == Route::refuse);
    }
    CHECK(read_count == 10);
    CHECK(analyzer.analyze("SELECT c0 FROM t", now).kind == Kind::read);
    CHECK(analyzer.analyze("SELECT c99 FROM t", now + std::chrono::seconds(1)).kind == Kind::read);
}

TEST_CASE("ten thousand shapes of typical length fit into 8 MiB") {
    StatementAnalyzer analyzer({}, {.parses_per_second = 1e9});
    for (int round = 0; round < 2; ++round)
        for (int i = 0; i < 10000; ++i) {
            std::string number = std::to_string(i);
            analyzer.analyze("SELECT a.c" + number +
                                 ", b.total FROM orders a JOIN bags b ON a.id = b.id WHERE a.hotel = 'h" +
                                 number + "' AND b.at > '2026-01-01' ORDER BY b.at LIMIT 10",
                             {});
        }
    CHECK(analyzer.cache().size() >= 9900);
    CHECK(analyzer.cache().bytes() <= (8 << 20) + 4096);
}

}  // namespace
}  // namespace indigovane::statement
