// Loss and return of a site: the decisions alone, with made-up time. Each case names the mistake that it is
// there to catch.
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "program/site_command.hpp"
#include "program/site_config.hpp"
#include "program/toml_reader.hpp"
#include "site/site_manager.hpp"
#include "support/harness.hpp"

namespace indigovane::site {
namespace {

// Three sites of six hosts in six groups, each of whose three hosts stand in three sites; a pooler that asks
// all of them in turn.
struct SiteFixture {
    Settings settings;
    std::uint64_t drawn = 1;
    SiteManager manager;
    Time now = Time(seconds(100));
    std::set<std::uint32_t> silent, refusing;  // hosts
    std::set<HostId> out;
    std::vector<std::pair<Time, HostId>> let_in, probes;
    std::vector<SiteTransition> notes;
    std::vector<Host> hosts;
    int steps = 0, let_in_cold = 0;
    std::map<std::uint32_t, std::vector<Time>> pending;  // sent to silent hosts
    Duration gives_up = milliseconds(300);
    int every = 1;  // of the 10 ms steps that some host is asked in

    explicit SiteFixture(Settings s = enabled(), unsigned fleet = 1, bool may_probe = true)
        : settings(s), manager(s, {fleet, may_probe, classes()}, [this] { return draw(); }) {
        for (std::uint32_t i = 0; i < 18; ++i) {
            Host h;
            h.id = HostId{i}, h.site = SiteId{i % 3}, h.group = GroupId{i / 3},
            h.primary = i % 3 == i / 3 % 3;
            hosts.push_back(h);
        }
        manager.set_hosts(hosts, now);
    }
    static Settings enabled() {
        Settings s;
        s.enabled = true;
        return s;
    }
    static std::vector<Demand> classes() {
        std::vector<Demand> out(2);
        out[0].request_class = "read", out[1].request_class = "write", out[1].primary = true,
        out[1].priority_weight = 6;
        return out;
    }
    double draw() {
        drawn = drawn * 6364136223846793005u + 1442695040888963407u;
        return double(drawn >> 11) * 0x1.0p-53;
    }
    void carry(SiteActions effects) {
        for (const SiteAction& e : effects) {
            if (auto* o = std::get_if<ExcludeHost>(&e)) out.insert(o->host);
            if (auto* i = std::get_if<ReadmitHost>(&e)) {
                out.erase(i->host), let_in.push_back({now, i->host});
                let_in_cold += i->started.has_value();
            }
            if (auto* p = std::get_if<ProbeHost>(&e)) probes.push_back({now, p->host}), ask(p->host);
            if (auto* n = std::get_if<SiteTransition>(&e)) notes.push_back(*n);
        }
    }
    void ask(HostId host) {
        auto id = std::uint32_t(host);
        manager.record_sent(host, now);
        if (silent.count(id)) {
            pending[id].push_back(now);
            return;
        }
        manager.record_ended(host);
        manager.record_contact(host, refusing.count(id) ? ContactResult::reset : ContactResult::answered, now,
                               now);
    }
    // Every 10 ms some host that is in use is asked; a tick whenever one is due.
    void run(Duration length, bool traffic = true) {
        Time end = now + length;
        for (; now < end; now += milliseconds(10)) {
            for (auto& [id, sent] : pending)
                while (!sent.empty() && now - sent.front() >= gives_up) {
                    manager.record_ended(HostId{id});
                    manager.record_contact(HostId{id}, ContactResult::unanswered, sent.front(), now);
                    sent.erase(sent.begin());
                }
            auto pick = std::uint32_t(draw() * 18);
            if (traffic && steps++ % every == 0 && !out.count(HostId{pick})) ask(HostId{pick});
            if (manager.next_evaluation() && *manager.next_evaluation() <= now) carry(manager.evaluate(now));
        }
    }
    void strike(std::uint32_t site, std::set<std::uint32_t>& how) {
        for (std::uint32_t i = site; i < 18; i += 3) how.insert(i);
    }
    SiteState is(std::uint32_t site) const { return manager.health().of_site(SiteId{site}).state; }
    bool was(std::uint32_t site, SiteState s) const {
        return std::any_of(notes.begin(), notes.end(), [&](const SiteTransition& n) {
            return n.change.site == SiteId{site} && n.change.after == s;
        });
    }
    std::size_t out_of(std::uint32_t site) const {
        return std::size_t(
            std::count_if(out.begin(), out.end(), [&](HostId h) { return std::uint32_t(h) % 3 == site; }));
    }
};

TEST_CASE("verdict: a silent site is given up whole, with hosts that were never tried, and no other") {
    for (bool refuses : {false, true}) {
        SiteFixture r;
        r.run(seconds(3));
        r.strike(1, refuses ? r.refusing : r.silent);
        r.run(milliseconds(1500));
        CHECK(r.is(1) == SiteState::lost);
        CHECK(r.out_of(1) == 6);
        CHECK(r.out.size() == 6);
        CHECK(r.manager.health().of_site(SiteId{1}).restarted == refuses);
        CHECK(r.manager.health().of_site(SiteId{1}).evidence.newly_unresponsive >= 3);
    }
}

TEST_CASE("verdict: one silent host is no lost site, nor are two of six") {
    SiteFixture r;
    r.silent = {1, 4};
    r.run(seconds(20));
    CHECK(r.out.empty());
    CHECK(!r.was(1, SiteState::lost));
}

// Three requests a second over 18 hosts: by chance alone three different hosts of one site are hardly ever
// asked within `fresh`.
TEST_CASE("verdict: a pooler with little traffic asks others of a site as soon as one is silent") {
    auto found = [](unsigned confirm) {
        int n = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Settings s = SiteFixture::enabled();
            s.confirmation_probes = confirm;
            SiteFixture r(s, 300);
            r.drawn = seed * 7919, r.every = 30;
            r.run(seconds(60));  // long enough to have dealt with every host
            r.strike(1, r.silent);
            r.run(seconds(3));
            n += r.is(1) == SiteState::lost && !r.was(0, SiteState::lost) && !r.was(2, SiteState::lost);
        }
        return n;
    };
    CHECK(found(3) >= 9);
    CHECK(found(0) <= 3);
}

TEST_CASE("verdict: one silent host makes few probes, whose answers clear its site") {
    Settings s = SiteFixture::enabled();
    SiteFixture r(s, 30);
    r.every = 30;
    r.silent = {4};
    r.run(seconds(60));
    CHECK(!r.was(1, SiteState::lost));
    // All poolers together: no host more often than it may be probed.
    CHECK(r.probes.size() > 0);
    CHECK(double(r.probes.size()) * 30 / 60 <= 6 * s.probes_per_host_per_second + 3 * 30 / 60.0);
}

TEST_CASE("verdict: a site whose hosts nobody asks is not given up for its silence") {
    SiteFixture r;
    r.run(seconds(2));
    r.run(seconds(60), false);
    CHECK(r.notes.empty());
}

TEST_CASE("verdict: all silent at once is this pooler's own link, and nothing of it counts once it is back") {
    for (bool doubts : {true, false}) {
        Settings with = SiteFixture::enabled();
        with.detect_own_faults = doubts;
        SiteFixture r(with);
        r.run(seconds(2));
        for (std::uint32_t s = 0; s < 3; ++s) r.strike(s, r.silent);
        r.run(seconds(8));
        CHECK(r.manager.health().uplink_down() == doubts);
        r.silent.clear();
        r.run(seconds(3));
        // That this can fail: one that does not doubt itself first gives others up for its own silence.
        bool judged = r.was(0, SiteState::lost) || r.was(1, SiteState::lost) || r.was(2, SiteState::lost) ||
                      r.was(0, SiteState::partitioned) || r.was(1, SiteState::partitioned) ||
                      r.was(2, SiteState::partitioned);
        CHECK(judged == !doubts);
        if (!doubts) continue;
        CHECK(!r.manager.health().uplink_down());
        CHECK(r.out.empty());
        for (std::uint32_t s = 0; s < 3; ++s) CHECK(r.is(s) == SiteState::reachable);
    }
}

TEST_CASE("verdict: on the smaller side of a cut the others are cut off, not lost, and count as warm") {
    SiteFixture r;
    r.run(seconds(2));
    r.strike(1, r.silent);
    r.strike(2, r.silent);
    r.run(seconds(3));
    CHECK((r.is(1) == SiteState::partitioned || r.is(2) == SiteState::partitioned));
    CHECK(r.is(0) == SiteState::reachable);
    CHECK(r.out_of(0) == 0);
    r.silent.clear();
    r.run(seconds(6));
    CHECK(r.out.empty());
}

TEST_CASE("verdict: a pooler that was stopped judges nobody by what it did not hear") {
    for (bool doubts : {true, false}) {
        Settings with = SiteFixture::enabled();
        with.detect_own_faults = doubts;
        SiteFixture r(with);
        r.run(seconds(2));
        for (std::uint32_t i = 1; i < 18; i += 3)
            r.manager.record_sent(HostId{i}, r.now);  // out when it is stopped
        Time before = r.now;
        r.now += seconds(10);
        for (std::uint32_t i = 1; i < 18; i += 3) {  // all time-outs are found at once, before any answer
            r.manager.record_ended(HostId{i});
            r.manager.record_contact(HostId{i}, ContactResult::unanswered, before, r.now);
        }
        r.ask(HostId{0});  // and then the first answer, of another site
        r.carry(r.manager.evaluate(r.now));
        CHECK(r.out.empty() == doubts);  // that this can fail: the site is given up for the sleep
        r.run(seconds(3));
        CHECK(r.notes.empty() == doubts);
        if (doubts) CHECK(r.out.empty());
    }
}

// The sum over a fleet: how many of its poolers use a host of a site that has come back cold, and since when
// they take it for cold. That it can fail: with nothing paced all of them come at once, and know of no start.
TEST_CASE(
    "return: a cold site is come to by few of a fleet at first, by all in the end, each as to a cold one") {
    for (bool paced : {true, false}) {
        Settings s = SiteFixture::enabled();
        s.pace_recovery = paced;
        constexpr int kPoolers = 100;
        std::vector<Duration> came;
        int cold = 0;
        for (int p = 0; p < kPoolers; ++p) {
            SiteFixture r(s, kPoolers);
            r.drawn = std::uint64_t(p) * 7919 + 17;
            r.run(seconds(2));
            r.strike(1, r.refusing);
            r.run(seconds(4));
            REQUIRE(r.is(1) == SiteState::lost);
            r.refusing.clear();
            while (!r.was(1, SiteState::recovering)) r.run(milliseconds(10));
            Time back = r.now;
            r.run(s.restart_ramp + seconds(1));
            CHECK(r.out.empty());
            for (auto [at, host] : r.let_in)
                if (at >= back - milliseconds(20)) came.push_back(at - back);
            cold += r.let_in_cold;
        }
        auto within = [&](double part) {
            return double(std::count_if(came.begin(), came.end(),
                                        [&](Duration d) {
                                            return double(d.count()) <= part * double(s.restart_ramp.count());
                                        })) /
                   double(came.size());
        };
        REQUIRE(came.size() == kPoolers * 6);
        if (paced) {
            // Evenly over all of the ramp: groups are strained alike here. (Half of it was left unused then.)
            CHECK(within(0.2) < 0.3);
            CHECK(within(0.5) < 0.6);
            CHECK(within(0.5) > 0.4);
            CHECK(within(1.05) == 1);
            CHECK(cold == kPoolers * 6);
        } else {
            CHECK(within(0.2) == 1);
            CHECK(cold == 0);
        }
    }
}

TEST_CASE("return: hosts come back one after the other within the ramp, each after an answer of its own") {
    Settings s = SiteFixture::enabled();
    s.probe_before_readmission = true;
    SiteFixture r(s);
    r.run(seconds(2));
    r.strike(1, r.refusing);
    r.run(seconds(4));
    REQUIRE(r.is(1) == SiteState::lost);
    r.refusing.clear();
    std::size_t before = r.let_in.size();
    r.run(milliseconds(1200));
    CHECK(r.is(1) == SiteState::recovering);
    r.run(seconds(8));
    CHECK(r.is(1) == SiteState::reachable);
    REQUIRE(r.let_in.size() == before + 6);
    Time first = r.let_in[before].first, last = r.let_in.back().first;
    CHECK(last - first >= seconds(1));
    CHECK(last - first <= r.settings.restart_ramp + seconds(1));
    for (std::size_t i = before; i < r.let_in.size(); ++i)
        CHECK(std::any_of(r.probes.begin(), r.probes.end(), [&](auto& p) {
            return p.second == r.let_in[i].second && p.first <= r.let_in[i].first;
        }));
}

// 300 poolers times every host of the site: what the return of a site would cost the fleet.
TEST_CASE(
    "return: unless asked for, hosts come back without a probe each, and a second answer is sought at once") {
    SiteFixture r(SiteFixture::enabled(), 300);
    r.run(seconds(2));
    r.strike(1, r.silent);
    r.run(seconds(4));
    REQUIRE(r.is(1) == SiteState::lost);
    r.silent.clear();
    while (!r.manager.health().answered_since_loss(SiteId{1})) r.run(milliseconds(10));
    std::size_t before = r.probes.size();
    r.run(milliseconds(600));  // each pooler's own interval is 5 s here
    CHECK(r.was(1, SiteState::recovering));
    r.run(seconds(3));
    CHECK(r.is(1) == SiteState::reachable);
    CHECK(r.probes.size() <= before + 3);
}

TEST_CASE("return: a second fall during the ramp holds twice as long; falls are forgotten in time") {
    SiteFixture r;
    auto hold = [&] {
        const SiteTransition& n =
            *std::find_if(r.notes.rbegin(), r.notes.rend(),
                          [](const SiteTransition& x) { return x.change.after == SiteState::lost; });
        return n.exclusion_seconds;
    };
    r.run(seconds(2));
    r.strike(1, r.silent);
    r.run(seconds(3));
    CHECK(hold() == doctest::Approx(1).epsilon(0.1));
    r.silent.clear();
    while (r.is(1) != SiteState::recovering) r.run(milliseconds(50));
    r.run(milliseconds(700));
    r.strike(1, r.silent);
    r.run(seconds(5));
    REQUIRE(r.is(1) == SiteState::lost);
    CHECK(hold() == doctest::Approx(2).epsilon(0.1));
    r.silent.clear();
    r.run(seconds(90));
    CHECK(r.is(1) == SiteState::reachable);
    r.strike(1, r.silent);
    r.run(seconds(3));
    CHECK(hold() == doctest::Approx(1).epsilon(0.1));
}

TEST_CASE("return: without probes one host at a time is let in to be tried; a verdict without proof lapses") {
    SiteFixture r(SiteFixture::enabled(), 1, false);
    r.run(seconds(2));
    r.strike(1, r.silent);
    r.run(seconds(6));
    CHECK(r.is(1) == SiteState::lost);
    CHECK(r.probes.empty());
    CHECK(!r.let_in.empty());
    CHECK(r.out_of(1) >= 4);
    r.silent.clear();
    r.run(seconds(8));
    CHECK(r.is(1) == SiteState::reachable);

    SiteFixture quiet;
    quiet.run(seconds(2));
    quiet.strike(1, quiet.silent);
    quiet.run(seconds(2));
    REQUIRE(quiet.is(1) == SiteState::lost);
    for (auto& [id, sent] : quiet.pending)
        for (std::size_t i = 0; i < sent.size(); ++i) quiet.manager.record_ended(HostId{id});
    for (int i = 0; i < 400; ++i) {  // probes are never answered and never end: nothing confirms the loss
        quiet.now += milliseconds(50);
        for (const SiteAction& e : quiet.manager.evaluate(quiet.now))
            if (auto* n = std::get_if<SiteTransition>(&e)) quiet.notes.push_back(*n);
    }
    CHECK(quiet.was(1, SiteState::recovering));
}

TEST_CASE("return: all poolers together probe each host no more often than they may") {
    Settings s = SiteFixture::enabled();
    SiteFixture r(s, 300);
    r.run(seconds(2));
    r.strike(1, r.silent);
    r.run(seconds(2));
    REQUIRE(r.is(1) == SiteState::lost);
    std::size_t before = r.probes.size();
    r.run(seconds(60));
    double per_host = double(r.probes.size() - before) * 300 / 6 / 60;  // a second, if all do the same
    CHECK(per_host <= s.probes_per_host_per_second * 1.2);
    CHECK(per_host >= s.probes_per_host_per_second * 0.5);
}

TEST_CASE("the list: a start since the loss is a sign of life; a host new to a lost site stays out") {
    SiteFixture r;
    r.run(seconds(2));
    r.strike(1, r.silent);
    r.run(seconds(3));
    REQUIRE(r.is(1) == SiteState::lost);
    Host fresh;
    fresh.id = HostId{18}, fresh.site = SiteId{1}, fresh.group = GroupId{0};
    auto listed = r.hosts;
    listed.push_back(fresh);
    r.manager.set_hosts(listed, r.now);
    r.carry(r.manager.evaluate(r.now));
    CHECK(r.out.count(HostId{18}) == 1);
    for (Host& h : listed)
        if (h.site == SiteId{1}) h.started = r.now;
    r.silent.clear();
    r.manager.set_hosts(listed, r.now);
    r.carry(r.manager.evaluate(r.now));
    CHECK(r.is(1) == SiteState::recovering);
    CHECK(r.manager.health().of_site(SiteId{1}).ramp ==
          r.settings.restart_ramp);  // they are cold, and known to be
    r.run(seconds(8));
    CHECK(r.out.empty());
}

TEST_CASE("the list: one host's start during a cut makes its site no cold one") {
    SiteFixture r;
    r.run(seconds(2));
    r.strike(1, r.silent);
    r.run(seconds(3));
    REQUIRE(r.is(1) == SiteState::lost);
    auto listed = r.hosts;
    listed[4].started = r.now;
    r.manager.set_hosts(listed, r.now);
    r.silent.clear();
    r.run(seconds(2));
    REQUIRE(r.was(1, SiteState::recovering));
    CHECK(r.manager.health().of_site(SiteId{1}).ramp == r.settings.default_ramp);
}

TEST_CASE("operators: a drained site stays away whatever it answers, and comes back when they say so") {
    SiteFixture r;
    r.run(seconds(2));
    CHECK(!r.manager.drain(SiteId{9}, true, r.now));
    CHECK(!r.manager.drain(SiteId{1}, false, r.now));
    CHECK(r.manager.drain(SiteId{1}, true, r.now));
    CHECK(!r.manager.drain(SiteId{1}, true, r.now));
    r.run(seconds(30));
    CHECK(r.is(1) == SiteState::drained);
    CHECK(r.out_of(1) == 6);
    CHECK(r.manager.drain(SiteId{1}, false, r.now));
    r.run(seconds(3));
    CHECK(r.out.empty());
    CHECK(r.is(1) == SiteState::reachable);
}

TEST_CASE("budget: reads are sent again as far as they have earned it, and freely where all is well") {
    SiteFixture r;
    r.run(seconds(2));
    for (int i = 0; i < 100; ++i) CHECK(r.manager.may_retry());
    r.strike(1, r.silent);
    r.run(seconds(2));
    REQUIRE(r.is(1) == SiteState::lost);
    int allowed = 0;
    for (int i = 0; i < 100; ++i) allowed += r.manager.may_retry();
    CHECK(allowed == 20);
    for (int i = 0; i < 50; ++i) r.manager.admit({GroupId{0}, 0, "t", 0.5}, r.now);
    allowed = 0;
    for (int i = 0; i < 100; ++i) allowed += r.manager.may_retry();
    CHECK(allowed == 10);
    CHECK(r.manager.retries_denied() == 170);
}

// ---- the plan ----------------------------------------------------------------------------------

PlanInput input(double reads, double writes) {
    PlanInput in;
    for (std::uint32_t i = 0; i < 4; ++i) {  // a primary and a replica in site 0, a replica each in 1 and 2
        Host h;
        h.id = HostId{i}, h.site = SiteId{i < 2 ? 0 : i - 1}, h.group = GroupId{7};
        h.primary = i == 0, h.capacity = 5;
        in.hosts.push_back(h);
    }
    in.demand = {{GroupId{7}, "view", false, reads, 0.05, 1},
                 {GroupId{7}, "own", false, reads / 2, 0.05, 3},
                 {GroupId{7}, "book", true, writes, 0.1, 6}};
    return in;
}

TEST_CASE("plan: what the rest can carry goes there, beyond that the worth for its cost decides") {
    PlanInput in = input(100, 10);  // 7.5 of work on three replicas of five
    Plan calm = make_plan(in);
    for (const AdmittedShare& s : calm.shares) CHECK(s.admitted == 1);
    for (const HostLoad& h : calm.hosts) CHECK(h.after == doctest::Approx(h.before));
    in.lost = {SiteId{1}};
    Plan one = make_plan(in);  // 7.5 on two replicas: 8 are within the ceiling
    CHECK(one.admitted_share(GroupId{7}, "view") == 1);
    CHECK(one.hosts[1].after == doctest::Approx(3.75));
    CHECK(one.hosts[2].after == 0);
    CHECK(one.groups[GroupId{7}].moved == doctest::Approx(2.5));
    CHECK(one.groups[GroupId{7}].load_ratio == doctest::Approx(1.5));
    in.lost = {SiteId{1}, SiteId{2}};
    Plan two = make_plan(in);  // 4 of 7.5: the dearer 2.5 whole, of the other 5 the rest
    CHECK(two.admitted_share(GroupId{7}, "own") == doctest::Approx(1));
    CHECK(two.admitted_share(GroupId{7}, "view") == doctest::Approx(0.3));
    CHECK(two.shares.front().request_class == "view");
    CHECK(two.groups[GroupId{7}].shed == doctest::Approx(3.5));
    in.protected_classes = {"view"};
    CHECK(make_plan(in).admitted_share(GroupId{7}, "view") > 0.7);  // as operators say
    for (const HostLoad& h : two.hosts) CHECK(h.after <= in.max_utilization * h.capacity + 1e-9);
}

TEST_CASE("plan: a lost primary's work waits for the next, whose reads the others take; no class loses all") {
    PlanInput in = input(60, 10);
    in.lost = {SiteId{0}};
    Plan plan = make_plan(in);
    CHECK(plan.groups[GroupId{7}].primary_lost);
    CHECK(plan.admitted_share(GroupId{7}, "book") == 1);
    double reads = 0;
    for (const HostLoad& h : plan.hosts) reads += h.after;
    CHECK(reads == doctest::Approx(4 + 1));  // one replica's ceiling and the writes
    in = input(10000, 10);
    in.lost = {SiteId{1}, SiteId{2}};
    CHECK(make_plan(in).admitted_share(GroupId{7}, "view") ==
          doctest::Approx(in.min_class_share * 4 / (in.min_class_share * 750)));
    in.lost = {SiteId{0}, SiteId{1}, SiteId{2}};
    for (const AdmittedShare& s : make_plan(in).shares) CHECK(s.admitted == 0);
}

TEST_CASE("shedding: by what hosts tell of their load, and each class and tenant once in a while") {
    Settings s = SiteFixture::enabled();
    s.shed_by_plan = true;
    SiteFixture r(s);
    auto arrive = [&](std::size_t request_class, const char* tenant) {
        return r.manager.admit({GroupId{0}, request_class, tenant, r.draw()}, r.now);
    };
    for (int i = 0; i < 2000; ++i) {  // 100 reads a second of 20 ms on two replicas that are 0.7 busy
        r.now += milliseconds(10);
        CHECK(arrive(0, "t"));
        r.manager.record_latency(GroupId{0}, 0, milliseconds(20));
        for (std::uint32_t h : {0, 1, 2}) r.manager.record_utilization(HostId{h}, 0.7);
        r.ask(HostId{std::uint32_t(i) % 18});
    }
    r.strike(1, r.silent);
    r.run(seconds(2));
    REQUIRE(r.is(1) == SiteState::lost);
    int in = 0, other = 0;
    for (int i = 0; i < 1000; ++i) {
        r.now += milliseconds(10);
        in += arrive(0, "t");
        if (i % 100 == 0) other += arrive(0, "rare");
    }
    CHECK(in > 450);  // 0.8 of one replica over 1.4
    CHECK(in < 680);
    CHECK(other >= 5);  // one in two seconds at the least
    CHECK(r.manager.rejected() > 300);
}

// ---- the operator's file, and the command ------------------------------------------------------

TEST_CASE("fairness: what is let in of a class goes to tenants by their shares, and to the young first") {
    CHECK(fair_level({{10, 1}, {20, 1}}, 30) > 1e300);
    // 60 of 120: the small one has all of its 5, the others 8 and 1 parts of what that leaves.
    std::vector<WeightedDemand> demands{{5, 1}, {80, 8}, {35, 1}};
    double level = fair_level(demands, 60);
    CHECK(satisfied_share(demands[0], level) == 1);
    CHECK(satisfied_share(demands[1], level) * 80 == doctest::Approx(55 * 8 / 9.0));
    CHECK(satisfied_share(demands[2], level) * 35 == doctest::Approx(55 / 9.0));
    CHECK(split_by_timeliness(0.5, 0.25).timely == doctest::Approx(2.0 / 3));
    CHECK(split_by_timeliness(0.5, 0.25).late == 0);
    CHECK(split_by_timeliness(0.9, 0.25).timely == 1);
    CHECK(split_by_timeliness(0.9, 0.25).late == doctest::Approx(0.6));
    CHECK(split_by_timeliness(0.3, 1).late == doctest::Approx(0.3));
}

// One tenant asks nine times as often as another: by chance alone both would be cut alike.
TEST_CASE("shedding: a tenant within its share is let in, the one beyond pays; repeats go first") {
    for (bool fair : {true, false}) {
        Settings s = SiteFixture::enabled();
        s.tenant_fairness = s.shed_late_first = fair;
        s.starvation_interval = seconds(60);
        TenantAdmission a;
        Time now(seconds(100));
        int small = 0, large = 0, again = 0;
        for (int i = 0; i < 4000; ++i, now += milliseconds(10)) {
            std::string who = i % 10 == 0 ? "small" : "large";
            bool old = i % 10 == 1;  // a ninth of the large one's
            a.record_arrival(who, old, s, now);
            if (i < 2000) continue;
            bool in = double(i * 7919 % 1000) / 1000 < a.admitted_share(who, old, 0.5, s, now);
            (who == "small" ? small : old ? again : large) += in;
        }
        if (fair) {
            CHECK(small == 200);
            CHECK(again == 0);
            CHECK(large == doctest::Approx(800).epsilon(0.05));
        } else {
            CHECK(small == doctest::Approx(100).epsilon(0.15));
            CHECK(again == doctest::Approx(100).epsilon(0.15));
        }
    }
    // No more is kept of tenants than it may be, and those beyond are let in like any.
    TenantAdmission many;
    Settings s = SiteFixture::enabled();
    for (int i = 0; i < 5000; ++i) many.record_arrival("t" + std::to_string(i), false, s, Time(seconds(1)));
    CHECK(many.admitted_share("t4999", false, 0.5, s, Time(seconds(1))) < 0.5);
    CHECK(many.tenants() <= TenantAdmission::kMaxTenants + 1);
}

TEST_CASE("site plan: the file is checked, the plan says what would be refused, mistakes are named") {
    testing::Folder folder;
    std::string settings = folder.path + "/config.json", sites = folder.path + "/sites.toml";
    std::ofstream(settings) << R"({"name":"p","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",
"known":{"rev":1,"all":true,"targets":[
{"uid":"h0","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"recovery":"off"},
{"uid":"h1","endpoint":"127.0.0.1:2","az":"b","pod_group":3,"recovery":"on"},
{"uid":"h2","endpoint":"127.0.0.1:3","az":"c","pod_group":3,"recovery":"on"}]},
"settings":{"azs":["a","b","c"],"familyInfo":{"consistency":["recent","update"],"oldestDataMs":[300,0]},
"classes":[{"name":"view","effect":"retryable","sloMs":500,"hardLimitMs":1000,"worth":1},
{"name":"book","effect":"fragile","sloMs":500,"hardLimitMs":1000,"worth":4}]}})";
    const char* good =
        "[sites]\nlast = [\"book\"]\n[plan]\ncores = 5\n[[demand]]\nclass = \"view\"\nper_second = 80\n"
        "work = \"100ms\"\n[[demand]]\nclass = \"book\"\ngroup = 3\nper_second = 5\nwork = \"100ms\"\n";
    auto call = [&](std::vector<std::string> more, std::string& text) {
        std::vector<std::string> all{"plan", "--settings", settings, "--sites", sites};
        all.insert(all.end(), more.begin(), more.end());
        std::ostringstream out, err;
        int status = program::site(all, out, err);
        text = out.str() + err.str();
        return status;
    };
    std::ofstream(sites) << good;
    std::string text;
    std::ofstream(sites)
        << "[sites]\nceiling = \"20%\"\nshares = { quay = 3 }\n[[demand]]\nclass = \"view\"\n"
           "tenants = { harbour = 60, quay = 20 }\nwork = \"100ms\"\n";
    CHECK(call({"--lose", "b"}, text) == 0);
    CHECK(text.find("tenant quay") < text.find("\nhost "));
    std::ofstream(sites) << good;
    CHECK(call({"--lose", "b"}, text) == 0);
    CHECK(text.find("view                     3   50.0%") != std::string::npos);  // 4 of 8
    CHECK(call({"--lose", "b", "--json"}, text) == 0);
    auto json = nlohmann::json::parse(text);
    CHECK(json["hosts"][2]["after"] == 4);
    CHECK(json["refused"][0]["class"] == "view");
    CHECK(call({}, text) == 2);
    CHECK_THROWS_AS(call({"--lose", "nowhere"}, text), program::FileError);
    const std::pair<const char*, const char*> bad[] = {
        {"", "[sites] is missing"},
        {"[sites]\nquiet = 400\n", "a number without a unit"},
        {"[sites]\nqiet = \"400ms\"\n", "did you mean 'quiet'"},
        {"[sites]\nquiet = \"3s\"\n", "shorter than 'fresh'"},
        {"[sites]\nceiling = \"0%\"\n", "above 0%"},
        {"[sites]\n[[demand]]\nclass = \"view\"\n", "needs 'per_second'"}};
    for (auto [text, says] : bad) {
        std::string said;
        try {
            program::parse_site_config(text, "f");
        } catch (const program::FileError& e) {
            said = e.what();
        }
        CHECK_MESSAGE(said.find(says) != std::string::npos, said);
    }
    std::ofstream(sites) << "[sites]\n[[demand]]\nclass = \"none\"\nper_second = 1\nwork = \"1ms\"\n";
    CHECK_THROWS_AS(call({"--lose", "b"}, text), program::FileError);
}

}  // namespace
}  // namespace indigovane::site
