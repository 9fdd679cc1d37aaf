// Tests of recovery: after a crash at every point, after damage of every byte, refusals and salvage.
#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "store/thread.hpp"
#include "support/store_harness.hpp"

namespace indigovane::store {
namespace {

// Small histories: every crash point with every state that the disk may be in after that crash.
TEST_CASE(
    "recovery at every crash point: no durable record is lost, none is invented, and the order is kept") {
    std::uint64_t states = 0;
    for (std::uint64_t power_loss_step = 1; power_loss_step < 60; ++power_loss_step) {
        RandomHistory history(power_loss_step, 1);
        history.run(14);
        std::vector<std::size_t> path;
        do {
            auto after = history.disk.after_crash(choose_along(path));
            history.check(*after);
            ++states;
        } while (advance_path(path) && states < 200000);
        if (!history.disk.has_lost_power()) break;
    }
    CHECK(states > 200);
}

TEST_CASE(
    "recovery after seeded crashes in long histories with compaction and failing disks, and after crashes "
    "during recovery") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        RandomHistory history(1 + random() % 400, seed);
        if (seed % 3 == 0) {
            // A disk that fails now and then: it is full, or writes and syncs fail.
            auto fault_random = std::make_shared<std::mt19937_64>(seed);
            history.disk.inject_error = [fault_random](FaultEnvironment::Step, const std::string&) {
                return (*fault_random)() % 23 == 0 ? ((*fault_random)() % 2 ? ENOSPC : EIO) : 0;
            };
        }
        history.run(150);
        for (int i = 0; i < 20; ++i) {
            auto choose = [&](std::size_t n) { return std::size_t(random() % n); };
            auto after = history.disk.after_crash(choose);
            history.check(*after);
            // The power is also lost during the next start, at any of its steps, and during the start after
            // that.
            after->power_loss_step = 1 + random() % 8;
            { StoreHarness interrupted(*after); }
            auto later = after->after_crash(choose);
            history.check(*later);
            later->power_loss_step = 1 + random() % 8;
            { StoreHarness interrupted(*later); }
            history.check(*later->after_crash(choose));
        }
    }
}

TEST_CASE(
    "recovery refuses a missing segment, a segment of another store, a newer version, a missing manifest and "
    "an open store") {
    FaultEnvironment disk;
    {
        StoreHarness harness(disk, 0, small_segment_options());
        for (int i = 0; i < 60; ++i)
            harness.store.put(Space::hosts, "h" + std::to_string(i), "v"), harness.process();
    }
    auto files = disk.files();
    auto segment = std::find_if(files.begin(), files.end(), [](auto& file) {
                       return segment_number(file.first).has_value();
                   })->first;
    auto recover_damaged_copy = [&](const std::function<void(FaultEnvironment&)>& damage) {
        FaultEnvironment copy;
        for (auto& [name, bytes] : files) copy.set_file(name, bytes);
        damage(copy);
        auto before = copy.files();
        RecoveryResult result = recover(copy, false, [](Record&&, std::uint64_t) {});
        CHECK(copy.files() == before);  // recovery has changed nothing
        return result;
    };
    auto result = recover_damaged_copy([&](auto& damaged_disk) { damaged_disk.remove_file(segment); });
    CHECK(result.outcome == RecoveryResult::Outcome::damaged);
    CHECK(result.findings[0].file == segment);
    CHECK(recover_damaged_copy([&](auto& damaged_disk) { damaged_disk.remove_file("MANIFEST"); }).outcome ==
          RecoveryResult::Outcome::damaged);
    CHECK(recover_damaged_copy([&](auto& damaged_disk) {
              damaged_disk.set_file("MANIFEST", "nonsense");
          }).outcome == RecoveryResult::Outcome::damaged);
    Manifest manifest;
    std::size_t damaged_at = 0;
    REQUIRE(decode(files["MANIFEST"], manifest, damaged_at) == DecodeResult::ok);
    Manifest other_manifest = manifest;
    ++other_manifest.store_number;
    result = recover_damaged_copy(
        [&](auto& damaged_disk) { damaged_disk.set_file("MANIFEST", encode(other_manifest)); });
    CHECK(result.outcome == RecoveryResult::Outcome::damaged);
    CHECK(result.findings[0].description.find("another store") != std::string::npos);
    std::string newer = files["MANIFEST"];
    newer[8] = 9;
    newer.resize(newer.size() - 8);
    newer += encode_u64(checksum(newer));
    CHECK(recover_damaged_copy([&](auto& damaged_disk) {
              damaged_disk.set_file("MANIFEST", newer);
          }).outcome == RecoveryResult::Outcome::newer_version);
    // Salvage retains the provably valid records and reports what it dropped.
    FaultEnvironment copy;
    for (auto& [name, bytes] : files) copy.set_file(name, bytes);
    copy.remove_file(segment);
    std::size_t retained = 0;
    RecoveryResult salvaged = recover(copy, true, [&](Record&&, std::uint64_t) { ++retained; });
    CHECK(salvaged.usable());
    CHECK(salvaged.findings.size() == 1);
    CHECK(retained > 0);
    CHECK(retained < 60);

    RecoveryResult recovery;
    OpenError error;
    auto folder = std::make_unique<FaultEnvironment>();
    std::unique_ptr<FolderLock> lock;
    REQUIRE(folder->lock(lock, true).ok());
    CHECK_FALSE(StoreThread::open(std::move(folder), {}, 0, {}, recovery, error));
    CHECK(error.text == "another process has it open");
}

