// How endpoint lists are applied, and when an endpoint is forgotten.
#include "routing/endpoint_registry.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using policy::EndpointListKind;
using policy::EndpointState;

struct NoOwner : Pool::Owner {
    void on_task_end(EndpointId, const BackendTask&, AttemptResult) override {}
    void on_response_started(EndpointId, const BackendTask&, const Answer&, std::size_t) override {}
    bool on_response_piece(const BackendTask&, std::string_view) override { return true; }
    const ClientRequest* may_start(EndpointId, BackendTask&) override { return nullptr; }
};

struct Registry {
    Clock clock;
    FakeBackend backend;
    NoOwner owner;
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

TEST_CASE("registry: a complete list delists whom it does not name, changes do not") {
    Registry registry;
    EndpointRegistry& endpoints = registry.endpoints;
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

TEST_CASE("registry: an address that the list leaves out stays as it was") {
    Registry registry;
    registry.endpoints.apply(EndpointListKind::full, {info("a")});
    EndpointInfo without_address = info("a");
    without_address.address.clear();

    registry.endpoints.apply(EndpointListKind::changes, {without_address});

    CHECK(registry.endpoints.listed()[0].address == "a:1");
}

TEST_CASE("registry: a delisted endpoint is forgotten after a while, and not while anything refers to it") {
    Registry registry;
    EndpointRegistry& endpoints = registry.endpoints;
    endpoints.apply(EndpointListKind::full, {info("a")});
    EndpointId id = *endpoints.find_uid("a");
    endpoints.apply(EndpointListKind::full, {});
    Time later = registry.clock.now() + CoreLimits{}.delisted_retention + 1s;

    endpoints.sweep(registry.clock.now(), {});
    CHECK(endpoints.size() == 1);
    endpoints.find(id)->attempts = 1;
    endpoints.sweep(later, {});
    CHECK(endpoints.size() == 1);
    endpoints.find(id)->attempts = 0;
    endpoints.sweep(later, {});
    CHECK(endpoints.size() == 0);

    endpoints.apply(EndpointListKind::full, {info("a")});
    CHECK(endpoints.find_uid("a") != id);  // ids are never used again
}

TEST_CASE("registry: a site's overlay needs a listed endpoint") {
    Registry registry;
    EndpointRegistry& endpoints = registry.endpoints;
    endpoints.apply(EndpointListKind::full, {info("a")});
    EndpointId id = *endpoints.find_uid("a");

    CHECK(endpoints.exclude_by_site(id)->state == EndpointState::draining);
    CHECK(endpoints.site_hosts()[0].ready);  // what a site excludes does not count against it
    CHECK(endpoints.readmit_by_site(id, Time(9s))->started == Time(9s));
    endpoints.apply(EndpointListKind::full, {});
    CHECK(!endpoints.exclude_by_site(id));
}

}  // namespace indigovane::testing
