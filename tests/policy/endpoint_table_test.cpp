#include "policy/endpoint_table.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

namespace {

EndpointList list(EndpointListKind kind, std::vector<EndpointEntry> entries) {
    return {kind, std::move(entries)};
}

bool unreferenced(const Endpoint&) {
    return false;
}

}  // namespace

TEST_CASE("endpoints that a full list does not name get no new requests") {
    EndpointTable table = make_table(2);
    table.apply(list(EndpointListKind::full, {list_entry(0, true)}), true);
    CHECK(table.find(EndpointId{0})->is_listed);
    CHECK_FALSE(table.find(EndpointId{1})->is_listed);
}

TEST_CASE("where removal does not bind, an endpoint that left the list without draining may still be used") {
    EndpointTable table = make_table(2);
    table.apply(list(EndpointListKind::changes, {list_entry(0, false, EndpointState::draining)}), false);
    table.apply(list(EndpointListKind::changes,
                     {list_entry(0, false, EndpointState::gone), list_entry(1, false, EndpointState::gone)}),
                false);
    CHECK_FALSE(table.find(EndpointId{0})->is_listed);
    CHECK(table.find(EndpointId{1})->is_listed);
}

TEST_CASE("an observed claim to be primary takes precedence over the list") {
    EndpointTable table = make_table(3);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    CHECK(known_primary(group)->id == EndpointId{0});
    table.find(EndpointId{2})->replication.record_primary(kStart);
    CHECK(known_primary(group)->id == EndpointId{2});
}

TEST_CASE("a restart reduces the endpoint's window to two") {
    EndpointTable table = make_table(1);
    EndpointEntry restarted = list_entry(0);
    restarted.started = kStart;
    table.apply(list(EndpointListKind::changes, {restarted}), true);
    CHECK(table.find(EndpointId{0})->limit.window() == 2);
}

TEST_CASE("endpoints and groups are removed a minute after they left the list, unless they are in use") {
    EndpointTable table = make_table(2);
    table.apply(list(EndpointListKind::full, {}), true);
    table.find(EndpointId{1})->in_flight = 1;
    table.forget_endpoints(kStart, unreferenced);
    table.forget_endpoints(kStart + 60s, unreferenced);
    CHECK(table.find(EndpointId{0}));
    table.forget_endpoints(kStart + 61s, unreferenced);
    CHECK_FALSE(table.find(EndpointId{0}));
    CHECK(table.find(EndpointId{1}));
    table.forget_groups();
    CHECK(table.find_group(GroupId{1}));
    table.find(EndpointId{1})->in_flight = 0;
    table.forget_endpoints(kStart + 61s, unreferenced);
    table.forget_groups();
    CHECK_FALSE(table.find_group(GroupId{1}));
}

TEST_CASE("a group's read rate decays with a time constant of one second") {
    ReadRate rate;
    for (int i = 0; i < 10; ++i) rate.record(kStart);
    CHECK(rate.per_second(kStart) == 10);
    CHECK(rate.per_second(kStart + 1s) == doctest::Approx(3.68).epsilon(0.01));
}
