// The operators' file with the settings of sites, and the command `site plan`.
#include "program/site_command.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "program/site_config.hpp"
#include "program/toml_reader.hpp"
#include "support/harness.hpp"

namespace indigovane::site {
namespace {

TEST_CASE("site plan: checks the file, shows what would be shed, and reports each mistake in the file") {
    testing::Folder folder;
    std::string settings = folder.path + "/config.json", sites = folder.path + "/sites.toml";
    std::ofstream(settings) << R"({"name":"p","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",
"known":{"rev":1,"all":true,"targets":[
{"uid":"h0","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"recovery":"off"},
{"uid":"h1","endpoint":"127.0.0.1:2","az":"b","pod_group":3,"recovery":"on"},
{"uid":"h2","endpoint":"127.0.0.1:3","az":"c","pod_group":3,"recovery":"on"}]},
"settings":{"azs":["a","b","c"],"familyInfo":{"consistency":["recent","update"],"oldestDataMs":[300,0]},
"classes":[{"name":"view","effect":"retryable","sloMs":500,"hardLimitMs":1000,"worth":1},
{"name":"book","effect":"fragile","sloMs":500,"hardLimitMs":1000,"worth":4}]}})";
    const char* valid =
        "[sites]\nlast = [\"book\"]\n[plan]\ncores = 5\n[[demand]]\nclass = \"view\"\nper_second = 80\n"
        "work = \"100ms\"\n[[demand]]\nclass = \"book\"\ngroup = 3\nper_second = 5\nwork = \"100ms\"\n";
    auto call = [&](const std::vector<std::string>& options, std::string& text) {
        std::vector<std::string> arguments{"plan", "--settings", settings, "--sites", sites};
        arguments.insert(arguments.end(), options.begin(), options.end());
        std::ostringstream out;
        std::ostringstream err;
        int status = program::run_site_command(arguments, out, err);
        text = out.str() + err.str();
        return status;
    };
    std::ofstream(sites) << valid;
    std::string text;
    std::ofstream(sites)
        << "[sites]\nceiling = \"20%\"\nshares = { quay = 3 }\n[[demand]]\nclass = \"view\"\n"
           "tenants = { harbour = 60, quay = 20 }\nwork = \"100ms\"\n";
    CHECK(call({"--lose", "b"}, text) == 0);
    CHECK(text.find("tenant quay") < text.find("\nhost "));
    std::ofstream(sites) << valid;
    CHECK(call({"--lose", "b"}, text) == 0);
    CHECK(text.find("view                     3   50.0%") != std::string::npos);  // capacity 4 for work 8
    CHECK(call({"--lose", "b", "--json"}, text) == 0);
    auto json = nlohmann::json::parse(text);
    CHECK(json["hosts"][2]["after"] == 4);
    CHECK(json["refused"][0]["class"] == "view");
    CHECK(call({}, text) == 2);
    CHECK_THROWS_AS(call({"--lose", "nowhere"}, text), program::ConfigError);
    const std::pair<const char*, const char*> mistakes[] = {
        {"", "[sites] is missing"},
        {"[sites]\nquiet = 400\n", "a number without a unit"},
        {"[sites]\nqiet = \"400ms\"\n", "did you mean 'quiet'"},
        {"[sites]\nquiet = \"3s\"\n", "shorter than 'fresh'"},
        {"[sites]\nceiling = \"0%\"\n", "above 0%"},
        {"[sites]\n[[demand]]\nclass = \"view\"\n", "needs 'per_second'"}};
    for (auto [content, expected] : mistakes) {
        std::string message;
        try {
            program::parse_site_config(content, "f");
        } catch (const program::ConfigError& error) {
            message = error.what();
        }
        CHECK_MESSAGE(message.find(expected) != std::string::npos, message);
    }
    std::ofstream(sites) << "[sites]\n[[demand]]\nclass = \"none\"\nper_second = 1\nwork = \"1ms\"\n";
    CHECK_THROWS_AS(call({"--lose", "b"}, text), program::ConfigError);
}

}  // namespace
}  // namespace indigovane::site
