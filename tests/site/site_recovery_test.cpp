// Recovery of a site: decisions of the site manager, in virtual time.
#include <doctest/doctest.h>

#include <algorithm>

#include "site/site_fixture.hpp"

namespace indigovane::site {
namespace {

// Guards against an overload of a restarted site when the whole fleet returns to it at once. Counts over the
// fleet how many poolers readmit each host at what time, and whether with a slow start. Without pacing all of
// them come at once, without a slow start.
TEST_CASE(
    "recovery: a restarted site gets load from more and more poolers along the ramp, with a slow start "
    "of each host") {
    for (bool is_paced : {true, false}) {
        Settings settings = SiteFixture::enabled();
        settings.pace_recovery = is_paced;
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
            while (!fixture.has_entered(1, SiteState::recovering)) fixture.run(milliseconds(10));
            Time recovery_start = fixture.now;
            fixture.run(settings.restart_ramp + seconds(1));
            CHECK(fixture.excluded.empty());
            for (auto [at, host] : fixture.readmissions)
                if (at >= recovery_start - milliseconds(20)) readmitted_after.push_back(at - recovery_start);
            slow_starts += fixture.slow_starts;
        }
        auto share_within = [&](double ramp_share) {
            return double(std::count_if(readmitted_after.begin(), readmitted_after.end(),
                                        [&](Duration offset) {
                                            return double(offset.count()) <=
                                                   ramp_share * double(settings.restart_ramp.count());
                                        })) /
                   double(readmitted_after.size());
        };
        REQUIRE(readmitted_after.size() == kPoolers * 6);
        if (is_paced) {
            // The readmissions are spread evenly over the ramp, because all groups have the same load ratio
            // here.
            CHECK(share_within(0.2) < 0.3);
            CHECK(share_within(0.5) < 0.6);
            CHECK(share_within(0.5) > 0.4);
            CHECK(share_within(1.05) == 1);
            CHECK(slow_starts == kPoolers * 6);
        } else {
            CHECK(share_within(0.2) == 1);
            CHECK(slow_starts == 0);
        }
    }
}

TEST_CASE(
    "recovery: hosts are readmitted one after another within the ramp, each only after it has answered a "
    "probe") {
    Settings settings = SiteFixture::enabled();
    settings.probe_before_readmission = true;
    SiteFixture fixture(settings);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.resetting);
    fixture.run(seconds(4));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    fixture.resetting.clear();
    std::size_t readmissions_before = fixture.readmissions.size();
    fixture.run(milliseconds(1200));
    CHECK(fixture.state_of(1) == SiteState::recovering);
    fixture.run(seconds(8));
    CHECK(fixture.state_of(1) == SiteState::reachable);
    REQUIRE(fixture.readmissions.size() == readmissions_before + 6);
    Time first = fixture.readmissions[readmissions_before].first;
    Time last = fixture.readmissions.back().first;
    CHECK(last - first >= seconds(1));
    CHECK(last - first <= fixture.settings.restart_ramp + seconds(1));
    for (std::size_t i = readmissions_before; i < fixture.readmissions.size(); ++i)
        CHECK(std::any_of(fixture.probes.begin(), fixture.probes.end(), [&](auto& probe) {
            return probe.second == fixture.readmissions[i].second &&
                   probe.first <= fixture.readmissions[i].first;
        }));
}

// Guards against too many probes: 300 poolers would otherwise probe each host.
TEST_CASE(
    "recovery: by default hosts are readmitted without own probes, and the first answer triggers the next "
    "probe") {
    SiteFixture fixture(SiteFixture::enabled(), 300);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(4));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    fixture.unresponsive.clear();
    while (!fixture.manager.health().answered_since_loss(SiteId{1})) fixture.run(milliseconds(10));
    std::size_t probes_before = fixture.probes.size();
    fixture.run(milliseconds(600));  // the interval of each pooler is 5 s here
    CHECK(fixture.has_entered(1, SiteState::recovering));
    fixture.run(seconds(3));
    CHECK(fixture.state_of(1) == SiteState::reachable);
    CHECK(fixture.probes.size() <= probes_before + 3);
}

TEST_CASE("recovery: a relapse during the ramp doubles the exclusion, and a loss long afterwards does not") {
    SiteFixture fixture;
    auto exclusion_seconds = [&] {
        const SiteTransition& loss = *std::find_if(
            fixture.transitions.rbegin(), fixture.transitions.rend(),
            [](const SiteTransition& transition) { return transition.change.after == SiteState::lost; });
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
    "recovery: without probes one host at a time is readmitted for a trial, and an unconfirmed loss ends") {
    SiteFixture fixture(SiteFixture::enabled(), 1, false);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(6));
    CHECK(fixture.state_of(1) == SiteState::lost);
    CHECK(fixture.probes.empty());
    CHECK(!fixture.readmissions.empty());
    CHECK(fixture.excluded_count(1) >= 4);
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
    for (int i = 0; i < 400; ++i) {  // probes do not end, so that no evidence confirms the loss
        unconfirmed.now += milliseconds(50);
        for (const SiteAction& action : unconfirmed.manager.evaluate(unconfirmed.now))
            if (auto* transition = std::get_if<SiteTransition>(&action))
                unconfirmed.transitions.push_back(*transition);
    }
    CHECK(unconfirmed.has_entered(1, SiteState::recovering));
}

TEST_CASE("recovery: all poolers together stay within the probe rate per host") {
    Settings settings = SiteFixture::enabled();
    SiteFixture fixture(settings, 300);
    fixture.run(seconds(2));
    fixture.fail_site(1, fixture.unresponsive);
    fixture.run(seconds(2));
    REQUIRE(fixture.state_of(1) == SiteState::lost);
    std::size_t probes_before = fixture.probes.size();
    fixture.run(seconds(60));
    // Probes of each host per second, if all poolers probe alike.
    double per_host = double(fixture.probes.size() - probes_before) * 300 / 6 / 60;
    CHECK(per_host <= settings.probes_per_host_per_second * 1.2);
    CHECK(per_host >= settings.probes_per_host_per_second * 0.5);
}

}  // namespace
}  // namespace indigovane::site
