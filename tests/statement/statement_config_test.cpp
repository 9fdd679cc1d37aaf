// Tests of the statements file: its declarations change the analysis, and its errors are reported with their
// line and column.
#include <doctest/doctest.h>

#include <string>

#include "program/statement_rules.hpp"
#include "statement/statement_analyzer.hpp"

namespace indigovane::statement {
namespace {

TEST_CASE("declared functions, operators, types, relations and classes change kind, route, class and cost") {
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
    StatementAnalyzer analyzer(std::move(config.rules), config.analyzer_options);
    auto profile_of = [&](const char* sql) { return analyzer.analyze(sql, {}); };
    CHECK(profile_of("SELECT app.peek(1)").route == Route::replica);
    // The search path may resolve the unqualified name to another function.
    CHECK(profile_of("SELECT peek(1)").route == Route::primary);
    CHECK(profile_of("SELECT app.burn(1)").kind == Kind::write);
    CHECK(profile_of("SELECT burn(1)").kind == Kind::write);
    CHECK(profile_of("SELECT t.burn FROM app.t").kind == Kind::write);  // t.burn may call burn(t)
    CHECK(profile_of("SELECT (t).burn FROM app.t").kind == Kind::write);
    CHECK(profile_of("SELECT a <=> b, x::bag FROM t").route == Route::replica);
    CHECK(profile_of("SELECT * FROM app.inbox").kind == Kind::write);
    CHECK(profile_of("SELECT * FROM inbox").kind == Kind::write);
    CHECK(profile_of("SELEC 1").route == Route::primary);
    auto stock = profile_of("SELECT * FROM app.stock WHERE x = 1");
    CHECK(stock.request_class == 0);
    CHECK(estimate_cost(stock) == 40000);
    CHECK(profile_of("SELECT 1").request_class == 1);
    CHECK(profile_of("DELETE FROM t").request_class == -1);
    // After a reload of the file no profile that follows from the old rules stays cached.
    analyzer.set_rules({});
    CHECK(profile_of("SELECT app.peek(1)").route == Route::primary);
}

TEST_CASE("a malformed statements file is rejected, with the line and column of every error") {
    auto error_of = [](const char* text) -> std::string {
        try {
            program::parse_statement_config(text, "f.toml");
        } catch (const program::ConfigError& e) {
            return e.what();
        }
        return "";
    };
    CHECK(error_of("[statements]\nopen = 1\n").find("f.toml:2:8: open: true or false is wanted") == 0);
    CHECK(error_of("[limits]\nwait = \"2\"\n").find("f.toml:2:8: wait: a duration") == 0);
    CHECK(error_of("[limits]\nwait = 2\n").find("a number without a unit is none") != std::string::npos);
    CHECK(error_of("[limits]\nqueu = 2\n").find("did you mean 'queue'?") != std::string::npos);
    CHECK(error_of("[[function]]\neffect = \"writes\"\n").find("needs a 'name'") != std::string::npos);
    CHECK(error_of("[[function]]\nname = \"f\"\neffect = \"odd\"\n").find("f.toml:3:10") == 0);
    CHECK(error_of("[[class]]\nname = \"a\"\nshapes = [\"12\"]\n").find("32 hex digits") !=
          std::string::npos);
    CHECK(error_of("[[share]]\ntenant = \"a\"\nshare = \"60%\"\n[[share]]\ntenant = \"b\"\nshare = \"50%\"\n")
              .find("more than 100%") != std::string::npos);
    CHECK(error_of("a = \n").find("f.toml:1:") == 0);
    std::string two_errors = error_of("[statements]\nopen = 1\n[limits]\nreserve = \"95%\"\n");
    CHECK(two_errors.find("f.toml:2:8") != std::string::npos);
    CHECK(two_errors.find("f.toml:4:11") != std::string::npos);
    CHECK(program::read_duration("1.5s") == limits::Duration(1'500'000));
    CHECK_FALSE(program::read_duration("s"));
    CHECK_FALSE(program::read_duration("-1s"));
    CHECK(program::read_size("64KiB") == 65536);
}

}  // namespace
}  // namespace indigovane::statement