// Guards against a salvaged store that the next start refuses again. Fuzzing found this: the damaged
// segments were sealed as they were. Now the retained records are written anew.
TEST_CASE("after a salvage the store is undamaged and holds the retained records") {
    for (int damage = 0; damage < 3; ++damage) {
        auto folder = std::make_unique<FaultEnvironment>();
        {
            StoreHarness harness(*folder, 0, small_segment_options());
            for (int i = 0; i < 60; ++i)
                harness.store.put(Space::hosts, "h" + std::to_string(i), "v"), harness.process();
        }
        auto files = folder->files();
        auto first = std::find_if(files.begin(), files.end(),
                                  [](auto& file) { return segment_number(file.first).has_value(); });
        auto last = std::prev(files.end());
        if (damage == 0) folder->set_file(first->first, first->second.substr(0, 200));
        if (damage == 1) folder->set_file("MANIFEST", "nonsense");
        if (damage == 2) {
            std::string malformed = last->second;
            malformed[kSegmentHeaderBytes + 60] = char(~malformed[kSegmentHeaderBytes + 60]);
            folder->set_file(last->first, malformed);
        }
        REQUIRE(recover(*folder, false, [](Record&&, std::uint64_t) {}).outcome ==
                RecoveryResult::Outcome::damaged);
        RecoveryResult recovery;
        OpenError error;
        OpenOptions options;
        options.salvage = true;
        FaultEnvironment* disk = folder.get();
        auto thread = StoreThread::open(std::move(folder), options, 0, {}, recovery, error);
        REQUIRE_MESSAGE(thread, error.text);
        CHECK(recovery.salvaged);
        std::size_t retained = thread->store().size();
        CHECK(retained >= (damage == 1 ? 60 : 20));
        thread->store().put(Space::operators, "after", "it");
        thread->close();
        auto after = disk->after_crash([](std::size_t) { return std::size_t(0); });
        thread.reset();
        StoreHarness harness(*after);
        CHECK(harness.recovery.outcome == RecoveryResult::Outcome::complete);
        CHECK(harness.store.size() == retained + 1);
    }
}

// A copy of an open store reads each file at a different time.
TEST_CASE("a copy of an open store recovers to an earlier state or is refused") {
    int refused = 0, recovered = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        FaultEnvironment disk;
        StoreHarness harness(disk);
        std::set<std::map<std::string, std::string>> states{{}};
        std::vector<std::map<std::string, std::string>> moments;
        for (int i = 0; i < 60; ++i) {
            harness.store.put(Space::hosts, "h" + std::to_string(random() % 5),
                              std::string(20 + random() % 30, 'v'));
            harness.process();
            states.insert(harness.state());
            moments.push_back(disk.files());
        }
        for (int copy = 0; copy < 40; ++copy) {
            std::size_t from = random() % 50;
            FaultEnvironment copied;
            for (auto& [name, bytes] : moments[from]) {
                auto& later = moments[std::min<std::size_t>(59, from + random() % 6)];
                if (auto it = later.find(name); it != later.end()) copied.set_file(name, it->second);
            }
            Store store;
            RecoveryResult result = recover(copied, false, [&](Record&& record, std::uint64_t sequence) {
                store.load(std::move(record), sequence);
            });
            if (!result.usable()) {
                ++refused;
                continue;
            }
            ++recovered;
            REQUIRE(states.count(StoreHarness::state_of(store)));
        }
    }
    CHECK(refused > 0);
    CHECK(recovered > 0);
}

// Damages each byte of a store of about 20 kB. `make torture` does the same with some megabytes.
TEST_CASE("recovery of a store truncated, flipped or zeroed at any byte never gives wrong data") {
    DamageTest damage_test(20, 300, 4096);
    auto result = damage_test.run(0, 1);
    CHECK(result.wrong == 0);
    CHECK(result.refused > 0);
    CHECK(result.earlier > 0);
    MESSAGE(result.tried << " damaged stores: " << result.refused << " refused, " << result.earlier
                         << " at an earlier state, " << result.complete << " unharmed");
}

}  // namespace
}  // namespace indigovane::store
