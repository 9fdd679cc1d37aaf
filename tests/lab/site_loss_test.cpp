// Tests of the loss and return of a site, in the emulator: the real core with the site controllers (src/site)
// in virtual time.
#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>

#include "support/breaches.hpp"

namespace indigovane::lab {
namespace {

using Kind = Fault::Kind;

FleetOptions zoned_fleet(unsigned poolers, std::uint64_t seed) {
    FleetOptions options = usual_fleet();
    options.poolers = poolers;
    options.zones = 3;
    options.groups = 12, options.hosts_per_group = 5;
    options.rate = 1500;
    options.seconds = 24;
    options.sessions = 3000;
    options.hosts_check_staleness = true;
    options.health_check_price = 0.02;
    options.max_client_retries = 2;
    options.seed = seed;
    return options;
}
FleetOptions with_watched_sites(FleetOptions options) {
    options.sites.emplace();
    options.sites->enabled = true;
    return options;
}
constexpr std::pair<Kind, const char*> kLosses[] = {
    {Kind::zone_vanishes, "silent"},   {Kind::zone_resets, "reset"},
    {Kind::zone_partition, "cut"},     {Kind::zone_one_way, "one-way"},
    {Kind::zone_flapping, "flapping"}, {Kind::pooler_disconnected, "own-link"}};

FleetOptions small_zoned_fleet(Kind fault_kind, std::uint64_t seed) {
    FleetOptions options = zoned_fleet(11, seed);
    options.groups = 6, options.rate = 450, options.seconds = 12, options.sessions = 900;
    options.faults = {{fault_kind, 3, 3, 1, 0.3}};
    return options;
}

// Guards against faults that only the site controllers cause: missing or duplicate answers, stale reads,
// overload of hosts in slow start, or fewer requests served than without them.
TEST_CASE("site loss: with sites watched the rules hold in every loss, and no less is served than without") {
    double served_without = 0, served_with = 0, connects_without = 0, connects_with = 0;
    for (auto [fault_kind, loss] : kLosses) {
        FleetOptions options = small_zoned_fleet(fault_kind, 5);
        FleetSummary without = run(options), with = run(with_watched_sites(options));
        CHECK_MESSAGE(rules(with) == "", loss);
        CHECK_MESSAGE(with.served_between(3, 6) > without.served_between(3, 6) - 0.02, loss);
        served_without += without.served_between(3, 6), served_with += with.served_between(3, 6);
        connects_without += double(without.connects), connects_with += double(with.connects);
    }
    CHECK(served_with > served_without);
    CHECK(connects_with < connects_without * 0.9);
}

// Guards against poolers that misjudge the health of a site when they continue after a pause.
TEST_CASE(
    "site loss: after a loss in which 34% of the poolers were paused, the rules hold and service recovers") {
    FleetOptions options = with_watched_sites(small_zoned_fleet(Kind::zone_vanishes, 6));
    options.faults.push_back({Kind::pooler_paused, 2.5, 4, 1, 0.34});
    FleetSummary summary = run(options);
    CHECK(rules(summary) == "");
    CHECK(summary.served_between(9, 12) > 0.9);
}

TEST_CASE("site loss: equal options give equal figures with sites watched") {
    FleetOptions options = with_watched_sites(small_zoned_fleet(Kind::zone_partition, 7));
    options.seconds = 6;
    CHECK(run(options).text() == run(options).text());
}

// Prints the effect of each part of the site controllers. Run it by hand with --no-skip. The environment
// variables POOLERS, SEED (the first seed), SEEDS (the number of seeds) and LOSS (a single kind of loss)
// select the runs.
TEST_CASE("site loss: table" * doctest::skip()) {
    unsigned poolers = unsigned(std::atoi(std::getenv("POOLERS") ? std::getenv("POOLERS") : "100"));
    std::uint64_t first_seed = std::uint64_t(std::atoi(std::getenv("SEED") ? std::getenv("SEED") : "11"));
    unsigned seed_count = unsigned(std::atoi(std::getenv("SEEDS") ? std::getenv("SEEDS") : "2"));
    std::printf("%-10s %-12s %8s %8s %8s %8s %8s %8s %6s\n", "loss", "parts", "in it", "after", "to 95%",
                "att/req", "probes", "conn", "falls");
    const char* only_loss = std::getenv("LOSS");
    for (auto [fault_kind, loss] : kLosses) {
        if (only_loss && std::string(only_loss) != loss) continue;
        for (const char* part :
             {"none", "all", "-hold_out", "-confirm", "-rescue", "+shed", "-budget", "-pace"}) {
            double served_in_loss = 0, served_after_loss = 0, recovery_s = 0, attempts = 0, probes = 0,
                   connects = 0;
            std::uint64_t overloads = 0;
            std::string broken_rules;
            for (unsigned i = 0; i < seed_count; ++i) {
                FleetOptions options = zoned_fleet(poolers, first_seed + i);
                std::string switched_part = part;
                if (switched_part != "none") {
                    options = with_watched_sites(options);
                    options.sites->exclude = switched_part != "-hold_out";
                    if (switched_part == "-confirm") options.sites->confirmation_probes = 0;
                    options.sites->abandon_unresponsive = switched_part != "-rescue";
                    options.sites->shed_by_plan = switched_part == "+shed";
                    options.sites->limit_retries = switched_part != "-budget";
                    options.sites->pace_recovery = switched_part != "-pace";
                }
                options.faults = {{fault_kind, 5, 6, 1, 0.3}};
                FleetSummary summary = run(options);
                served_in_loss += summary.served_between(5, 11) / seed_count;
                served_after_loss += summary.served_between(11, 18) / seed_count;
                recovery_s += summary.seconds_until(11, 0.95) / seed_count;
                double requests = double(summary.requests);
                attempts += double(summary.attempts) / requests / seed_count,
                    probes += double(summary.health_checks) / requests / seed_count;
                connects += double(summary.connects) / requests / seed_count;
                overloads += summary.overloads;
                broken_rules += rules(summary);
            }
            std::printf("%-10s %-12s %8.3f %8.3f %8.1f %8.3f %8.3f %8.3f %6llu %s\n", loss, part,
                        served_in_loss, served_after_loss, recovery_s, attempts, probes, connects,
                        static_cast<unsigned long long>(overloads), broken_rules.c_str());
            std::fflush(stdout);
        }
    }
}

}  // namespace
}  // namespace indigovane::lab
