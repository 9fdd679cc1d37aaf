// Loss of a site: decisions of the site manager, in virtual time. Recovery is tested in
// site_recovery_test.cpp.
#include <doctest/doctest.h>

#include <algorithm>

#include "site/site_fixture.hpp"
#include "site/site_manager.hpp"

namespace indigovane::site {
namespace {

TEST_CASE(
    "detection: if a site is unresponsive, all its hosts and no others are excluded, even hosts without "
    "contact") {
    for (bool is_resetting : {false, true}) {
        SiteFixture fixture;
        fixture.run(seconds(3));
        fixture.fail_site(1, is_resetting ? fixture.resetting : fixture.unresponsive);
        fixture.run(milliseconds(1500));
        CHECK(fixture.state_of(1) == SiteState::lost);
        CHECK(fixture.excluded_count(1) == 6);
        CHECK(fixture.excluded.size() == 6);
        CHECK(fixture.manager.health().of_site(SiteId{1}).has_restarted == is_resetting);
        CHECK(fixture.manager.health().of_site(SiteId{1}).evidence.newly_unresponsive >= 3);
    }
}

TEST_CASE("detection: one or two unresponsive hosts out of six do not make a site lost") {
    SiteFixture fixture;
    fixture.unresponsive = {1, 4};
    fixture.run(seconds(20));
    CHECK(fixture.excluded.empty());
    CHECK(!fixture.has_entered(1, SiteState::lost));
}

// Guards against a loss that a pooler with little traffic cannot detect: with three requests per second over
// 18 hosts, three hosts of one site rarely get a request within the evidence window.
TEST_CASE("detection: a pooler with little traffic probes other hosts of a site when one is unresponsive") {
    auto detected_losses = [](unsigned probes) {
        int detected = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Settings settings = SiteFixture::enabled();
            settings.confirmation_probes = probes;
            SiteFixture fixture(settings, 300);
            fixture.random_state = seed * 7919;
            fixture.steps_per_request = 30;
            fixture.run(seconds(60));  // long enough for each host to have had a request
            fixture.fail_site(1, fixture.unresponsive);
            fixture.run(seconds(3));
            detected += fixture.state_of(1) == SiteState::lost && !fixture.has_entered(0, SiteState::lost) &&
                        !fixture.has_entered(2, SiteState::lost);
        }
        return detected;
    };
    CHECK(detected_losses(3) >= 9);
    CHECK(detected_losses(0) <= 3);
}

TEST_CASE("detection: one unresponsive host causes few probes, and their answers rule out a loss") {
    Settings settings = SiteFixture::enabled();
    SiteFixture fixture(settings, 30);
    fixture.steps_per_request = 30;
    fixture.unresponsive = {4};
    fixture.run(seconds(60));
    CHECK(!fixture.has_entered(1, SiteState::lost));
    // All poolers together stay within the probe rate per host.
    CHECK(fixture.probes.size() > 0);
    CHECK(double(fixture.probes.size()) * 30 / 60 <= 6 * settings.probes_per_host_per_second + 3 * 30 / 60.0);
}

TEST_CASE("detection: a site without traffic is not lost") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    fixture.run(seconds(60), false);
    CHECK(fixture.transitions.empty());
}

TEST_CASE(
    "detection: if all sites are unresponsive, this pooler's uplink is down, and no site is lost "
    "afterwards") {
    for (bool detects_own_faults : {true, false}) {
        Settings settings = SiteFixture::enabled();
        settings.detect_own_faults = detects_own_faults;
        SiteFixture fixture(settings);
        fixture.run(seconds(2));
        for (std::uint32_t site = 0; site < 3; ++site) fixture.fail_site(site, fixture.unresponsive);
        fixture.run(seconds(8));
        CHECK(fixture.manager.health().uplink_down() == detects_own_faults);
        fixture.unresponsive.clear();
        fixture.run(seconds(3));
        // Without the detection of its own faults, the pooler considers sites lost or partitioned.
        bool is_any_site_lost =
            fixture.has_entered(0, SiteState::lost) || fixture.has_entered(1, SiteState::lost) ||
            fixture.has_entered(2, SiteState::lost) || fixture.has_entered(0, SiteState::partitioned) ||
            fixture.has_entered(1, SiteState::partitioned) || fixture.has_entered(2, SiteState::partitioned);
        CHECK(is_any_site_lost == !detects_own_faults);
        if (!detects_own_faults) continue;
        CHECK(!fixture.manager.health().uplink_down());
        CHECK(fixture.excluded.empty());
        for (std::uint32_t site = 0; site < 3; ++site) CHECK(fixture.state_of(site) == SiteState::reachable);
    }
}

