// EndpointRegistry applies endpoint lists and forgets delisted endpoints.
#include "routing/endpoint_registry.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using policy::EndpointListKind;
using policy::EndpointState;

struct IgnoringOwner : Pool::Owner {
    void on_task_end(EndpointId, const BackendTask&, AttemptResult) override {}
    void on_response_started(EndpointId, const BackendTask&, const Answer&, std::size_t) override {}
    bool on_response_piece(const BackendTask&, std::string_view) override { return true; }
    void on_answer_paused(EndpointId, const BackendTask&, routing::Duration) override {}
    Pool::StartDecision may_start(EndpointId, BackendTask&) override { return {}; }
};

struct RegistryFixture {
    Clock clock;
    FakeBackend backend;
    IgnoringOwner owner;
    ConnectionBudget budget{8, [] { return false; }, [] {}};
    EndpointRegistry endpoints{clock, [this](EndpointId id) {
                                   return std::make_unique<Pool>(id, backend, clock, 1s, owner, budget);
                               }};
};

EndpointInfo info(const std::string& uid, EndpointState state = EndpointState::ready) {
    EndpointInfo info;
    info.uid = uid;
    info.address = uid + ":1";
    info.state = state;
    return info;
}

}  // namespace

TEST_CASE("registry: a complete list delists the endpoints that it doesn't name, and changes don't") {
    RegistryFixture fixture;
    EndpointRegistry& endpoints = fixture.endpoints;
    endpoints.apply(EndpointListKind::full, {info("a"), info("b")});
    endpoints.apply(EndpointListKind::changes, {info("b", EndpointState::draining)});
    CHECK(endpoints.listed().size() == 2);
    CHECK(!endpoints.find(*endpoints.find_uid("b"))->accepts_requests);

    endpoints.apply(EndpointListKind::full, {info("b")});

    REQUIRE(endpoints.listed().size() == 1);
    CHECK(endpoints.listed()[0].uid == "b");
    CHECK(!endpoints.find(*endpoints.find_uid("a"))->accepts_requests);
    CHECK(endpoints.find(*endpoints.find_uid("b"))->accepts_requests);
}

// Guards against a site that was lost, left the list and came back, and was never used again: the site
// manager forgets an endpoint that leaves the list, and the endpoint stayed excluded.
TEST_CASE(
    "registry: an endpoint that leaves the list while its site excludes it accepts requests when listed "
    "again") {
    RegistryFixture fixture;
    EndpointRegistry& endpoints = fixture.endpoints;
    endpoints.apply(EndpointListKind::full, {info("a"), info("b")});
    const EndpointId a = *endpoints.find_uid("a");
    REQUIRE(endpoints.exclude_by_site(a));
    endpoints.apply(EndpointListKind::full, {info("a"), info("b")});
    CHECK(!endpoints.find(a)->accepts_requests);  // it did not leave the list
    endpoints.apply(EndpointListKind::full, {info("b")});
    auto list = endpoints.apply(EndpointListKind::full, {info("a"), info("b")});
    CHECK(endpoints.find_uid("a") == a);
    CHECK(endpoints.find(a)->accepts_requests);
    REQUIRE(list.entries.size() == 2);
    CHECK(list.entries[0].state == EndpointState::ready);
}

TEST_CASE("registry: an endpoint keeps its address if a list entry has none") {
    RegistryFixture fixture;
    fixture.endpoints.apply(EndpointListKind::full, {info("a")});
    EndpointInfo without_address = info("a");
    without_address.address.clear();

    fixture.endpoints.apply(EndpointListKind::changes, {without_address});

    CHECK(fixture.endpoints.listed()[0].address == "a:1");
}

TEST_CASE(
    "registry: a delisted endpoint is forgotten after its retention, but not while an attempt refers to it") {
    RegistryFixture fixture;
    EndpointRegistry& endpoints = fixture.endpoints;
    endpoints.apply(EndpointListKind::full, {info("a")});
    EndpointId id = *endpoints.find_uid("a");
    endpoints.apply(EndpointListKind::full, {});
    Time later = fixture.clock.now() + CoreLimits{}.delisted_retention + 1s;

    endpoints.sweep(fixture.clock.now(), {});
    CHECK(endpoints.size() == 1);
    endpoints.find(id)->attempts = 1;
    endpoints.sweep(later, {});
    CHECK(endpoints.size() == 1);
    endpoints.find(id)->attempts = 0;
    endpoints.sweep(later, {});
    CHECK(endpoints.size() == 0);

    endpoints.apply(EndpointListKind::full, {info("a")});
    CHECK(endpoints.find_uid("a") != id);  // ids are never reused
}

TEST_CASE("registry: a site excludes and readmits only listed endpoints") {
    RegistryFixture fixture;
    EndpointRegistry& endpoints = fixture.endpoints;
    endpoints.apply(EndpointListKind::full, {info("a")});
    EndpointId id = *endpoints.find_uid("a");

    CHECK(endpoints.exclude_by_site(id)->state == EndpointState::draining);
    CHECK(endpoints.site_hosts()[0]
              .ready);  // an exclusion by its site doesn't make a host unready for the site
    CHECK(endpoints.readmit_by_site(id, Time(9s))->started == Time(9s));
    endpoints.apply(EndpointListKind::full, {});
    CHECK(!endpoints.exclude_by_site(id));
}

}  // namespace indigovane::testing
