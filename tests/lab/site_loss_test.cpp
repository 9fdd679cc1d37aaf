// Loss and return of a site in the emulator: the real core with src/site, in virtual time.
#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>

#include "support/breaches.hpp"

namespace indigovane::lab {
namespace {

using K = Fault::Kind;

FleetOptions zoned(unsigned poolers, std::uint64_t seed) {
    FleetOptions o = usual_fleet();
    o.poolers = poolers;
    o.zones = 3;
    o.groups = 12, o.hosts_per_group = 5;
    o.rate = 1500;
    o.seconds = 24;
    o.sessions = 3000;
    o.hosts_check_staleness = true;
    o.health_check_price = 0.02;
    o.retries = 2;
    o.seed = seed;
    return o;
}
FleetOptions watched(FleetOptions o) {
    o.sites.emplace();
    o.sites->enabled = true;
    return o;
}
constexpr std::pair<K, const char*> kLosses[] = {
    {K::zone_vanishes, "silent"}, {K::zone_resets, "reset"},      {K::zone_partition, "cut"},
    {K::zone_one_way, "one-way"}, {K::zone_flapping, "flapping"}, {K::pooler_disconnected, "own-link"}};

FleetOptions little(K kind, std::uint64_t seed) {
    FleetOptions o = zoned(11, seed);
    o.groups = 6, o.rate = 450, o.seconds = 12, o.sessions = 900;
    o.faults = {{kind, 3, 3, 1, 0.3}};
    return o;
}

// SiteHealthTracker may not bring about what the module would not: an answer too few or too many, a stale
// read, a cold host pushed over. And no pooler may do worse for having judged.
TEST_CASE("site loss: the rules hold in every loss with sites watched, and no more is lost than without") {
    double off = 0, on = 0, connects_off = 0, connects_on = 0;
    for (auto [kind, loss] : kLosses) {
        FleetOptions o = little(kind, 5);
        FleetSummary without = run(o), with = run(watched(o));
        CHECK_MESSAGE(rules(with) == "", loss);
        CHECK_MESSAGE(with.served_between(3, 6) > without.served_between(3, 6) - 0.02, loss);
        off += without.served_between(3, 6), on += with.served_between(3, 6);
        connects_off += double(without.connects), connects_on += double(with.connects);
    }
    CHECK(on > off);
    CHECK(connects_on < connects_off * 0.9);
}

TEST_CASE("site loss: a third of the poolers stand still through it, and wake to judge nobody wrongly") {
    FleetOptions o = watched(little(K::zone_vanishes, 6));
    o.faults.push_back({K::pooler_paused, 2.5, 4, 1, 0.34});
    FleetSummary s = run(o);
    CHECK(rules(s) == "");
    CHECK(s.served_between(9, 12) > 0.9);
}

TEST_CASE("site loss: equal options give equal figures with sites watched") {
    FleetOptions o = watched(little(K::zone_partition, 7));
    o.seconds = 6;
    CHECK(run(o).text() == run(o).text());
}

// What each part is worth: by hand, with --no-skip. POOLERS, SEED (the first), SEEDS (how many) and LOSS (one
// of them alone) in the environment.
TEST_CASE("site loss: table" * doctest::skip()) {
    unsigned poolers = unsigned(std::atoi(std::getenv("POOLERS") ? std::getenv("POOLERS") : "100"));
    std::uint64_t first = std::uint64_t(std::atoi(std::getenv("SEED") ? std::getenv("SEED") : "11"));
    unsigned seeds = unsigned(std::atoi(std::getenv("SEEDS") ? std::getenv("SEEDS") : "2"));
    std::printf("%-10s %-12s %8s %8s %8s %8s %8s %8s %6s\n", "loss", "parts", "in it", "after", "to 95%",
                "att/req", "probes", "conn", "falls");
    const char* only = std::getenv("LOSS");
    for (auto [kind, loss] : kLosses) {
        if (only && std::string(only) != loss) continue;
        for (const char* off :
             {"none", "all", "-hold_out", "-confirm", "-rescue", "+shed", "-budget", "-pace"}) {
            double in = 0, after = 0, until = 0, attempts = 0, probes = 0, connects = 0;
            std::uint64_t falls = 0;
            std::string broken;
            for (unsigned i = 0; i < seeds; ++i) {
                FleetOptions o = zoned(poolers, first + i);
                std::string part = off;
                if (part != "none") {
                    o = watched(o);
                    o.sites->exclude = part != "-hold_out";
                    if (part == "-confirm") o.sites->confirmation_probes = 0;
                    o.sites->abandon_unresponsive = part != "-rescue";
                    o.sites->shed_by_plan = part == "+shed";
                    o.sites->limit_retries = part != "-budget";
                    o.sites->pace_recovery = part != "-pace";
                }
                o.faults = {{kind, 5, 6, 1, 0.3}};
                FleetSummary s = run(o);
                in += s.served_between(5, 11) / seeds;
                after += s.served_between(11, 18) / seeds;
                until += s.seconds_until(11, 0.95) / seeds;
                double n = double(s.requests);
                attempts += double(s.attempts) / n / seeds, probes += double(s.health_checks) / n / seeds;
                connects += double(s.connects) / n / seeds;
                falls += s.overloads;
                broken += rules(s);
            }
            std::printf("%-10s %-12s %8.3f %8.3f %8.1f %8.3f %8.3f %8.3f %6llu %s\n", loss, off, in, after,
                        until, attempts, probes, connects, static_cast<unsigned long long>(falls),
                        broken.c_str());
            std::fflush(stdout);
        }
    }
}

}  // namespace
}  // namespace indigovane::lab
