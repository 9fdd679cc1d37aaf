// Characterization test: ten runs with the settings of two deployments, with faults, restarts and
// changed settings, must lead to the same actions as when they were recorded. It guards against changes
// of behaviour by refactoring.
//
// To find the first difference between two versions, run this test in both with DECISIONS_DUMP=DIR and
// compare the files that it writes there, one per run. DECISIONS_RECORD=FILE records new hashes.
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "support/decision_recordings.hpp"

namespace indigovane::testing {
namespace {

using recordings::recorded_runs;

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
        auto [first_difference, unused] =
            std::mismatch(hashes.begin(), hashes.end(), recorded.begin(), recorded.end());
        std::size_t equal_hashes = std::size_t(first_difference - hashes.begin());
        CHECK_MESSAGE(hashes == recorded, "the first difference lies within events "
                                              << equal_hashes * DecisionRecording::kEventsPerHash << " to "
                                              << (equal_hashes + 1) * DecisionRecording::kEventsPerHash);
    }
}

}  // namespace
}  // namespace indigovane::testing
