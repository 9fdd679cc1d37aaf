// Characterization tests: emulated fleets (the real core with the routing policy and the site controllers)
// and simulated lease holders, in virtual time, give exactly the recorded figures.
//
// RUNS_RECORD=FILE appends new recorded lines to the file. RUNS_DUMP=DIR writes the full text of each run
// there.
#include <doctest/doctest.h>

#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>

#include "lab/fleet.hpp"
#include "lab/quorum_simulation.hpp"

namespace indigovane::lab {
namespace {

struct RecordedRun {
    std::string name;
    // Performs the run and returns all its figures.
    std::function<std::string()> text;
};

FleetOptions small_fleet(FleetOptions options, std::uint64_t seed) {
    options.seconds = 4;
    options.rate = 150;
    options.seed = seed;
    options.max_client_retries = 1;
    return options;
}

FleetOptions zoned_fleet(FleetOptions options, std::uint64_t seed) {
    options = small_fleet(options, seed);
    options.seconds = 9;
    options.poolers = 9;
    options.zones = 3;
    options.groups = 6;
    options.hosts_per_group = 5;
    options.hosts_check_staleness = true;
    options.sites.emplace();
    options.sites->enabled = true;
    return options;
}

RecordedRun fleet_run(std::string name, FleetOptions options) {
    return {std::move(name), [options] { return run(options).text(); }};
}

std::vector<RecordedRun> fleet_runs() {
    using Kind = Fault::Kind;
    std::vector<RecordedRun> runs;
    const std::pair<Kind, const char*> host_faults[] = {{Kind::surge, "surge"},
                                                        {Kind::replication_lag, "lag"},
                                                        {Kind::crash, "kill"},
                                                        {Kind::drain, "drain"},
                                                        {Kind::slow_hosts, "slow-hosts"},
                                                        {Kind::restart_poolers, "restart"},
                                                        {Kind::discovery_outage, "no-discovery"},
                                                        {Kind::hot_client, "hot-client"}};
    for (auto [fault_kind, name] : host_faults) {
        FleetOptions laundry = small_fleet(usual_fleet(), 31);
        laundry.faults = {{fault_kind, 1, 2, 2, 0.5}};
        runs.push_back(fleet_run(std::string("laundry-") + name, laundry));
        FleetOptions station = small_fleet(station_fleet(), 32);
        station.faults = laundry.faults;
        runs.push_back(fleet_run(std::string("charging-") + name, station));
    }
    const std::pair<Kind, const char*> zone_faults[] = {
        {Kind::zone_vanishes, "zone-silent"}, {Kind::zone_resets, "zone-reset"},
        {Kind::zone_partition, "zone-cut"},   {Kind::zone_one_way, "zone-one-way"},
        {Kind::zone_flapping, "zone-flap"},   {Kind::pooler_disconnected, "own-link"},
        {Kind::pooler_paused, "stall"}};
    for (auto [fault_kind, name] : zone_faults) {
        FleetOptions laundry = zoned_fleet(usual_fleet(), 33);
        laundry.faults = {{fault_kind, 2, 3, 1, 0.3}};
        runs.push_back(fleet_run(std::string("laundry-") + name, laundry));
    }
    return runs;
}

std::vector<RecordedRun> lease_runs() {
    std::vector<RecordedRun> runs;
    for (bool is_persistent : {true, false}) {
        QuorumOptions options;
        options.duration_s = 40;
        options.loss_share = 0.1;
        options.duplication_share = 0.05;
        options.late_share = 0.01;
        options.crash_interval_s = 4;
        options.pause_interval_s = 5;
        options.persistent = is_persistent;
        options.seed = is_persistent ? 34 : 35;
        runs.push_back({is_persistent ? "leases-on-disk" : "leases-in-memory",
                        [options] { return run(options).text(); }});
    }
    return runs;
}

// Returns the FNV-1a hash of the text and its first line.
std::string summarize(const std::string& text) {
    std::uint64_t hash = 0xcbf29ce484222325;
    for (unsigned char byte : text) hash = (hash ^ byte) * 0x100000001b3;
    char hex[17];
    std::snprintf(hex, sizeof hex, "%016" PRIx64, hash);
    return std::string(hex) + " " + text.substr(0, text.find('\n'));
}

std::map<std::string, std::string> read_recorded() {
    std::map<std::string, std::string> recorded;
    std::ifstream file(RECORDED_RUNS);
    for (std::string line; std::getline(file, line);)
        if (!line.empty() && line[0] != '#')
            recorded[line.substr(0, line.find(' '))] = line.substr(line.find(' ') + 1);
    return recorded;
}

void check_recorded(const std::vector<RecordedRun>& runs) {
    const char* record = std::getenv("RUNS_RECORD");
    const char* dump = std::getenv("RUNS_DUMP");
    auto recorded = read_recorded();
    for (const RecordedRun& run : runs) {
        CAPTURE(run.name);
        std::string text = run.text();
        std::string summary = summarize(text);
        if (record) std::ofstream(record, std::ios::app) << run.name << ' ' << summary << '\n';
        if (dump) std::ofstream(std::string(dump) + "/" + run.name + ".txt") << text;
        CHECK(summary == recorded[run.name]);
    }
}

TEST_CASE("recorded runs: emulated fleets give the recorded figures") {
    CHECK(fleet_runs().size() == 23);
    check_recorded(fleet_runs());
}

TEST_CASE("recorded runs: emulated lease holders give the recorded figures") {
    CHECK(lease_runs().size() == 2);
    check_recorded(lease_runs());
}

}  // namespace
}  // namespace indigovane::lab
