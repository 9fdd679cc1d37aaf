// What is stored for the next process: costs of statement shapes, the endpoint list, the witness.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "program/crash_marker_file.hpp"
#include "program/endpoint_list_text.hpp"
#include "program/shape_cost_record.hpp"
#include "routing/discovery_client.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

TEST_CASE("shape costs: read back until their lifetime has passed, and nothing else is read") {
    limits::ShapePrior prior{{0x0102, 0xff}, 1500, 1200, 7};
    std::string key = program::shape_cost_key(prior);
    CHECK(key == "000000000000010200000000000000ff");
    CHECK(program::shape_cost_value(prior, 1'000'000) == "1500 1200 7 1000000");
    auto read =
        program::read_shape_cost(key, "1500 1200 7 1000000", 1'000'000 + program::kShapeCostLifetimeMs);
    REQUIRE(read);
    CHECK(read->shape.low == 0xff);
    CHECK(read->mean_us == 1500);
    CHECK(read->outcomes == 7);
    CHECK_FALSE(
        program::read_shape_cost(key, "1500 1200 7 1000000", 1'000'001 + program::kShapeCostLifetimeMs));
    CHECK_FALSE(program::read_shape_cost(key, "1500 1200 7 1000000", 999'999));  // of the future
    CHECK_FALSE(program::read_shape_cost(key, "1500 1200", 1'000'000));
    CHECK_FALSE(program::read_shape_cost("ff", "1500 1200 7 1000000", 1'000'000));
}

TEST_CASE("endpoint list: what is written is read back as discovery's list is") {
    routing::EndpointInfo endpoint;
    endpoint.uid = "s-1";
    endpoint.address = "127.0.0.1:5432";
    endpoint.group = 3;
    endpoint.zone = 1;
    endpoint.state = policy::EndpointState::ready;
    endpoint.primary = true;
    std::vector<std::string> zones{"a", "b"};
    std::string text = program::write_endpoint_list({endpoint}, zones, 41);
    auto list = routing::read_endpoint_listing(nlohmann::json::parse(text), zones);
    CHECK(list.revision == 41);
    CHECK(list.is_complete);
    REQUIRE(list.members.size() == 1);
    CHECK(list.members[0].uid == "s-1");
    CHECK(list.members[0].address == "127.0.0.1:5432");
    CHECK(list.members[0].group == 3);
    CHECK(list.members[0].zone == 1);
    CHECK(list.members[0].primary);
}

TEST_CASE("witness: none without a file, lapsed where it is unknown") {
    Folder folder;
    program::CrashMarkerFile witness(folder.path, "n1");
    CHECK(witness.read() == store::CrashMarker::none);
    CHECK(witness.write(store::CrashMarker::beyond_lease));
    CHECK(witness.read() == store::CrashMarker::beyond_lease);
    CHECK(witness.write(store::CrashMarker::none));
    CHECK(witness.read() == store::CrashMarker::none);
    CHECK(program::CrashMarkerFile("", "n1").read() == store::CrashMarker::beyond_lease);
    CHECK_FALSE(program::CrashMarkerFile("", "n1").write(store::CrashMarker::beyond_lease));
}

}  // namespace
}  // namespace indigovane::testing
