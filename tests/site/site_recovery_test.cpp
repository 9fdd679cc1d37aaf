// Recovery of a site: the decisions of the site manager alone, with made-up time.
#include <doctest/doctest.h>

#include <algorithm>

#include "site/site_fixture.hpp"

namespace indigovane::site {
namespace {

// The sum over a fleet: how many of its poolers use a host of a restarted site, and whether with slow start.
// Without pacing all of them come at once, and without slow start.
TEST_CASE(
    "recovery: a restarted site gets load from few poolers at first, from all in the end, each with slow "
    "start") {
    for (bool paced : {true, false}) {
        Settings settings = SiteFixture::enabled();
        settings.pace_recovery = paced;
        constexpr int kPoolers = 100;
        std::vector<Duration> readmitted_after;
        int slow_starts = 0;
        for (int pooler = 0; pooler < kPoolers; ++pooler) {
            SiteFixture fixture(settings, kPoolers);
            fixture.random_state = std::uint64_t(pooler) * 7919 + 17;
            fixture.run(seconds(2));
            fixture.fail_site(1, fixture.resetting);
            fixture.run(seconds(4));
            REQUIRE(fixture.state_of(1) == SiteState::lost);
            fixture.resetting.clear();
            while (!fixture.entered(1, SiteState::recovering)) fixture.run(milliseconds(10));
            Time recovering = fixture.now;
            fixture.run(settings.restart_ramp + seconds(1));
            CHECK(fixture.excluded.empty());
            for (auto [at, host] : fixture.readmissions)
                if (at >= recovering - milliseconds(20)) readmitted_after.push_back(at - recovering);
            slow_starts += fixture.slow_starts;
        }
        auto within = [&](double part) {
            return double(std::count_if(readmitted_after.begin(), readmitted_after.end(),
                                        [&](Duration d) {
                                            return double(d.count()) <=
                                                   part * double(settings.restart_ramp.count());
                                        })) /
                   double(readmitted_after.size());
        };
        REQUIRE(readmitted_after.size() == kPoolers * 6);
        if (paced) {
            // Evenly over the full ramp: all groups have the same load ratio here.
            CHECK(within(0.2) < 0.3);
            CHECK(within(0.5) < 0.6);
            CHECK(within(0.5) > 0.4);
            CHECK(within(1.05) == 1);
            CHECK(slow_starts == kPoolers * 6);
        } else {
            CHECK(within(0.2) == 1);
            CHECK(slow_starts == 0);
        }
    }
}

TEST_CASE(
    "recovery: hosts are readmitted one after the other within the ramp, each after an answer of its own") {
    Settings settings = SiteFixture::enabled();
    settings.probe_before_readmission = true;
    SiteFixture fixture(settings);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.resetting);
    fixture.run(seconds(4));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    fixture.resetting.clear();
    std::size_t before = fixture.readmissions.size();
    fixture.run(milliseconds(1200));
    CHECK(fixture.state_of(1) == SiteState::recovering);
    fixture.run(seconds(8));
    CHECK(fixture.state_of(1) == SiteState::reachable);
    REQUIRE(fixture.readmissions.size() == before + 6);
    Time first = fixture.readmissions[before].first;
    Time last = fixture.readmissions.back().first;
    CHECK(last - first >= seconds(1));
    CHECK(last - first <= fixture.settings.restart_ramp + seconds(1));
    for (std::size_t i = before; i < fixture.readmissions.size(); ++i)
        CHECK(std::any_of(fixture.probes.begin(), fixture.probes.end(), [&](auto& probe) {
            return probe.second == fixture.readmissions[i].second &&
                   probe.first <= fixture.readmissions[i].first;
        }));
}

// A probe of each host by each of 300 poolers would be too much.
TEST_CASE(
    "recovery: by default hosts are readmitted without a probe each; a second answer is requested at once") {
    SiteFixture fixture(SiteFixture::enabled(), 300);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(4));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    fixture.unresponsive.clear();
    while (!fixture.manager.health().answered_since_loss(SiteId{1})) fixture.run(milliseconds(10));
    std::size_t before = fixture.probes.size();
    fixture.run(milliseconds(600));  // each pooler's own interval is 5 s here
    CHECK(fixture.entered(1, SiteState::recovering));
    fixture.run(seconds(3));
    CHECK(fixture.state_of(1) == SiteState::reachable);
    CHECK(fixture.probes.size() <= before + 3);
}

TEST_CASE("recovery: a relapse during the ramp doubles the exclusion; losses are forgotten in time") {
    SiteFixture fixture;
    auto exclusion_seconds = [&] {
        const SiteTransition& loss =
            *std::find_if(fixture.transitions.rbegin(), fixture.transitions.rend(),
                          [](const SiteTransition& x) { return x.change.after == SiteState::lost; });
        return loss.exclusion_seconds;
    };
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(3));
    CHECK(exclusion_seconds() == doctest::Approx(1).epsilon(0.1));
    fixture.unresponsive.clear();
    while (fixture.state_of(1) != SiteState::recovering) fixture.run(milliseconds(50));
    fixture.run(milliseconds(700));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(5));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    CHECK(exclusion_seconds() == doctest::Approx(2).epsilon(0.1));
    fixture.unresponsive.clear();
    fixture.run(seconds(90));
    CHECK(fixture.state_of(1) == SiteState::reachable);
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(3));
    CHECK(exclusion_seconds() == doctest::Approx(1).epsilon(0.1));
}

TEST_CASE(
    "recovery: without probes one host at a time is readmitted for a trial; an unconfirmed loss expires") {
    SiteFixture fixture(SiteFixture::enabled(), 1, false);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(6));
    CHECK(fixture.state_of(1) == SiteState::lost);
    CHECK(fixture.probes.empty());
    CHECK(!fixture.readmissions.empty());
    CHECK(fixture.excluded_of(1) >= 4);
    fixture.unresponsive.clear();
    fixture.run(seconds(8));
    CHECK(fixture.state_of(1) == SiteState::reachable);

    SiteFixture unconfirmed;
    unconfirmed.run(seconds(2));
    unconfirmed.fail_site(1, unconfirmed.unresponsive);
    unconfirmed.run(seconds(2));
    REQUIRE(unconfirmed.state_of(1) == SiteState::lost);
    for (auto& [id, sent] : unconfirmed.pending)
        for (std::size_t i = 0; i < sent.size(); ++i) unconfirmed.manager.record_ended(HostId{id});
    for (int i = 0; i < 400; ++i) {  // probes never end: nothing confirms the loss
        unconfirmed.now += milliseconds(50);
        for (const SiteAction& action : unconfirmed.manager.evaluate(unconfirmed.now))
            if (auto* transition = std::get_if<SiteTransition>(&action))
                unconfirmed.transitions.push_back(*transition);
    }
    CHECK(unconfirmed.entered(1, SiteState::recovering));
}

TEST_CASE("recovery: all poolers together probe each host no more often than allowed") {
    Settings settings = SiteFixture::enabled();
    SiteFixture fixture(settings, 300);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(2));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    std::size_t before = fixture.probes.size();
    fixture.run(seconds(60));
    double per_host = double(fixture.probes.size() - before) * 300 / 6 / 60;  // a second, if all do the same
    CHECK(per_host <= settings.probes_per_host_per_second * 1.2);
    CHECK(per_host >= settings.probes_per_host_per_second * 0.5);
}

}  // namespace
}  // namespace indigovane::site
