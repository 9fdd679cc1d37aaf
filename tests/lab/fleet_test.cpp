// The emulator: the real core in virtual time. Determinism, order at one instant, queueing theory, planted
// defects, and that the pooler keeps its rules through faults.
#include <doctest/doctest.h>

#include "lab/random.hpp"
#include "support/breaches.hpp"

namespace indigovane::lab {
namespace {

using namespace std::chrono_literals;

FleetOptions small(std::uint64_t seed = 1) {
    FleetOptions o = usual_fleet();
    o.seconds = 8;
    o.rate = 120;
    o.seed = seed;
    return o;
}

TEST_CASE("streams: a part's numbers do not hang on another's, and are evenly spread") {
    Stream a(1, 1), b(1, 2), again(1, 1);
    for (int i = 0; i < 1000; ++i) {
        std::uint64_t x = a.next();
        CHECK(x == again.next());
        CHECK(x != b.next());
    }
    double sum = 0;
    for (int i = 0; i < 100000; ++i) sum += b.exponential(5);
    CHECK(sum / 100000 == doctest::Approx(5).epsilon(0.02));
}

TEST_CASE("the timeline: by time, then rank, then as they were set") {
    Timeline t;
    std::string order;
    t.at(Time(2s), Rank::batch, [&] { order += 'd'; });
    t.at(Time(2s), Rank::world, [&] { order += 'b'; });
    t.at(Time(1s), Rank::timer, [&] {
        order += 'a';
        t.at(Time(1s), Rank::world,
             [&] { order += '!'; });  // in the past of its instant: still at that instant
    });
    t.at(Time(2s), Rank::world, [&] { order += 'c'; });
    CHECK(t.run(Time(10s)));
    CHECK(order == "a!bcd");
    CHECK(t.now() == Time(10s));
    std::function<void()> forever = [&] { t.after(0us, Rank::world, forever); };
    forever();
    CHECK_FALSE(t.run(Time(11s), 1000));  // it says so, and ends
}

TEST_CASE("the same options give the same figures, to the byte, and another seed gives others") {
    for (auto kind : {Fault::Kind::surge, Fault::Kind::replication_lag, Fault::Kind::crash,
                      Fault::Kind::drain, Fault::Kind::slow_hosts, Fault::Kind::restart_poolers}) {
        FleetOptions o = small();
        o.seconds = 3;
        o.faults = {{kind, 1, 2, 2, 0.5}};
        std::string first = run(o).text();
        CHECK(run(o).text() == first);
        o.seed = 2;
        CHECK(run(o).text() != first);
    }
}

// Nothing may hang on which of two like things at one instant comes first.
TEST_CASE("events at one instant in any order: the rules hold, and the service is the same but for chance") {
    FleetOptions o = small();
    double plain = run(o).goodput();
    for (std::uint64_t permutation : {1, 2, 3}) {
        o.permutation = permutation;
        FleetSummary s = run(o);
        CHECK(rules(s) == "");
        CHECK(s.goodput() == doctest::Approx(plain).epsilon(0.02));
    }
}

TEST_CASE("the rules hold on a calm day and through each trouble") {
    for (std::uint64_t seed : {1, 2}) {
        CHECK(rules(run(small(seed))) == "");
        for (auto kind : {Fault::Kind::surge, Fault::Kind::replication_lag, Fault::Kind::crash,
                          Fault::Kind::drain, Fault::Kind::slow_hosts, Fault::Kind::restart_poolers}) {
            FleetOptions o = small(seed);
            o.seconds = 6;
            o.retries = 2;
            o.faults = {{kind, 2, 3, kind == Fault::Kind::replication_lag ? 5.0 : 2.5, 0.5}};
            FleetSummary s = run(o);
            CHECK_MESSAGE(rules(s) == "", int(kind));
            CHECK(s.checks > 500);
        }
    }
}

TEST_CASE("each planted defect is caught by the auditor, by its rule") {
    using D = FleetOptions::Defect;
    auto with = [](D defect) {
        FleetOptions o = small();
        o.defect = defect;
        o.seconds = 6;
        o.faults = {{Fault::Kind::drain, 1, 5, 1, 0.7}};
        return rules(run(o));
    };
    CHECK(with(D::none) == "");
    CHECK(with(D::duplicate_attempt).find("copies") != std::string::npos);
    CHECK(with(D::send_after_drain).find("drain") != std::string::npos);
    CHECK(with(D::stale_read).find("stale") != std::string::npos);
    CHECK(with(D::lost_answer).find("answer") != std::string::npos);
    CHECK(with(D::overloaded_slow_start).find("cold") != std::string::npos);
}

TEST_CASE("a scenario that overloads for ever ends, within its memory, and says so") {
    FleetOptions o = small();
    o.rate = 2000;
    o.retries = 3;
    o.max_events = 200000;
    FleetSummary s = run(o);
    CHECK(s.cut_short);
    CHECK(s.goodput() < 0.9);
}

TEST_CASE("a fleet: fifty poolers before a hundred and twenty hosts keep the rules through a release") {
    FleetOptions o = usual_fleet();
    o.poolers = 50, o.groups = 30, o.hosts_per_group = 4;
    o.rate = 1500, o.seconds = 3, o.sessions = 5000;
    o.faults = {{Fault::Kind::restart_poolers, 1.5, 0, 1, 0.8}};
    FleetSummary s = run(o);
    CHECK(rules(s) == "");
    CHECK(s.requests > 3000);
    CHECK(s.goodput() > 0.8);
}

// Sixty hosts and the same traffic before ever more poolers: a third of the hosts goes and comes back cold.
FleetOptions large(unsigned poolers) {
    FleetOptions o = usual_fleet();
    o.poolers = poolers, o.groups = 12, o.hosts_per_group = 5;
    o.rate = 1400, o.seconds = 4, o.sessions = 5000;
    o.health_check_price = 0.08, o.hosts_check_staleness = true;
    o.faults = {{Fault::Kind::crash, 1, 2, 1, 0.33}};
    return o;
}

void costs(std::initializer_list<unsigned> fleets) {
    for (unsigned poolers : fleets) {
        FleetSummary s = run(large(poolers));
        double probes = double(s.health_checks) / double(s.requests),
               connects = double(s.connects) / double(s.requests);
        MESSAGE(poolers, " poolers: probes a request ", probes, ", connections ", connects,
                ", worth in time ", s.goodput());
        CHECK(rules(s) == "");
        // 0.19 a request by its price, and ten that each pooler starts with.
        CHECK(probes < 0.2 + 10.0 * poolers / double(s.requests));
        // Each pooler to each host, and what its requests in hand at once need; the third that went, anew.
        CHECK(connects < 0.3 + 2.0 * 60 * poolers / double(s.requests));
    }
}

TEST_CASE("large fleet: probes and connections a request do not grow with the poolers beyond a host each") {
    costs({3, 30});
}
// Minutes under the sanitizers: by hand, with --no-skip.
TEST_CASE("large fleet: the same with 10, 100 and 200 poolers" * doctest::skip()) {
    costs({10, 100, 200});
}

TEST_CASE(
    "large fleet: rules hold through a mass kill, a lost third that returns cold, and six in ten replaced") {
    for (auto trouble : {Fault{Fault::Kind::restart_poolers, 1, 0, 1, 0.7},
                         Fault{Fault::Kind::crash, 1, 2, 1, 0.33}, Fault{Fault::Kind::crash, 1, 2, 1, 0.6}}) {
        FleetOptions o = large(60);
        o.faults = {trouble, {Fault::Kind::slow_hosts, 1, 3, 8, 0.1}};
        FleetSummary s = run(o);
        CHECK(rules(s) == "");
        CHECK(s.goodput() > 0.4);
    }
}

// The second deployment: lists asked of one service, hosts that tell of no lag, drains of 1 s, cold hosts
// that fall at twice what they can do within 1.5 s.
FleetOptions station(std::uint64_t seed = 1) {
    FleetOptions o = station_fleet();
    o.seconds = 4;
    o.retries = 2;
    o.seed = seed;
    return o;
}

TEST_CASE("stations: the rules hold on a calm day and through each trouble, and two at once") {
    using K = Fault::Kind;
    CHECK(rules(run(station())) == "");
    for (auto kind : {K::surge, K::replication_lag, K::crash, K::drain, K::slow_hosts, K::restart_poolers,
                      K::discovery_outage, K::hot_client}) {
        FleetOptions o = station();
        o.faults = {{kind, 1, 2, kind == K::hot_client ? 0.3 : kind == K::slow_hosts ? 6.0 : 1.6, 0.25}};
        FleetSummary s = run(o);
        CHECK_MESSAGE(rules(s) == "", int(kind));
        CHECK(s.goodput() > 0.5);
    }
    for (auto kind : {K::drain, K::restart_poolers}) {
        FleetOptions o = station();
        o.faults = {{K::discovery_outage, 0.5, 3, 1, 1}, {kind, 1, 2, 1, 0.25}};
        CHECK_MESSAGE(rules(run(o)) == "", int(kind));
    }
}

// A pooler that asks again before its turn jams the one service for all.
TEST_CASE("stations: forty poolers before a list service of three calls a second all hear of a drain") {
    FleetOptions o = station();
    o.poolers = 40, o.seconds = 18, o.rate = 40;
    o.faults = {{Fault::Kind::drain, 15, 3, 1, 0.25}};
    FleetSummary s = run(o);
    CHECK(rules(s) == "");
    CHECK(s.goodput() > 0.8);
}

// Reads crowd out the log until no bounded read may go anywhere, at a load that the cores could carry.
TEST_CASE("stations: replicas that apply the log beside their reads stay current under load") {
    double sum = 0;
    for (std::uint64_t seed : {1, 2}) {
        FleetOptions o = station(seed);
        o.rate = 460, o.seconds = 6;
        FleetSummary s = run(o);
        CHECK(rules(s) == "");
        sum += s.goodput() / 2;
    }
    CHECK(sum > 0.91);  // 0.94; 0.88 where windows follow answer times alone
}

}  // namespace
}  // namespace indigovane::lab
