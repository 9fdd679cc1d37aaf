// Loss of a site: the decisions of the site manager alone, with made-up time. Each case names the rule that
// it checks. Recovery: site_recovery_test.cpp.
#include <doctest/doctest.h>

#include <algorithm>

#include "site/site_fixture.hpp"
#include "site/site_manager.hpp"

namespace indigovane::site {
namespace {

TEST_CASE(
    "detection: an unresponsive site is lost with all its hosts, also those never contacted, and no other") {
    for (bool resets : {false, true}) {
        SiteFixture fixture;
        fixture.run(seconds(3));
        fixture.fail_site(1, resets ? fixture.resetting : fixture.unresponsive);
        fixture.run(milliseconds(1500));
        CHECK(fixture.state_of(1) == SiteState::lost);
        CHECK(fixture.excluded_of(1) == 6);
        CHECK(fixture.excluded.size() == 6);
        CHECK(fixture.manager.health().of_site(SiteId{1}).has_restarted == resets);
        CHECK(fixture.manager.health().of_site(SiteId{1}).evidence.newly_unresponsive >= 3);
    }
}

TEST_CASE("detection: one unresponsive host loses no site, nor do two of six") {
    SiteFixture fixture;
    fixture.unresponsive = {1, 4};
    fixture.run(seconds(20));
    CHECK(fixture.excluded.empty());
    CHECK(!fixture.entered(1, SiteState::lost));
}

// Three requests a second over 18 hosts: by chance alone three different hosts of one site hardly ever get
// one within the evidence window.
TEST_CASE("detection: a pooler with little traffic probes others of a site as soon as one is unresponsive") {
    auto losses_found = [](unsigned probes) {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Settings settings = SiteFixture::enabled();
            settings.confirmation_probes = probes;
            SiteFixture fixture(settings, 300);
            fixture.random_state = seed * 7919;
            fixture.steps_per_request = 30;
            fixture.run(seconds(60));  // long enough to have used every host
            fixture.fail_site(1, fixture.unresponsive);
            fixture.run(seconds(3));
            found += fixture.state_of(1) == SiteState::lost && !fixture.entered(0, SiteState::lost) &&
                     !fixture.entered(2, SiteState::lost);
        }
        return found;
    };
    CHECK(losses_found(3) >= 9);
    CHECK(losses_found(0) <= 3);
}

TEST_CASE("detection: one unresponsive host causes few probes, whose answers clear its site") {
    Settings settings = SiteFixture::enabled();
    SiteFixture fixture(settings, 30);
    fixture.steps_per_request = 30;
    fixture.unresponsive = {4};
    fixture.run(seconds(60));
    CHECK(!fixture.entered(1, SiteState::lost));
    // All poolers together probe no host more often than allowed.
    CHECK(fixture.probes.size() > 0);
    CHECK(double(fixture.probes.size()) * 30 / 60 <= 6 * settings.probes_per_host_per_second + 3 * 30 / 60.0);
}

TEST_CASE("detection: a site without traffic is not lost for lack of answers") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    fixture.run(seconds(60), false);
    CHECK(fixture.transitions.empty());
}

TEST_CASE(
    "detection: all sites unresponsive at once is this pooler's uplink, and none of it counts afterwards") {
    for (bool detects : {true, false}) {
        Settings settings = SiteFixture::enabled();
        settings.detect_own_faults = detects;
        SiteFixture fixture(settings);
        fixture.run(seconds(2));
        for (std::uint32_t site = 0; site < 3; ++site) fixture.fail_site(site, fixture.unresponsive);
        fixture.run(seconds(8));
        CHECK(fixture.manager.health().uplink_down() == detects);
        fixture.unresponsive.clear();
        fixture.run(seconds(3));
        // Without the detection of its own faults it takes other sites for lost.
        bool any_lost = fixture.entered(0, SiteState::lost) || fixture.entered(1, SiteState::lost) ||
                        fixture.entered(2, SiteState::lost) || fixture.entered(0, SiteState::partitioned) ||
                        fixture.entered(1, SiteState::partitioned) ||
                        fixture.entered(2, SiteState::partitioned);
        CHECK(any_lost == !detects);
        if (!detects) continue;
        CHECK(!fixture.manager.health().uplink_down());
        CHECK(fixture.excluded.empty());
        for (std::uint32_t site = 0; site < 3; ++site) CHECK(fixture.state_of(site) == SiteState::reachable);
    }
}

TEST_CASE(
    "detection: on the smaller side of a partition the other sites are partitioned, not lost, and count as "
    "warm") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.fail_site(2, fixture.unresponsive);
    fixture.run(seconds(3));
    CHECK((fixture.state_of(1) == SiteState::partitioned || fixture.state_of(2) == SiteState::partitioned));
    CHECK(fixture.state_of(0) == SiteState::reachable);
    CHECK(fixture.excluded_of(0) == 0);
    fixture.unresponsive.clear();
    fixture.run(seconds(6));
    CHECK(fixture.excluded.empty());
}

