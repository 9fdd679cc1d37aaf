// Schedule of probes: confirmation of a suspected loss, and detection of the end of a loss.
#include "site/probe_scheduler.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

constexpr SiteId kSuspectedSite{0};
constexpr SiteId kOtherSite{1};
constexpr std::uint32_t kHostsPerSite = 4;

struct ProbeFixture {
    Settings settings;
    ContactEvidence evidence;
    SiteHealthTracker health{settings};
    std::set<HostId> excluded;
    ProbeScheduler probe_scheduler{settings, [] { return 0.0; }};
    Time now = Time(seconds(100));

    ProbeFixture() {
        std::vector<Host> hosts;
        for (std::uint32_t i = 0; i < 2 * kHostsPerSite; ++i) {
            Host host;
            host.id = HostId{i};
            host.site = i < kHostsPerSite ? kSuspectedSite : kOtherSite;
            hosts.push_back(host);
        }
        evidence.set_hosts(hosts);
    }
    ProbeScheduler::View view() const { return {evidence, health, excluded, 1, milliseconds(400)}; }
    std::vector<HostId> confirmation_probes() { return probe_scheduler.confirmation_probes(view(), now); }
};

TEST_CASE("probes: no host is probed while none is unresponsive") {
    ProbeFixture fixture;
    fixture.evidence.record_contact(HostId{0}, ContactResult::answered, fixture.now, fixture.now);
    CHECK(fixture.confirmation_probes().empty());
}

TEST_CASE(
    "probes: a suspected loss is checked at other hosts of the site and at one host of each other site") {
    ProbeFixture fixture;
    fixture.evidence.record_contact(HostId{0}, ContactResult::unanswered, fixture.now, fixture.now);

    std::vector<HostId> expected{HostId{1}, HostId{2}, HostId{3}, HostId{4}};
    CHECK(fixture.confirmation_probes() == expected);
    CHECK(fixture.confirmation_probes().empty());  // no second time within the evidence window
}

TEST_CASE("probes: hosts of a lost site are probed in turn, starting shortly before the exclusion ends") {
    ProbeFixture fixture;
    for (std::uint32_t id = 0; id < kHostsPerSite; ++id)
        fixture.evidence.record_contact(HostId{id}, ContactResult::unanswered, fixture.now, fixture.now);
    fixture.now += fixture.settings.unresponsive_after;
    fixture.evidence.record_contact(HostId{4}, ContactResult::answered, fixture.now, fixture.now);
    fixture.health.evaluate(fixture.evidence, fixture.now, milliseconds(400));
    REQUIRE(is_lost(fixture.health.of_site(kSuspectedSite).state));

    CHECK(!fixture.probe_scheduler.recovery_probe(fixture.view(), kSuspectedSite, fixture.now));
    fixture.now = fixture.health.of_site(kSuspectedSite).excluded_until - fixture.settings.unresponsive_after;
    CHECK(fixture.probe_scheduler.recovery_probe(fixture.view(), kSuspectedSite, fixture.now) == HostId{0});
    CHECK(!fixture.probe_scheduler.recovery_probe(fixture.view(), kSuspectedSite, fixture.now));
    fixture.now += fixture.settings.probe_interval;
    CHECK(fixture.probe_scheduler.recovery_probe(fixture.view(), kSuspectedSite, fixture.now) == HostId{1});
}

}  // namespace
}  // namespace indigovane::site
