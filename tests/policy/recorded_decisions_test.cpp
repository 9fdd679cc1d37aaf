// Characterization: the decisions of ten recorded runs, over the settings of two deployments, with faults,
// restarts and changed settings, are the same as when they were recorded.
//
// To see the first difference between two versions, run this test in both with DECISIONS_DUMP=DIR and compare
// the files that it leaves there, one a run. DECISIONS_RECORD=FILE writes the hashes anew.
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "support/decision_recording.hpp"

namespace indigovane::testing {
namespace {

using policy::ClassSettings;
using policy::Consistency;
using policy::DeduplicationScope;
using policy::Duration;
using policy::Idempotency;
using policy::Settings;

ClassSettings make_class(Consistency consistency, Idempotency idempotency, Duration latency_objective,
                         Duration deadline, double priority_weight) {
    ClassSettings settings;
    settings.consistency = consistency;
    settings.idempotency = idempotency;
    settings.latency_objective = latency_objective;
    settings.deadline = deadline;
    settings.priority_weight = priority_weight;
    settings.late_share = consistency == Consistency::write ? 0.3 : 0;
    settings.deduplication_scope = DeduplicationScope::all;
    settings.deduplication_window = 1s;
    return settings;
}

// Lists are pushed, hosts do not check reads, tokens are remembered, probes are free.
Settings laundry_settings() {
    Settings settings;
    settings.classes = {make_class(Consistency::bounded, Idempotency::idempotent, 250ms, 1s, 1),
                        make_class(Consistency::session, Idempotency::idempotent, 200ms, 600ms, 3),
                        make_class(Consistency::write, Idempotency::idempotency_key, 600ms, 2s, 6),
                        make_class(Consistency::write, Idempotency::not_idempotent, 600ms, 2s, 6),
                        make_class(Consistency::any, Idempotency::idempotent, 250ms, 1s, 1),
                        make_class(Consistency::fresh, Idempotency::idempotent, 400ms, 1s, 2)};
    settings.classes[0].bound = 3s;
    settings.classes[3].deduplication_scope = DeduplicationScope::zone;
    settings.fleet_size = 30;
    settings.endpoint_list_mode = policy::EndpointListMode::pushed;
    settings.removal_binds = true;
    settings.probes = true;
    settings.cancels = true;
    settings.hedging = false;
    settings.retry_after = true;
    settings.max_retry_after = 200ms;
    settings.attempts = 4;
    settings.tokens = policy::TokenSource::remembered;
    settings.staleness_check = policy::StalenessCheck::none;
    settings.slow_start_share = 0.2;
    settings.ramp = 17s;
    settings.overload_multiple = 2.5;
    settings.overload_window = 2s;
    return settings;
}

// Lists are asked for, hosts check reads, clients carry their tokens, probes have a price.
Settings charging_settings() {
    Settings settings;
    settings.classes = {make_class(Consistency::bounded, Idempotency::idempotent, 600ms, 2s, 1),
                        make_class(Consistency::session, Idempotency::idempotent, 500ms, 1200ms, 1),
                        make_class(Consistency::session, Idempotency::not_idempotent, 500ms, 1200ms, 1),
                        make_class(Consistency::fresh, Idempotency::idempotent, 600ms, 2s, 1),
                        make_class(Consistency::write, Idempotency::idempotency_key, 1500ms, 5s, 4)};
    settings.classes[0].bound = 300ms;
    settings.classes[4].deduplication_window = 400ms;
    settings.fleet_size = 300;
    settings.endpoint_list_mode = policy::EndpointListMode::polled;
    settings.removal_binds = false;
    settings.probes = true;
    settings.cancels = false;
    settings.hedging = true;
    settings.retry_after = false;
    settings.attempts = 6;
    settings.tokens = policy::TokenSource::carried;
    settings.staleness_check = policy::StalenessCheck::wait;
    settings.slow_start_share = 0.18;
    settings.ramp = 16s;
    settings.overload_multiple = 2;
    settings.overload_window = 1500ms;
    settings.health_check_price = 0.02;
    return settings;
}

std::vector<RecordingOptions> recorded_runs() {
    std::vector<RecordingOptions> runs;
    for (bool charging : {false, true}) {
        std::string prefix = charging ? "charging" : "laundry";
        RecordingOptions calm;
        calm.name = prefix + "-calm";
        calm.settings = charging ? charging_settings() : laundry_settings();
        calm.later = charging ? laundry_settings() : charging_settings();
        calm.seed = charging ? 21 : 11;
        RecordingOptions faults = calm;
        faults.name = prefix + "-faults";
        faults.seed += 1;
        faults.fault_one_in = 5;
        faults.clients_leave = true;
        RecordingOptions restarts = faults;
        restarts.name = prefix + "-restarts";
        restarts.seed += 1;
        restarts.fault_one_in = 15;
        restarts.restart_one_in = 2;
        RecordingOptions lag = restarts;
        lag.name = prefix + "-lag-and-failing-lists";
        lag.seed += 1;
        lag.hosts_lag = lag.lists_fail = lag.gossip = true;
        lag.restart_one_in = 5;
        RecordingOptions settings = lag;
        settings.name = prefix + "-changed-settings";
        settings.seed += 1;
        settings.changes_settings = true;
        settings.lists_fail = false;
        runs.insert(runs.end(), {calm, faults, restarts, lag, settings});
    }
    return runs;
}

std::map<std::string, std::vector<std::string>> read_hashes() {
    std::map<std::string, std::vector<std::string>> hashes;
    std::ifstream file(RECORDED_DECISIONS);
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line[0] == '#') continue;
        std::istringstream columns(line);
        std::string name;
        columns >> name;
        for (std::string hash; columns >> hash;) hashes[name].push_back(hash);
    }
    return hashes;
}

std::string hex(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016" PRIx64, value);
    return text;
}

TEST_CASE("recorded decisions: ten runs give the recorded actions, event by event") {
    const char* dump = std::getenv("DECISIONS_DUMP");
    const char* record = std::getenv("DECISIONS_RECORD");
    auto expected = read_hashes();
    std::vector<RecordingOptions> runs = recorded_runs();
    CHECK(runs.size() == 10);
    for (const RecordingOptions& options : runs) {
        CAPTURE(options.name);
        DecisionRecording recording(options);
        recording.run();
        std::vector<std::string> hashes;
        for (std::uint64_t hash : recording.hashes) hashes.push_back(hex(hash));
        if (dump) std::ofstream(std::string(dump) + "/" + options.name + ".txt") << recording.text;
        if (record) {
            std::ofstream file(record, std::ios::app);
            file << options.name;
            for (const std::string& hash : hashes) file << ' ' << hash;
            file << '\n';
        }
        CHECK(hashes.size() == options.events / DecisionRecording::kEventsPerHash);
        const std::vector<std::string>& recorded = expected[options.name];
        auto [first, unused] = std::mismatch(hashes.begin(), hashes.end(), recorded.begin(), recorded.end());
        std::size_t same = std::size_t(first - hashes.begin());
        CHECK_MESSAGE(hashes == recorded, "the first difference lies within events "
                                              << same * DecisionRecording::kEventsPerHash << " to "
                                              << (same + 1) * DecisionRecording::kEventsPerHash);
    }
}

}  // namespace
}  // namespace indigovane::testing
