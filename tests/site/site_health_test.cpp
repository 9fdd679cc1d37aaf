// Health of sites: states and their transitions, without a manager.
#include "site/site_health.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

constexpr SiteId kLost{0};
constexpr SiteId kOther{1};
constexpr Duration kTimeout = milliseconds(400);
constexpr std::uint32_t kHostsPerSite = 3;

// Two sites of three hosts that have answered.
struct HealthFixture {
    Settings settings;
    ContactEvidence evidence;
    SiteHealthTracker health{settings};
    Time now = Time(seconds(100));

    HealthFixture() {
        std::vector<Host> hosts;
        for (std::uint32_t i = 0; i < 2 * kHostsPerSite; ++i) {
            Host host;
            host.id = HostId{i};
            host.site = i < kHostsPerSite ? kLost : kOther;
            hosts.push_back(host);
        }
        evidence.set_hosts(hosts);
        record(kLost, ContactResult::answered);
        record(kOther, ContactResult::answered);
    }
    void record(SiteId site, ContactResult result) {
        for (const Host& host : evidence.hosts())
            if (host.site == site) evidence.record_contact(host.id, result, now, now);
    }
    std::vector<StateChange> evaluate() { return health.evaluate(evidence, now, kTimeout); }
    void lose_site(ContactResult result = ContactResult::unanswered) {
        now += settings.unresponsive_after;
        record(kLost, result);
        record(kOther, ContactResult::answered);
        evaluate();
        REQUIRE(health.of_site(kLost).state == SiteState::lost);
    }
};

TEST_CASE("site health: a site is lost only after it has answered nothing for the full time") {
    HealthFixture fixture;
    fixture.now += fixture.settings.unresponsive_after - Duration(1);
    fixture.record(kLost, ContactResult::unanswered);
    fixture.record(kOther, ContactResult::answered);

    fixture.evaluate();
    CHECK(fixture.health.of_site(kLost).state == SiteState::degraded);

    fixture.now += Duration(1);
    fixture.evaluate();
    CHECK(fixture.health.of_site(kLost).state == SiteState::lost);
    CHECK(fixture.health.of_site(kOther).state == SiteState::reachable);
}

TEST_CASE("site health: a loss stands for its exclusion time, whatever answers") {
    HealthFixture fixture;
    fixture.lose_site();
    Time end = fixture.now + fixture.settings.min_exclusion;
    CHECK(fixture.health.of_site(kLost).excluded_until == end);
    for (std::uint32_t id : {0, 1}) fixture.health.record_answer(kLost, HostId{id}, fixture.now);

    fixture.now = end - Duration(1);
    CHECK(fixture.evaluate().empty());
    fixture.now = end;
    REQUIRE(fixture.evaluate().size() == 1);
    CHECK(fixture.health.of_site(kLost).state == SiteState::recovering);
}

TEST_CASE("site health: hosts that reset connections have restarted, so that the longer ramp applies") {
    HealthFixture fixture;
    fixture.lose_site(ContactResult::reset);
    fixture.now = fixture.health.of_site(kLost).excluded_until;
    for (std::uint32_t id : {0, 1}) fixture.health.record_answer(kLost, HostId{id}, fixture.now);

    fixture.evaluate();

    CHECK(fixture.health.of_site(kLost).ramp == fixture.settings.restart_ramp);
    CHECK(fixture.health.complete_recovery(kLost, fixture.now));
    CHECK(fixture.health.of_site(kLost).state == SiteState::reachable);
}

TEST_CASE("site health: only operators end a drain that operators began") {
    HealthFixture fixture;
    CHECK(!fixture.health.drain(kLost, false, fixture.now));
    REQUIRE(fixture.health.drain(kLost, true, fixture.now));
    fixture.record(kLost, ContactResult::answered);
    CHECK(fixture.evaluate().empty());
    CHECK(is_excluded(fixture.health.of_site(kLost).state));
    CHECK(!is_lost(fixture.health.of_site(kLost).state));
    CHECK(fixture.health.drain(kLost, false, fixture.now));
}

}  // namespace
}  // namespace indigovane::site
