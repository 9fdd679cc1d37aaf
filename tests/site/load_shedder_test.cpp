// Load shedding by the failover plan, and the retry budget of reads.
#include "site/load_shedder.hpp"

#include <doctest/doctest.h>

#include "site/retry_budget.hpp"

namespace indigovane::site {
namespace {

constexpr Time kStart{seconds(100)};

std::vector<Host> primary_and_two_replicas() {
    std::vector<Host> hosts(3);
    for (std::uint32_t i = 0; i < 3; ++i) hosts[i].id = HostId{i};
    hosts[0].primary = true;
    return hosts;
}

LoadShedder shedder_of_one_class() {
    Demand read;
    read.request_class = "read";
    return {Settings{}, {read}};
}

RequestArrival arrival_with_draw(double draw) {
    return {GroupId{0}, 0, "tenant", draw};
}

TEST_CASE("load shedder: sheds only while hosts are excluded, and always admits one request per interval") {
    LoadShedder shedder = shedder_of_one_class();
    shedder.admit(arrival_with_draw(0.99), kStart);
    shedder.record_latency(GroupId{0}, 0, milliseconds(20));
    for (std::uint32_t id : {1, 2}) shedder.record_utilization(HostId{id}, 1);

    shedder.update_plan(primary_and_two_replicas(), {HostId{2}}, kStart);
    CHECK(shedder.admit(arrival_with_draw(0.99), kStart));  // the first request of an interval
    CHECK(!shedder.admit(arrival_with_draw(0.99), kStart));
    CHECK(shedder.admit(arrival_with_draw(0.99), kStart + Settings{}.starvation_interval));
    CHECK(shedder.rejected_requests() == 1);

    shedder.update_plan(primary_and_two_replicas(), {}, kStart);
    CHECK(shedder.admit(arrival_with_draw(0.99), kStart));
}

TEST_CASE("load shedder: a host that reports no utilization causes no shedding") {
    LoadShedder shedder = shedder_of_one_class();
    for (int i = 0; i < 100; ++i) shedder.admit(arrival_with_draw(0.99), kStart);
    shedder.record_latency(GroupId{0}, 0, milliseconds(20));

    shedder.update_plan(primary_and_two_replicas(), {HostId{2}}, kStart);

    for (int i = 0; i < 100; ++i) CHECK(shedder.admit(arrival_with_draw(0.99), kStart));
}

TEST_CASE("retry budget: five requests earn one retry, up to the maximum") {
    Settings settings;
    settings.max_retry_budget = 1;
    SiteRetryBudget budget(settings);
    CHECK(budget.spend());
    CHECK(!budget.spend());

    for (int i = 0; i < 4; ++i) budget.earn();
    CHECK(!budget.spend());
    budget.earn();
    CHECK(budget.spend());

    for (int i = 0; i < 100; ++i) budget.earn();
    CHECK(budget.spend());
    CHECK(!budget.spend());
}

}  // namespace
}  // namespace indigovane::site
