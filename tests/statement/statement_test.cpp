// Statements: scanner, classifier, rules and cache, each by examples, and by properties over made-up
// statements.
#include <doctest/doctest.h>
#include <pg_query.h>
#include <rapidcheck.h>

#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "program/statement_rules.hpp"
#include "statement/statement_analyzer.hpp"

namespace indigovane::statement {
namespace {

std::string canonical(std::string_view sql) {
    Scanner s;
    REQUIRE_MESSAGE(s.scan(sql), sql);
    return printable(s.text(), 100000);
}
Shape shape(std::string_view sql) {
    Scanner s;
    s.scan(sql);
    return shape_of(s.text());
}
Flaw flaw(std::string_view sql) {
    Scanner s;
    return s.scan(sql) ? Flaw::none : s.flaw();
}

TEST_CASE("the canonical text has words folded, literals and comments out, equal elements once") {
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
    Scanner counted({.most_spans = 100});
    REQUIRE(counted.scan("x in ('a', 'b''c' ,5, 6,'d')"));
    CHECK(counted.literals() == 5);
    CHECK(counted.spans()[2] == Span{19, 1});
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

TEST_CASE(
    "strings that hold comments, comments that hold quotes: what is a literal is told as PostgreSQL does") {
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

TEST_CASE("a literal of 4 MiB costs its length and nothing more; nesting without end is no trouble") {
    std::string big = "INSERT INTO kv VALUES ('" + std::string(4 << 20, 'x') + "')";
    Scanner s({.longest = 4096, .most_spans = 4});
    REQUIRE(s.scan(big));
    CHECK(s.text().size() < 100);
    REQUIRE(s.spans().size() == 1);
    CHECK(s.spans()[0].length == (4 << 20) + 2);
    std::string deep = "SELECT " + std::string(100000, '(') + "1" + std::string(100000, ')');
    CHECK_FALSE(s.scan(deep));
    CHECK(s.flaw() == Flaw::too_long);
    StatementAnalyzer judge({}, {});
    CHECK(judge.analyze(deep, {}).route != Route::replica);
    std::string nested = "SELECT ";
    for (int i = 0; i < 1500; ++i) nested += "abs(";
    CHECK(judge.analyze(nested + "nextval('s')" + std::string(1500, ')'), {}).route != Route::replica);
}

TEST_CASE("kinds of literal share a shape, not a judgement: none can be planted for another") {
    StatementAnalyzer judge({}, {});
    CHECK(judge.analyze("SELECT x::char('a') FROM t", {}).kind == Kind::invalid);
    CHECK(judge.analyze("SELECT x::char(10) FROM t", {}).kind == Kind::read);
    CHECK(shape("SELECT x::char('a') FROM t") == shape("SELECT x::char(10) FROM t"));
}

TEST_CASE("the corpus: every statement has the kind and route that is expected, cached as well") {
    std::ifstream in(CORPUS);
    REQUIRE(in);
    auto unescape = [](const std::string& text) {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '\\' || i + 1 == text.size()) {
                out += text[i];
                continue;
            }
            char c = text[++i];
            out += c == 'n' ? '\n' : c == 't' ? '\t' : c;
        }
        return out;
    };
    StatementAnalyzer judge({}, {});
    std::string line;
    int count = 0;
    while (std::getline(in, line)) {
        if (line.empty() || line[0] == '#') continue;
        std::size_t a = line.find('\t'), b = line.find('\t', a + 1);
        std::string sql = unescape(line.substr(b + 1));
        for (int again = 0; again < 2; ++again) {
            const StatementProfile& j = judge.analyze(sql, {});
            CHECK_MESSAGE(name(j.kind) == line.substr(0, a), sql);
            CHECK_MESSAGE(name(j.route) == line.substr(a + 1, b - a - 1), sql);
        }
        ++count;
    }
    CHECK(count >= 500);
}

TEST_CASE("what the operator declares: functions, operators, types, relations, classes") {
    auto config = program::parse_statement_config(R"(
[statements]
unparsed = "primary"
[[function]]
name = "app.burn"
effect = "writes"
[[function]]
name = "app.peek"
effect = "reads"
[[operator]]
name = "<=>"
[[relation]]
name = "app.inbox"
[[type]]
name = "bag"
[[class]]
name = "stock-view"
tables = ["stock"]
cost = "40ms"
bound = "2s"
[[class]]
name = "rare"
kinds = ["read"]
)",
                                                  "t.toml");
    StatementAnalyzer judge(std::move(config.rules), config.judge);
    auto of = [&](const char* sql) { return judge.analyze(sql, {}); };
    CHECK(of("SELECT app.peek(1)").route == Route::replica);
    CHECK(of("SELECT peek(1)").route == Route::primary);  // the search path may find another
    CHECK(of("SELECT app.burn(1)").kind == Kind::write);
    CHECK(of("SELECT burn(1)").kind == Kind::write);
    CHECK(of("SELECT t.burn FROM app.t").kind == Kind::write);  // t.f calls f(t)
    CHECK(of("SELECT (t).burn FROM app.t").kind == Kind::write);
    CHECK(of("SELECT a <=> b, x::bag FROM t").route == Route::replica);
    CHECK(of("SELECT * FROM app.inbox").kind == Kind::write);
    CHECK(of("SELECT * FROM inbox").kind == Kind::write);
    CHECK(of("SELEC 1").route == Route::primary);
    auto stock = of("SELECT * FROM app.stock WHERE x = 1");
    CHECK(stock.request_class == 0);
    CHECK(estimate_cost(stock) == 40000);
    CHECK(of("SELECT 1").request_class == 1);
    CHECK(of("DELETE FROM t").request_class == -1);
    judge.set_rules({});  // a reload: nothing judged by the old rules is remembered
    CHECK(of("SELECT app.peek(1)").route == Route::primary);
}

TEST_CASE("a broken file of statements is refused, with every mistake's line and column") {
    auto error = [](const char* text) -> std::string {
        try {
            program::parse_statement_config(text, "f.toml");
        } catch (const program::ConfigError& e) {
            return e.what();
        }
        return "";
    };
    CHECK(error("[statements]\nopen = 1\n").find("f.toml:2:8: open: true or false is wanted") == 0);
    CHECK(error("[limits]\nwait = \"2\"\n").find("f.toml:2:8: wait: a duration") == 0);
    CHECK(error("[limits]\nwait = 2\n").find("a number without a unit is none") != std::string::npos);
    CHECK(error("[limits]\nqueu = 2\n").find("did you mean 'queue'?") != std::string::npos);
    CHECK(error("[[function]]\neffect = \"writes\"\n").find("needs a 'name'") != std::string::npos);
    CHECK(error("[[function]]\nname = \"f\"\neffect = \"odd\"\n").find("f.toml:3:10") == 0);
    CHECK(error("[[class]]\nname = \"a\"\nshapes = [\"12\"]\n").find("32 hex digits") != std::string::npos);
    CHECK(error("[[share]]\ntenant = \"a\"\nshare = \"60%\"\n[[share]]\ntenant = \"b\"\nshare = \"50%\"\n")
              .find("more than 100%") != std::string::npos);
    CHECK(error("a = \n").find("f.toml:1:") == 0);
    std::string both = error("[statements]\nopen = 1\n[limits]\nreserve = \"95%\"\n");
    CHECK(both.find("f.toml:2:8") != std::string::npos);
    CHECK(both.find("f.toml:4:11") != std::string::npos);
    CHECK(program::read_duration("1.5s") == limits::Duration(1'500'000));
    CHECK_FALSE(program::read_duration("s"));
    CHECK_FALSE(program::read_duration("-1s"));
    CHECK(program::read_size("64KiB") == 65536);
}

TEST_CASE("new shapes beyond what may be parsed a second go where no harm is done; known ones pass") {
    StatementAnalyzer judge({}, {.parses_per_second = 10});
    StatementAnalyzer::Time now{std::chrono::seconds(100)};
    int read = 0;
    for (int i = 0; i < 100; ++i) {
        const StatementProfile& j = judge.analyze("SELECT c" + std::to_string(i) + " FROM t", now);
        read += j.kind == Kind::read;
        if (j.kind != Kind::read) CHECK(j.route == Route::refuse);
    }
    CHECK(read == 10);
    CHECK(judge.analyze("SELECT c0 FROM t", now).kind == Kind::read);
    CHECK(judge.analyze("SELECT c99 FROM t", now + std::chrono::seconds(1)).kind == Kind::read);
}

// ---- the cache -----------------------------------------------------------------------------------

StatementProfile profile(int i) {
    StatementProfile j;
    j.shape = {std::uint64_t(i), 1};
    j.reason = "it only reads, as far as can be seen";
    return j;
}

TEST_CASE("the cache never gives another text's judgement and stays within its bytes") {
    ShapeCache cache(256 * 1024, 1);
    std::mt19937_64 random(5);
    for (int step = 0; step < 60000; ++step) {
        int i = int(random() % (step % 2 ? 50 : 5000));
        std::string text = "select c" + std::to_string(i) + std::string(std::size_t(i % 200), 'x');
        const StatementProfile* j = cache.find(text);
        if (!j) j = cache.put(text, profile(i));
        REQUIRE(j->shape.high == std::uint64_t(i));
        REQUIRE(cache.bytes() <= 256 * 1024 + 4096);
    }
    CHECK(cache.size() > 200);
    cache.clear();
    CHECK(cache.size() == 0);
}

// Fails with a plain LRU: a hundred hot shapes are gone once more cold ones than fit have passed.
TEST_CASE("shapes used once do not push out those that are used all the time") {
    ShapeCache cache(256 * 1024, 1);
    auto ask = [&](const std::string& text) {
        bool hit = cache.find(text) != nullptr;
        if (!hit) cache.put(text, profile(0));
        return hit;
    };
    auto hot = [](int i) { return "select hot" + std::to_string(i) + std::string(100, 'h'); };
    for (int round = 0; round < 20; ++round)
        for (int i = 0; i < 100; ++i) ask(hot(i));
    int hits = 0, asked = 0;
    for (int cold = 0; cold < 20000; ++cold) {
        ask("select cold" + std::to_string(cold) + std::string(100, 'c'));
        if (cold % 20 == 0) {
            hits += ask(hot(cold / 20 % 100));
            ++asked;
        }
    }
    CHECK(hits > asked * 9 / 10);
}

TEST_CASE("ten thousand shapes of the usual length fit into 8 MiB") {
    StatementAnalyzer judge({}, {.parses_per_second = 1e9});
    for (int round = 0; round < 2; ++round)
        for (int i = 0; i < 10000; ++i) {
            std::string n = std::to_string(i);
            judge.analyze("SELECT a.c" + n +
                              ", b.total FROM orders a JOIN bags b ON a.id = b.id WHERE a.hotel = 'h" + n +
                              "' AND b.at > '2026-01-01' ORDER BY b.at LIMIT 10",
                          {});
        }
    CHECK(judge.cache().size() >= 9900);
    CHECK(judge.cache().bytes() <= (8 << 20) + 4096);
}

// ---- properties ----------------------------------------------------------------------------------

// A statement as tokens; `vary` writes it with other literals, blanks, comments and case of keywords.
struct Token {
    enum class Sort { word, name, symbol, number, text } sort;
    std::string text;
};

std::vector<Token> statement(std::mt19937_64& r) {
    using S = Token::Sort;
    std::vector<Token> out;
    auto pick = [&](std::initializer_list<const char*> all) {
        return std::string(*(all.begin() + std::ptrdiff_t(r() % all.size())));
    };
    std::function<void(int)> expression = [&](int depth) {
        switch (depth > 3 ? r() % 3 : r() % 8) {
            case 0:
                out.push_back({S::name, pick({"a", "b", "hotel", "pieces", "\"Odd\"", "x1"})});
                break;
            case 1:
                out.push_back({S::number, ""});
                break;
            case 2:
                out.push_back({S::text, ""});
                break;
            case 3:
                out.push_back({S::symbol, "("});
                expression(depth + 1);
                out.push_back({S::symbol, pick({"+", "*", "||", "=", "<", "@>"})});
                expression(depth + 1);
                out.push_back({S::symbol, ")"});
                break;
            case 4:
                out.push_back({S::name, pick({"lower", "abs", "coalesce", "app.f"})});
                out.push_back({S::symbol, "("});
                expression(depth + 1);
                out.push_back({S::symbol, ","});
                expression(depth + 1);
                out.push_back({S::symbol, ")"});
                break;
            case 5:
                out.push_back({S::word, "case"});
                out.push_back({S::word, "when"});
                expression(depth + 1);
                out.push_back({S::word, "then"});
                expression(depth + 1);
                out.push_back({S::word, "end"});
                break;
            case 6:
                out.push_back({S::name, "a"});
                out.push_back({S::word, "in"});
                out.push_back({S::symbol, "("});
                for (std::size_t i = 0, n = 1 + r() % 3; i < n; ++i) {
                    if (i) out.push_back({S::symbol, ","});
                    expression(depth + 2);
                }
                out.push_back({S::symbol, ")"});
                break;
            case 7:
                out.push_back({S::word, "not"});
                expression(depth + 1);
                break;
        }
    };
    out.push_back({S::word, "select"});
    expression(0);
    out.push_back({S::word, "from"});
    out.push_back({S::name, pick({"t", "app.stock", "\"T\"", "bags"})});
    if (r() % 2) {
        out.push_back({S::word, "where"});
        expression(0);
    }
    if (r() % 2) {
        out.push_back({S::word, "limit"});
        out.push_back({S::number, ""});
    }
    return out;
}

std::string write(const std::vector<Token>& tokens, std::mt19937_64& r) {
    std::string out;
    auto blank = [&] {
        static const char* const blanks[] = {" ",       "\n",         "\t ", " /* it's ; */ ",
                                             " -- '\n", "/*a/*b*/*/", "  "};
        out += blanks[r() % std::size(blanks)];
    };
    for (const Token& t : tokens) {
        blank();
        switch (t.sort) {
            case Token::Sort::word:
                for (char c : t.text) out += r() % 2 ? char(std::toupper(c)) : c;
                break;
            case Token::Sort::name:
            case Token::Sort::symbol:
                out += t.text;
                break;
            case Token::Sort::number: {
                static const char* const numbers[] = {"1", "42", "2147483648", "1.5", ".5", "1e9", "007"};
                out += numbers[r() % std::size(numbers)];
                break;
            }
            case Token::Sort::text: {
                static const char* const texts[] = {"'a'",       "''",         "'it''s'",
                                                    "E'\\''",    "$$;'--$$",   "$q$ $$ $q$",
                                                    "'/* x */'", "U&'\\0061'", "'a'\n'b'"};
                out += texts[r() % std::size(texts)];
                break;
            }
        }
    }
    blank();
    return out;
}

TEST_CASE("a shape does not change with literals, blanks, comments and case of keywords") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 r(seed);
        auto tokens = statement(r);
        RC_ASSERT(shape(write(tokens, r)) == shape(write(tokens, r)));
    }));
}

