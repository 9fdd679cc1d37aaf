// Errors in configuration files: the format of their places, and the mistakes that the TOML reader finds in
// one run.
#include "program/config_error.hpp"

#include <doctest/doctest.h>

#include "program/json_config.hpp"
#include "program/toml_reader.hpp"

namespace indigovane::testing {
namespace {

using program::ConfigError;
using program::TomlReader;

TEST_CASE("configuration errors: one line for each mistake, with the known parts of its place") {
    CHECK(std::string(ConfigError("bad").what()) == "bad");
    CHECK(std::string(ConfigError("f", "bad").what()) == "f: bad");
    CHECK(std::string(ConfigError({{"f", 2, 3, "bad"}, {"f", 4, 1, "worse"}}).what()) ==
          "f:2:3: bad\nf:4:1: worse");
    CHECK(std::string(ConfigError("bad").in_file("f").what()) == "f: bad");
}

TEST_CASE("TOML reader: one run reports all mistakes of a file, a table's unknown keys last") {
    std::string text = "[a]\nwait = 5\nflag = 1\nwiat = \"1s\"\n";
    limits::Duration wait{};
    bool flag = false;
    try {
        program::read_single_table(text, "f", "a", [&](TomlReader&, TomlReader::Table& table) {
            table.read_duration("wait", wait);
            table.read_bool("flag", flag);
        });
        CHECK(false);
    } catch (const ConfigError& error) {
        REQUIRE(error.mistakes().size() == 3);
        CHECK(error.mistakes()[0].text() ==
              "f:2:8: wait: a duration like \"250ms\" or \"2s\" is wanted (a number without a unit is none)");
        CHECK(error.mistakes()[1].text() == "f:3:8: flag: true or false is wanted");
        CHECK(error.mistakes()[2].text() == "f:4:1: 'wiat' is not known in [a]; did you mean 'wait'?");
    }
    CHECK(wait.count() == 0);
}

TEST_CASE("JSON settings: flattened to the form of the simulator's first message") {
    auto settings =
        nlohmann::json::parse(R"({"a":{"b":[1,2],"c":"x y","d":null},"l":[{"n":true},{"n":false}],"z":[]})");
    CHECK(program::flatten_settings(settings) == " a.b=1,2 a.c=x_y l.count=2 l.0.n=true l.1.n=false z=");
}

TEST_CASE("JSON keys: of an array's items, only the keys that all items have are listed") {
    auto types = program::key_types(nlohmann::json::parse(R"({"a":[{"x":1,"y":"s"},{"x":2}],"b":true})"));
    CHECK(types == std::map<std::string, char>{{".a", 'a'}, {".a[]", 'o'}, {".a[].x", 'n'}, {".b", 'b'}});
}

}  // namespace
}  // namespace indigovane::testing
