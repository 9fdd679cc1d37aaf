// The statements file: what it declares changes the analysis, and its errors are located.
#include <doctest/doctest.h>

#include <string>

#include "program/statement_rules.hpp"
#include "statement/statement_analyzer.hpp"

namespace indigovane::statement {
namespace {

TEST_CASE("the operator declares functions, operators, types, relations and classes") {
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
    CHECK(profile_of("SELECT peek(1)").route == Route::primary);  // the search path may find another
    CHECK(profile_of("SELECT app.burn(1)").kind == Kind::write);
    CHECK(profile_of("SELECT burn(1)").kind == Kind::write);
    CHECK(profile_of("SELECT t.burn FROM app.t").kind == Kind::write);  // t.f calls f(t)
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
    analyzer.set_rules({});  // a reload: nothing classified by the old rules stays cached
    CHECK(profile_of("SELECT app.peek(1)").route == Route::primary);
}

TEST_CASE("a malformed statements file is rejected, with the line and column of every error") {
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

}  // namespace
}  // namespace indigovane::statement
