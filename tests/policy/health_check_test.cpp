#include <doctest/doctest.h>

#include "policy/fixtures.hpp"
#include "policy/health_check_budget.hpp"
#include "policy/health_check_schedule.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE(
    "an endpoint is unreachable after one refused connection or two health checks in a row without an "
    "answer") {
    HealthCheckState state;
    state.record_sent(kStart);
    CHECK(state.is_in_flight());
    CHECK(state.record_result(AttemptStatus::unreachable));
    CHECK_FALSE(state.is_in_flight());
    CHECK_FALSE(state.record_result(AttemptStatus::ok));
    CHECK_FALSE(state.record_result(AttemptStatus::timeout));
    CHECK_FALSE(state.record_result(AttemptStatus::rejected));
    CHECK(state.record_result(AttemptStatus::timeout));
}

TEST_CASE("requests pay for health checks, and on-demand checks have a budget of their own") {
    Settings settings;
    settings.health_check_price = 0.03;
    double cost = health_check_cost(settings);
    CHECK(cost == doctest::Approx(2));
    HealthCheckBudget budget;
    for (int i = 0; i < 10; ++i) CHECK(budget.spend(HealthCheckPurpose::scheduled, cost));
    CHECK_FALSE(budget.spend(HealthCheckPurpose::scheduled, cost));
    CHECK(budget.spend(HealthCheckPurpose::on_demand, cost));
    budget.record_request(cost);
    CHECK_FALSE(budget.spend(HealthCheckPurpose::scheduled, cost));
    budget.record_request(cost);
    CHECK(budget.spend(HealthCheckPurpose::scheduled, cost));
    CHECK(budget.spend(HealthCheckPurpose::scheduled, 0));
}

TEST_CASE("the check interval is a third of the strictest staleness bound, and at most one second") {
    auto bounded = [](Duration bound) {
        ClassSettings settings = class_settings(Consistency::bounded);
        settings.staleness_bound = bound;
        return std::make_shared<RequestClass>(make_request_class(settings));
    };
    CHECK(health_check_interval({}) == 1s);
    CHECK(health_check_interval({bounded(10s)}) == 1s);
    CHECK(health_check_interval({bounded(600ms), bounded(300ms)}) == 100ms);
}

TEST_CASE("in a group in steady use, replicas are checked at the interval and the primary every second") {
    EndpointTable table = make_table(3);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Endpoint& primary = *table.find(EndpointId{0});
    Endpoint& replica = *table.find(EndpointId{1});
    for (Endpoint* endpoint : group.endpoints) {
        endpoint->health_check.record_sent(kStart);
        endpoint->replication.record_position(kStart, kStart);
    }
    Time now = kStart + 100ms;
    CHECK_FALSE(HealthCheckSchedule(group, &primary, 100ms, 0, now).is_check_due(replica));
    for (int i = 0; i < 100; ++i) group.position_reads.record(now);
    CHECK(HealthCheckSchedule(group, &primary, 100ms, 0, now).is_check_due(replica));
    CHECK_FALSE(HealthCheckSchedule(group, &primary, 100ms, 0, now).is_check_due(primary));
    CHECK_FALSE(HealthCheckSchedule(group, &primary, 100ms, 100, now).is_check_due(replica));
}

TEST_CASE("a group with queued requests and no usable primary is checked for a new primary") {
    EndpointTable table = make_table(3);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Endpoint& primary = *table.find(EndpointId{0});
    for (Endpoint* endpoint : group.endpoints) endpoint->health_check.record_sent(kStart);
    Time now = kStart + 1s;
    CHECK_FALSE(HealthCheckSchedule(group, &primary, 100ms, 0, now).is_check_due(primary));
    primary.ejection.eject(Fault::unresponsive, kStart);
    CHECK_FALSE(HealthCheckSchedule(group, &primary, 100ms, 0, now).is_check_due(primary));
    group.queue.push_back(RequestId{7});
    CHECK(HealthCheckSchedule(group, &primary, 100ms, 0, now).is_check_due(primary));
}

TEST_CASE("the trials of an unreachable endpoint are health checks") {
    EndpointTable table = make_table(1);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Endpoint& endpoint = *table.find(EndpointId{0});
    endpoint.ejection.eject(Fault::unreachable, kStart);
    CHECK_FALSE(HealthCheckSchedule(group, &endpoint, 100ms, 0, kStart + 199ms).is_trial_due(endpoint));
    CHECK(HealthCheckSchedule(group, &endpoint, 100ms, 0, kStart + 200ms).is_trial_due(endpoint));
}

TEST_CASE(
    "where checks have a price, a group's first use checks the listed primary and two other endpoints") {
    EndpointTable table = make_table(6);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Random random(1);
    CHECK(first_use_checks(group, 0, random).size() == 6);
    std::vector<Endpoint*> checked = first_use_checks(group, 1, random);
    CHECK(checked.size() == 3);
    CHECK(checked.front()->id == EndpointId{0});
}