TEST_CASE("detection: after a pause of its process a pooler loses no site for answers that it missed") {
    for (bool detects : {true, false}) {
        Settings settings = SiteFixture::enabled();
        settings.detect_own_faults = detects;
        SiteFixture fixture(settings);
        fixture.run(seconds(2));
        for (std::uint32_t i = 1; i < 18; i += 3)
            fixture.manager.record_sent(HostId{i}, fixture.now);  // in flight when it is paused
        Time before = fixture.now;
        fixture.now += seconds(10);
        for (std::uint32_t i = 1; i < 18; i += 3) {  // all timeouts are found at once, before any answer
            fixture.manager.record_ended(HostId{i});
            fixture.manager.record_contact(HostId{i}, ContactResult::unanswered, before, fixture.now);
        }
        fixture.send(HostId{0});  // then the first answer, of another site
        fixture.apply(fixture.manager.evaluate(fixture.now));
        CHECK(fixture.excluded.empty() == detects);  // without the detection the pause loses it
        fixture.run(seconds(3));
        CHECK(fixture.transitions.empty() == detects);
        if (detects) CHECK(fixture.excluded.empty());
    }
}

TEST_CASE(
    "endpoint list: a start since the loss counts as an answer; a host new to a lost site stays excluded") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(3));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    Host added;
    added.id = HostId{18};
    added.site = SiteId{1};
    added.group = GroupId{0};
    auto listed = fixture.hosts;
    listed.push_back(added);
    fixture.manager.set_hosts(listed, fixture.now);
    fixture.apply(fixture.manager.evaluate(fixture.now));
    CHECK(fixture.excluded.count(HostId{18}) == 1);
    for (Host& host : listed)
        if (host.site == SiteId{1}) host.started = fixture.now;
    fixture.unresponsive.clear();
    fixture.manager.set_hosts(listed, fixture.now);
    fixture.apply(fixture.manager.evaluate(fixture.now));
    CHECK(fixture.state_of(1) == SiteState::recovering);
    CHECK(fixture.manager.health().of_site(SiteId{1}).ramp ==
          fixture.settings.restart_ramp);  // they have all restarted
    fixture.run(seconds(8));
    CHECK(fixture.excluded.empty());
}

TEST_CASE("endpoint list: one host's start during a partition does not make its site a restarted one") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(3));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    auto listed = fixture.hosts;
    listed[4].started = fixture.now;
    fixture.manager.set_hosts(listed, fixture.now);
    fixture.unresponsive.clear();
    fixture.run(seconds(2));
    REQUIRE(fixture.entered(1, SiteState::recovering));
    CHECK(fixture.manager.health().of_site(SiteId{1}).ramp == fixture.settings.default_ramp);
}

TEST_CASE("operators: a drained site stays excluded whatever it answers, until they end it") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    CHECK(!fixture.manager.drain(SiteId{9}, true, fixture.now));
    CHECK(!fixture.manager.drain(SiteId{1}, false, fixture.now));
    CHECK(fixture.manager.drain(SiteId{1}, true, fixture.now));
    CHECK(!fixture.manager.drain(SiteId{1}, true, fixture.now));
    fixture.run(seconds(30));
    CHECK(fixture.state_of(1) == SiteState::drained);
    CHECK(fixture.excluded_of(1) == 6);
    CHECK(fixture.manager.drain(SiteId{1}, false, fixture.now));
    fixture.run(seconds(3));
    CHECK(fixture.excluded.empty());
    CHECK(fixture.state_of(1) == SiteState::reachable);
}

TEST_CASE("retry budget: limits retries of reads while a site has a fault, and only then") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    for (int i = 0; i < 100; ++i) CHECK(fixture.manager.may_retry());
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(2));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    int allowed = 0;
    for (int i = 0; i < 100; ++i) allowed += fixture.manager.may_retry();
    CHECK(allowed == 20);
    for (int i = 0; i < 50; ++i) fixture.manager.admit({GroupId{0}, 0, "t", 0.5}, fixture.now);
    allowed = 0;
    for (int i = 0; i < 100; ++i) allowed += fixture.manager.may_retry();
    CHECK(allowed == 10);
    CHECK(fixture.manager.retries_denied() == 170);
}

TEST_CASE(
    "load shedding: by reported utilization, with one request of each class and tenant in each interval") {
    Settings settings = SiteFixture::enabled();
    settings.shed_by_plan = true;
    SiteFixture fixture(settings);
    auto arrive = [&](std::size_t request_class, const char* tenant) {
        return fixture.manager.admit({GroupId{0}, request_class, tenant, fixture.draw()}, fixture.now);
    };
    for (int i = 0; i < 2000; ++i) {  // 100 reads a second of 20 ms on two replicas at 0.7 utilization
        fixture.now += milliseconds(10);
        CHECK(arrive(0, "t"));
        fixture.manager.record_latency(GroupId{0}, 0, milliseconds(20));
        for (std::uint32_t h : {0, 1, 2}) fixture.manager.record_utilization(HostId{h}, 0.7);
        fixture.send(HostId{std::uint32_t(i) % 18});
    }
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(2));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    int admitted = 0;
    int of_rare_tenant = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.now += milliseconds(10);
        admitted += arrive(0, "t");
        if (i % 100 == 0) of_rare_tenant += arrive(0, "rare");
    }
    CHECK(admitted > 450);  // 0.8 of one replica over 1.4
    CHECK(admitted < 680);
    CHECK(of_rare_tenant >= 5);  // one in two seconds at the least
    CHECK(fixture.manager.rejected_requests() > 300);
}

}  // namespace
}  // namespace indigovane::site