TEST_CASE("a shape changes with table, column, function or structure") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 r(seed);
        auto tokens = statement(r);
        auto other = tokens;
        std::vector<std::size_t> names;
        for (std::size_t i = 0; i < tokens.size(); ++i)
            if (tokens[i].sort == Token::Sort::name) names.push_back(i);
        std::size_t at = names[r() % names.size()];
        other[at].text = "changed";
        RC_ASSERT(shape(write(tokens, r)) != shape(write(other, r)));
        other = tokens;
        other.push_back({Token::Sort::word, "offset"});
        other.push_back({Token::Sort::number, ""});
        RC_ASSERT(shape(write(tokens, r)) != shape(write(other, r)));
    }));
}

// PostgreSQL's own normalisation writes $n for each constant: what stands between them must be what stands
// between the scanner's spans.
TEST_CASE("the literals that the scanner finds are those that libpg_query takes out") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 r(seed);
        std::string sql = write(statement(r), r);
        PgQueryNormalizeResult result = pg_query_normalize(sql.c_str());
        std::string normalised = result.error ? "" : result.normalized_query;
        bool failed = result.error != nullptr;
        pg_query_free_normalize_result(result);
        RC_PRE(!failed);
        Scanner s({.most_spans = 10000});
        RC_ASSERT(s.scan(sql));
        std::string own;
        std::size_t from = 0;
        int number = 0;
        for (Span span : s.spans()) {
            own += sql.substr(from, span.begin - from) + "$" + std::to_string(++number);
            from = span.begin + span.length;
        }
        own += sql.substr(from);
        RC_ASSERT(own == normalised);
    }));
}

TEST_CASE("any bytes at all get a verdict, and only what is a plain read may go to a replica") {
    CHECK(rc::check([](const std::string& bytes) {
        StatementAnalyzer judge({}, {});
        const StatementProfile& j = judge.analyze(bytes, {});
        RC_ASSERT(j.route != Route::replica || j.kind == Kind::read);
    }));
    CHECK(rc::check([](std::uint64_t seed) {
        // Pieces that begin and end things, in any order.
        static const char* const pieces[] = {
            "'",  "\"",  "$$", "/*",    "*/", "--",     "\n",           "E'",
            "\\", "U&'", "(",  ")",     ";",  "select", "nextval('s')", "delete from t",
            "1",  ",",   "in", "values"};
        std::mt19937_64 r(seed);
        std::string sql = "select ";
        for (int i = 0; i < 12; ++i)
            sql += std::string(pieces[r() % std::size(pieces)]) + (r() % 2 ? " " : "");
        StatementAnalyzer judge({}, {});
        const StatementProfile& j = judge.analyze(sql, {});
        RC_ASSERT(j.route != Route::replica || j.kind == Kind::read);
    }));
}

}  // namespace
}  // namespace indigovane::statement
