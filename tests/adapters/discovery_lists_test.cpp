// Endpoint lists from discovery over real connections. An incomplete, truncated or outdated list must not
// replace the one in use, and new zone settings must not leave the zones of hosts wrong.
#include <string>

#include "policy/routing_policy.hpp"
#include "support/discovery.hpp"

namespace indigovane::testing {
namespace {

using policy::EndpointState;

std::string list(int revision, bool full, const char* state) {
    return "{\n \"rev\": " + std::to_string(revision) + ",\n \"all\": " + (full ? "true" : "false") +
           ",\n \"targets\": [\n  "
           "{\"uid\":\"m\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\"pod_group\":3,"
           "\"state\":\"" +
           state + "\"}]}";
}

TEST_CASE(
    "lists: without a length, a list ends with its connection, truncated lists and older changes are not "
    "applied") {
    ListRig rig({"a"});
    auto& loop = rig.loop;
    auto& host = rig.host;
    auto& discovery = rig.agent;
    auto& core = rig.core;
    auto& catalog = rig.catalog;
    const std::string without_length = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    auto state = [&] {
        auto all = core.listed();
        return all.empty() ? EndpointState::gone : all[0].state;
    };
    auto requested = [&](std::size_t count) { return rig.asked(count); };
    discovery.replies = {without_length + list(41, true, "ready"),
                         without_length + list(43, false, "draining")};
    catalog.follow();
    REQUIRE(requested(1));
    loop.settle();
    CHECK(!catalog.has_complete_list());  // without a length, more bytes may follow
    discovery.drop_all();                 // the closed connection completes the list
    REQUIRE(requested(2));
    CHECK(state() == EndpointState::ready);
    CHECK(host.asked[1].substr(0, 24) == "/catalog/members?from=41");
    loop.settle();
    discovery.drop_all();
    REQUIRE(requested(3));
    CHECK(state() == EndpointState::draining);
    // A complete list followed by a reset has no valid end. After a truncated list and a close, the previous
    // list stays in use. Discovery is asked again in both cases.
    discovery.replies = {without_length + list(44, false, "ready")};
    discovery.drop_all();
    REQUIRE(requested(4));
    loop.settle();
    discovery.reset_all();
    REQUIRE(requested(5));
    CHECK(state() == EndpointState::draining);
    discovery.replies = {without_length + list(44, true, "ready").substr(0, 40)};
    discovery.drop_all();
    REQUIRE(requested(6));
    loop.settle();
    discovery.drop_all();
    discovery.replies = {http::write_response(200, {}, list(43, true, "draining"), true),
                         http::write_response(200, {}, list(42, false, "ready"), true),
                         http::write_response(200, {}, list(42, true, "ready"), true)};
    REQUIRE(requested(10));
    CHECK(host.asked[6] == "/catalog/members");
    CHECK(host.asked[8] == "/catalog/members");  // after older changes the full list is requested
    CHECK(state() == EndpointState::ready);  // a full list may be older, since discovery may have restarted
}

TEST_CASE(
    "lists: changed zone settings cause a request for the full list at once and renumber the zones of "
    "hosts") {
    ListRig rig({"a", "b"});
    auto& loop = rig.loop;
    auto& host = rig.host;
    auto& discovery = rig.agent;
    auto& core = rig.core;
    auto& catalog = rig.catalog;
    const std::string full_list = http::write_response(
        200, {}, R"({"rev":1,"all":true,"targets":[{"uid":"m","endpoint":"127.0.0.1:9","az":"b"}]})", true);
    discovery.replies = {full_list};
    catalog.follow();
    REQUIRE(loop.until([&] { return host.asked.size() == 2; }));
    CHECK(core.listed().at(0).zone == 1);
    catalog.set_zones({"a", "b"});  // unchanged zones: the watch continues
    loop.settle();
    CHECK(host.asked.size() == 2);
    discovery.replies = {full_list};
    catalog.set_zones({"b", "c"});
    REQUIRE(loop.until([&] { return host.asked.size() == 4; }));
    CHECK(host.asked[2] == "/catalog/members");
    CHECK(core.listed().at(0).zone == 0);
}

}  // namespace
}  // namespace indigovane::testing
