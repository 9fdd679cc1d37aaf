// Guards against any change of the log's bytes on disk or of recovery's findings. Seeded histories with
// failing disks, power loss, flipped bits, salvage and compaction must produce exactly the files and findings
// that were recorded in tests/corpus/recorded_logs.txt, which holds a running hash after every
// kHistoriesPerHash histories.
#include <doctest/doctest.h>

#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "support/store_harness.hpp"

namespace indigovane::store {
namespace {

constexpr std::uint64_t kHistories = 200;
constexpr std::uint64_t kHistoriesPerHash = 50;

class LogRecording {
  public:
    std::uint64_t hash() const { return hash_; }

    void run(std::uint64_t seed) {
        std::mt19937_64 random(seed);
        RandomHistory history(seed % 2 ? 1 + random() % 800 : 0, seed);
        if (seed % 3 == 0) {
            auto fault_random = std::make_shared<std::mt19937_64>(seed);
            history.disk.inject_error = [fault_random](FaultEnvironment::Step, const std::string&) {
                return (*fault_random)() % 23 == 0 ? ((*fault_random)() % 2 ? ENOSPC : EIO) : 0;
            };
        }
        history.run(200);
        add(history.disk);
        for (int crash = 0; crash < 4; ++crash) {
            auto after = history.disk.after_crash([&](std::size_t n) { return std::size_t(random() % n); });
            if (crash % 2 && !flip_bit(*after, random)) continue;
            add_recovery(*after, false);
            add_recovery(*after, true);
            StoreHarness harness(*after, 1000);
            if (harness.usable) {
                harness.store.put(Space::hosts, "x", "y");
                harness.advance(20000);
            }
            add(*after);
        }
    }

  private:
    // Flips the lowest bit of a random byte in a random file. Returns whether there was a file.
    static bool flip_bit(FaultEnvironment& disk, std::mt19937_64& random) {
        auto files = disk.files();
        if (files.empty()) return false;
        auto file = std::next(files.begin(), std::ptrdiff_t(random() % files.size()));
        std::string bytes = file->second;
        if (!bytes.empty()) bytes[random() % bytes.size()] ^= 1;
        disk.set_file(file->first, bytes);
        return true;
    }
    void add(const std::string& text) { hash_ = checksum(text, hash_); }
    void add(const FaultEnvironment& disk) {
        for (auto& [name, bytes] : disk.files()) {
            add(name);
            add(bytes);
        }
        add(std::to_string(disk.step_count));
    }
    void add_recovery(FaultEnvironment& disk, bool salvage) {
        auto result = recover(disk, salvage, [&](Record&& record, std::uint64_t sequence) {
            add(record.key + record.value + std::to_string(sequence));
        });
        add(std::to_string(int(result.outcome)) + result.status.text() + (result.salvaged ? "s" : "-") +
            std::to_string(result.records) + "/" + std::to_string(result.bytes) + "/" +
            std::to_string(result.next_sequence));
        add(encode(result.manifest));
        for (const Finding& finding : result.findings) add(finding.text());
    }

    std::uint64_t hash_ = 0;
};

TEST_CASE("recorded logs: seeded histories give the recorded files and findings, byte for byte") {
    std::ifstream file(RECORDED_LOGS);
    std::vector<std::string> recorded{std::istream_iterator<std::string>(file), {}};
    CHECK(recorded.size() == kHistories / kHistoriesPerHash);
    LogRecording recording;
    std::vector<std::string> hashes;
    for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
        recording.run(seed);
        if (seed % kHistoriesPerHash != 0) continue;
        char digits[17];
        std::snprintf(digits, sizeof digits, "%016" PRIx64, recording.hash());
        hashes.emplace_back(digits);
    }
    CHECK(hashes == recorded);
}

}  // namespace
}  // namespace indigovane::store
