// Failover plan: which hosts take the load of a lost site, and what is shed.
#include "site/failover_plan.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

constexpr GroupId kGroup{7};

// `reads` and `writes` are in requests per second. Site 0 has the primary and a replica, sites 1 and 2 a
// replica each.
PlanInput plan_input(double reads, double writes) {
    PlanInput input;
    for (std::uint32_t i = 0; i < 4; ++i) {
        Host host;
        host.id = HostId{i};
        host.site = SiteId{i < 2 ? 0 : i - 1};
        host.group = kGroup;
        host.primary = i == 0;
        host.capacity = 5;
        input.hosts.push_back(host);
    }
    input.demands = {{kGroup, "view", false, reads, 0.05, 1},
                     {kGroup, "own", false, reads / 2, 0.05, 3},
                     {kGroup, "book", true, writes, 0.1, 6}};
    return input;
}

TEST_CASE(
    "plan: remaining hosts take the load up to their maximum utilization, the rest is shed by priority "
    "weight for cost") {
    PlanInput input = plan_input(100, 10);  // work 7.5 on three replicas of capacity 5
    Plan without_loss = make_plan(input);
    for (const AdmittedShare& share : without_loss.shares) CHECK(share.admitted_share == 1);
    for (const HostLoad& host : without_loss.hosts)
        CHECK(host.load_after == doctest::Approx(host.load_before));
    input.lost_sites = {SiteId{1}};
    Plan one_lost = make_plan(input);  // work 7.5 on two replicas, which can take 8 at maximum utilization
    CHECK(one_lost.admitted_share(kGroup, "view") == 1);
    CHECK(one_lost.hosts[1].load_after == doctest::Approx(3.75));
    CHECK(one_lost.hosts[2].load_after == 0);
    CHECK(one_lost.groups[kGroup].moved_work == doctest::Approx(2.5));
    CHECK(one_lost.groups[kGroup].load_ratio == doctest::Approx(1.5));
    input.lost_sites = {SiteId{1}, SiteId{2}};
    Plan two_lost =
        make_plan(input);  // 4 of 7.5 fit: all 2.5 of the more valuable class and 1.5 of the other 5
    CHECK(two_lost.admitted_share(kGroup, "own") == doctest::Approx(1));
    CHECK(two_lost.admitted_share(kGroup, "view") == doctest::Approx(0.3));
    CHECK(two_lost.shares.front().request_class == "view");
    CHECK(two_lost.groups[kGroup].shed_work == doctest::Approx(3.5));
    input.protected_classes = {"view"};
    CHECK(make_plan(input).admitted_share(kGroup, "view") > 0.7);  // operators have protected this class
    for (const HostLoad& host : two_lost.hosts)
        CHECK(host.load_after <= input.max_utilization * host.capacity + 1e-9);
}

TEST_CASE(
    "plan: the successor takes the work of a lost primary, other replicas take its reads, and no class is "
    "shed in full") {
    PlanInput input = plan_input(60, 10);
    input.lost_sites = {SiteId{0}};
    Plan plan = make_plan(input);
    CHECK(plan.groups[kGroup].primary_lost);
    CHECK(plan.admitted_share(kGroup, "book") == 1);
    double total_load = 0;
    for (const HostLoad& host : plan.hosts) total_load += host.load_after;
    CHECK(total_load == doctest::Approx(4 + 1));  // one replica at maximum utilization, and the writes
    input = plan_input(10000, 10);
    input.lost_sites = {SiteId{1}, SiteId{2}};
    CHECK(make_plan(input).admitted_share(kGroup, "view") ==
          doctest::Approx(input.min_class_share * 4 / (input.min_class_share * 750)));
    input.lost_sites = {SiteId{0}, SiteId{1}, SiteId{2}};
    for (const AdmittedShare& share : make_plan(input).shares) CHECK(share.admitted_share == 0);
}

TEST_CASE("plan: classes are shed in the order of priority weight for cost, protected ones last") {
    Demand cheap{kGroup, "cheap", false, 1, 0.01, 1};
    Demand costly{kGroup, "costly", false, 1, 0.1, 1};

    CHECK(is_shed_before(costly, cheap, {}));
    CHECK(!is_shed_before(cheap, costly, {}));
    CHECK(is_shed_before(cheap, costly, {"costly"}));
    CHECK(is_shed_before(cheap, costly, {"costly", "cheap"}));
}

}  // namespace
}  // namespace indigovane::site