TEST_CASE(
    "detection: a pooler on the smaller side of a partition considers the other sites partitioned, not "
    "lost, and readmits them as warm") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.fail_site(2, fixture.unresponsive);
    fixture.run(seconds(3));
    CHECK((fixture.state_of(1) == SiteState::partitioned || fixture.state_of(2) == SiteState::partitioned));
    CHECK(fixture.state_of(0) == SiteState::reachable);
    CHECK(fixture.excluded_count(0) == 0);
    fixture.unresponsive.clear();
    fixture.run(seconds(6));
    CHECK(fixture.excluded.empty());
}

TEST_CASE(
    "detection: after a pause of its process, a pooler loses no site because of answers missed during the "
    "pause") {
    for (bool detects_own_faults : {true, false}) {
        Settings settings = SiteFixture::enabled();
        settings.detect_own_faults = detects_own_faults;
        SiteFixture fixture(settings);
        fixture.run(seconds(2));
        for (std::uint32_t i = 1; i < 18; i += 3)
            fixture.manager.record_sent(HostId{i}, fixture.now);  // in flight when the process is paused
        Time paused_at = fixture.now;
        fixture.now += seconds(10);
        // After the pause all timeouts are noticed before any answer.
        for (std::uint32_t i = 1; i < 18; i += 3) {
            fixture.manager.record_ended(HostId{i});
            fixture.manager.record_contact(HostId{i}, ContactResult::unanswered, paused_at, fixture.now);
        }
        fixture.send(HostId{0});  // the first answer comes from another site
        fixture.apply(fixture.manager.evaluate(fixture.now));
        CHECK(fixture.excluded.empty() == detects_own_faults);  // without the detection the site is lost
        fixture.run(seconds(3));
        CHECK(fixture.transitions.empty() == detects_own_faults);
        if (detects_own_faults) CHECK(fixture.excluded.empty());
    }
}

TEST_CASE(
    "endpoint list: a restart after the loss counts as an answer, and a host added to a lost site is "
    "excluded") {
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
          fixture.settings.restart_ramp);  // all hosts have restarted
    fixture.run(seconds(8));
    CHECK(fixture.excluded.empty());
}

TEST_CASE("endpoint list: a restart of one host during a loss does not make its site count as restarted") {
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
    REQUIRE(fixture.has_entered(1, SiteState::recovering));
    CHECK(fixture.manager.health().of_site(SiteId{1}).ramp == fixture.settings.default_ramp);
}

TEST_CASE("operators: a drained site stays excluded until they end the drain, even if it answers") {
    SiteFixture fixture;
    fixture.run(seconds(2));
    CHECK(!fixture.manager.drain(SiteId{9}, true, fixture.now));
    CHECK(!fixture.manager.drain(SiteId{1}, false, fixture.now));
    CHECK(fixture.manager.drain(SiteId{1}, true, fixture.now));
    CHECK(!fixture.manager.drain(SiteId{1}, true, fixture.now));
    fixture.run(seconds(30));
    CHECK(fixture.state_of(1) == SiteState::drained);
    CHECK(fixture.excluded_count(1) == 6);
    CHECK(fixture.manager.drain(SiteId{1}, false, fixture.now));
    fixture.run(seconds(3));
    CHECK(fixture.excluded.empty());
    CHECK(fixture.state_of(1) == SiteState::reachable);
}

TEST_CASE("retry budget: limits retries of reads only while a site has a fault") {
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
    "load shedding: follows reported utilization and admits one request per class and tenant in each "
    "interval") {
    Settings settings = SiteFixture::enabled();
    settings.shed_by_plan = true;
    SiteFixture fixture(settings);
    auto arrive = [&](std::size_t request_class, const char* tenant) {
        return fixture.manager.admit({GroupId{0}, request_class, tenant, fixture.draw()}, fixture.now);
    };
    for (int i = 0; i < 2000; ++i) {  // 100 reads per second of 20 ms on two replicas at utilization 0.7
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
    int admitted_of_rare_tenant = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.now += milliseconds(10);
        admitted += arrive(0, "t");
        if (i % 100 == 0) admitted_of_rare_tenant += arrive(0, "rare");
    }
    CHECK(admitted > 450);  // capacity 0.8 of one replica for a load of 1.4
    CHECK(admitted < 680);
    CHECK(admitted_of_rare_tenant >= 5);  // at least one in two seconds
    CHECK(fixture.manager.rejected_requests() > 300);
}

}  // namespace
}  // namespace indigovane::site
