// Health of sites: states and their transitions, tested without a site manager.
#include "site/site_health.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

constexpr SiteId kLostSite{0};
constexpr SiteId kOtherSite{1};
constexpr Duration kTimeout = milliseconds(400);
constexpr std::uint32_t kHostsPerSite = 3;

// Two sites with three hosts each. All hosts have answered.
struct SiteHealthFixture {
    Settings settings;
    ContactEvidence evidence;
    SiteHealthTracker health{settings};
    Time now = Time(seconds(100));

    SiteHealthFixture() {
        std::vector<Host> hosts;
        for (std::uint32_t i = 0; i < 2 * kHostsPerSite; ++i) {
            Host host;
            host.id = HostId{i};
            host.site = i < kHostsPerSite ? kLostSite : kOtherSite;
            hosts.push_back(host);
        }
        evidence.set_hosts(hosts);
        record(kLostSite, ContactResult::answered);
        record(kOtherSite, ContactResult::answered);
    }
    void record(SiteId site, ContactResult result) {
        for (const Host& host : evidence.hosts())
            if (host.site == site) evidence.record_contact(host.id, result, now, now);
    }
    std::vector<StateChange> evaluate() { return health.evaluate(evidence, now, kTimeout); }
    void lose_site(ContactResult result = ContactResult::unanswered) {
        now += settings.unresponsive_after;
        record(kLostSite, result);
        record(kOtherSite, ContactResult::answered);
        evaluate();
        REQUIRE(health.of_site(kLostSite).state == SiteState::lost);
    }
};

TEST_CASE("site health: a site is lost only after it has not answered for unresponsive_after") {
    SiteHealthFixture fixture;
    fixture.now += fixture.settings.unresponsive_after - Duration(1);
    fixture.record(kLostSite, ContactResult::unanswered);
    fixture.record(kOtherSite, ContactResult::answered);

    fixture.evaluate();
    CHECK(fixture.health.of_site(kLostSite).state == SiteState::degraded);

    fixture.now += Duration(1);
    fixture.evaluate();
    CHECK(fixture.health.of_site(kLostSite).state == SiteState::lost);
    CHECK(fixture.health.of_site(kOtherSite).state == SiteState::reachable);
}

TEST_CASE("site health: a loss lasts for its exclusion time even if hosts answer") {
    SiteHealthFixture fixture;
    fixture.lose_site();
    Time end = fixture.now + fixture.settings.min_exclusion;
    CHECK(fixture.health.of_site(kLostSite).excluded_until == end);
    for (std::uint32_t id : {0, 1}) fixture.health.record_answer(kLostSite, HostId{id}, fixture.now);

    fixture.now = end - Duration(1);
    CHECK(fixture.evaluate().empty());
    fixture.now = end;
    REQUIRE(fixture.evaluate().size() == 1);
    CHECK(fixture.health.of_site(kLostSite).state == SiteState::recovering);
}

TEST_CASE("site health: hosts that reset connections count as restarted and get the restart ramp") {
    SiteHealthFixture fixture;
    fixture.lose_site(ContactResult::reset);
    fixture.now = fixture.health.of_site(kLostSite).excluded_until;
    for (std::uint32_t id : {0, 1}) fixture.health.record_answer(kLostSite, HostId{id}, fixture.now);

    fixture.evaluate();

    CHECK(fixture.health.of_site(kLostSite).ramp == fixture.settings.restart_ramp);
    CHECK(fixture.health.complete_recovery(kLostSite, fixture.now));
    CHECK(fixture.health.of_site(kLostSite).state == SiteState::reachable);
}

TEST_CASE("site health: only operators end a drain") {
    SiteHealthFixture fixture;
    CHECK(!fixture.health.drain(kLostSite, false, fixture.now));
    REQUIRE(fixture.health.drain(kLostSite, true, fixture.now));
    fixture.record(kLostSite, ContactResult::answered);
    CHECK(fixture.evaluate().empty());
    CHECK(is_excluded(fixture.health.of_site(kLostSite).state));
    CHECK(!is_lost(fixture.health.of_site(kLostSite).state));
    CHECK(fixture.health.drain(kLostSite, false, fixture.now));
}

}  // namespace
}  // namespace indigovane::site
