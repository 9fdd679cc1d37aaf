#include "policy/replica_selection.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

namespace {

/// Selects at kStart in a group of a primary and two replicas, all of which have reached position kStart.
struct Selector {
    Selector() {
        settings.may_check_health = true;
        for (Endpoint* endpoint : group().endpoints) endpoint->replication.record_position(kStart, kStart);
    }
    ReplicaGroup& group() { return *table.find_group(GroupId{1}); }
    Endpoint& endpoint(std::uint32_t id) { return *table.find(EndpointId{id}); }
    Selection select(const Request& request, Time token = {}, Time now = kStart) {
        return ReplicaSelector({settings, 100ms, now, random}, group(), request, token).select();
    }

    Settings settings;
    EndpointTable table = make_table(3);
    Random random{1};
};

}  // namespace

TEST_CASE("writes and fresh reads go to the primary, and wait while none is usable") {
    Selector selector;
    for (Consistency consistency : {Consistency::write, Consistency::fresh}) {
        Request request = make_request(class_settings(consistency));
        CHECK(selector.select(request).endpoint == &selector.endpoint(0));
        selector.endpoint(0).is_listed = false;
        CHECK(selector.select(request).decision == Selection::Decision::wait);
        selector.endpoint(0).is_listed = true;
    }
}

TEST_CASE("a read goes to a replica that has not got it before and is neither ejected nor paused") {
    Selector selector;
    Request request = make_request(class_settings(Consistency::any));
    run_attempt(request, selector.endpoint(1), AttemptStatus::rejected);
    CHECK(selector.select(request).endpoint == &selector.endpoint(2));
    selector.endpoint(2).ejection.eject(Fault::unreachable, kStart);
    CHECK(selector.select(request).decision != Selection::Decision::send);
}

TEST_CASE("if all replicas are ejected, a reachable one is used") {
    Selector selector;
    Request request = make_request(class_settings(Consistency::any));
    selector.endpoint(1).ejection.eject(Fault::erring, kStart);
    selector.endpoint(2).ejection.eject(Fault::unreachable, kStart);
    CHECK(selector.select(request).endpoint == &selector.endpoint(1));
}

TEST_CASE("replicas whose round trip is over 15 ms longer than the nearest one's get no reads") {
    Selector selector;
    Request request = make_request(class_settings(Consistency::any));
    selector.endpoint(1).round_trip.record(1ms);
    selector.endpoint(2).round_trip.record(17ms);
    for (int i = 0; i < 20; ++i) CHECK(selector.select(request).endpoint == &selector.endpoint(1));
}

TEST_CASE("the round trip time is the mean of the last five health checks") {
    RoundTripTime round_trip;
    CHECK(round_trip.average() == 0ms);
    round_trip.record(100ms);
    for (int i = 0; i < 5; ++i) round_trip.record(10ms);
    CHECK(round_trip.average() == 10ms);
}

TEST_CASE("a bounded read goes only to a replica whose known position is within its staleness bound") {
    Selector selector;
    Request request = make_request(class_settings(Consistency::bounded));
    CHECK(required_position(request, Time{}, kStart) == kStart - 300ms);
    CHECK(selector.select(request).decision == Selection::Decision::send);
    Selection later = selector.select(request, Time{}, kStart + 301ms);
    CHECK(later.decision == Selection::Decision::check_health);
    request.on_demand_check = {later.endpoint, kStart + 301ms, 1};
    later.endpoint->health_check.record_sent(kStart + 301ms);
    CHECK(selector.select(request, Time{}, kStart + 302ms).decision == Selection::Decision::wait);
}

TEST_CASE("a session read goes to a replica that has reached its token, otherwise to the primary") {
    Selector selector;
    selector.settings.may_check_health = false;
    Request request = make_request(class_settings(Consistency::session));
    CHECK(selector.select(request, kStart).endpoint != &selector.endpoint(0));
    CHECK(selector.select(request, kStart + 1ms).endpoint == &selector.endpoint(0));
}

TEST_CASE("where endpoints check staleness, the replica with the least lag is tried first") {
    Selector selector;
    selector.settings.staleness_check = StalenessCheck::refuse;
    selector.endpoint(2).replication.record_position(kStart + 10ms, kStart + 10ms);
    Request request = make_request(class_settings(Consistency::session));
    CHECK(selector.select(request, kStart + 40ms, kStart + 10ms).endpoint == &selector.endpoint(2));
    Request not_idempotent_read =
        make_request(class_settings(Consistency::session, Idempotency::not_idempotent));
    CHECK(selector.select(not_idempotent_read, kStart + 40ms, kStart + 10ms).endpoint ==
          &selector.endpoint(0));
}

TEST_CASE("while some replicas are too far behind for bounded reads, they serve the any reads") {
    Selector selector;
    Endpoint& lagging = selector.endpoint(2);
    lagging.replication = {};
    lagging.replication.record_position(kStart - 2s, kStart);
    Request request = make_request(class_settings(Consistency::any));
    for (int i = 0; i < 20; ++i) CHECK(selector.select(request).endpoint == &lagging);
}
