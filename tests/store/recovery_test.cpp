// Recovery: from every crash point, every cut and flip; refusals and salvage.
#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "store/thread.hpp"
#include "support/store_rig.hpp"

namespace indigovane::store {
namespace {

// Small histories: each crash point with each state that the disk may then be in.
TEST_CASE(
    "every crash point, every order of unsynced writes: nothing strict lost, nothing invented, order "
    "retained") {
    std::uint64_t states = 0;
    for (std::uint64_t stop = 1; stop < 60; ++stop) {
        History history(stop, 1);
        history.run(14);
        std::vector<std::size_t> path;
        do {
            auto after = history.disk.crash(enumerate(path));
            history.check(*after);
            ++states;
        } while (next(path) && states < 200000);
        if (!history.disk.out_of_power()) break;
    }
    CHECK(states > 200);
}

TEST_CASE(
    "long histories: seeded crashes, crashes in recovery after them, compaction, failing disks on the way") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        History history(1 + random() % 400, seed);
        if (seed % 3 == 0) {
            // A disk that refuses now and then: full, or broken in writes and syncs.
            auto dice = std::make_shared<std::mt19937_64>(seed);
            history.disk.fail = [dice](FaultEnvironment::Step, const std::string&) {
                return (*dice)() % 23 == 0 ? ((*dice)() % 2 ? ENOSPC : EIO) : 0;
            };
        }
        history.run(150);
        for (int i = 0; i < 20; ++i) {
            auto choose = [&](std::size_t n) { return std::size_t(random() % n); };
            auto after = history.disk.crash(choose);
            history.check(*after);
            // The next start is cut off as well, at any of its steps; and the one after that.
            after->stop_at = 1 + random() % 8;
            { StoreHarness cut(*after); }
            auto later = after->crash(choose);
            history.check(*later);
            later->stop_at = 1 + random() % 8;
            { StoreHarness cut(*later); }
            history.check(*later->crash(choose));
        }
    }
}

TEST_CASE(
    "refused loudly: a missing segment, another store's, a newer version, no manifest, a store that is "
    "open") {
    FaultEnvironment disk;
    {
        StoreHarness harness(disk, 0, small_options());
        for (int i = 0; i < 60; ++i)
            harness.store.put(Space::hosts, "h" + std::to_string(i), "v"), harness.process();
    }
    auto files = disk.files();
    auto segment = std::find_if(files.begin(), files.end(), [](auto& f) {
                       return segment_number(f.first).has_value();
                   })->first;
    auto outcome = [&](const std::function<void(FaultEnvironment&)>& damage) {
        FaultEnvironment copy;
        for (auto& [name, bytes] : files) copy.set_file(name, bytes);
        damage(copy);
        auto before = copy.files();
        RecoveryResult r = recover(copy, false, [](Record&&, std::uint64_t) {});
        CHECK(copy.files() == before);  // and nothing was changed
        return r;
    };
    auto r = outcome([&](auto& d) { d.remove_file(segment); });
    CHECK(r.outcome == RecoveryResult::Outcome::damaged);
    CHECK(r.findings[0].file == segment);
    CHECK(outcome([&](auto& d) { d.remove_file("MANIFEST"); }).outcome == RecoveryResult::Outcome::damaged);
    CHECK(outcome([&](auto& d) { d.set_file("MANIFEST", "nonsense"); }).outcome ==
          RecoveryResult::Outcome::damaged);
    Manifest m;
    std::size_t damaged_at = 0;
    REQUIRE(decode(files["MANIFEST"], m, damaged_at) == DecodeResult::ok);
    Manifest other = m;
    ++other.store;
    r = outcome([&](auto& d) { d.set_file("MANIFEST", encode(other)); });
    CHECK(r.outcome == RecoveryResult::Outcome::damaged);
    CHECK(r.findings[0].what.find("another store") != std::string::npos);
    std::string newer = files["MANIFEST"];
    newer[8] = 9;
    newer.resize(newer.size() - 8);
    newer += encode_u64(checksum(newer));
    CHECK(outcome([&](auto& d) { d.set_file("MANIFEST", newer); }).outcome ==
          RecoveryResult::Outcome::newer_version);
    // Salvage keeps what is provable and says what it dropped.
    FaultEnvironment copy;
    for (auto& [name, bytes] : files) copy.set_file(name, bytes);
    copy.remove_file(segment);
    std::size_t retained = 0;
    RecoveryResult salvaged = recover(copy, true, [&](Record&&, std::uint64_t) { ++retained; });
    CHECK(salvaged.usable());
    CHECK(salvaged.findings.size() == 1);
    CHECK(retained > 0);
    CHECK(retained < 60);

    RecoveryResult found;
    OpenError error;
    auto folder = std::make_unique<FaultEnvironment>();
    std::unique_ptr<FolderLock> lock;
    REQUIRE(folder->lock(lock, true).ok());
    CHECK_FALSE(StoreThread::open(std::move(folder), {}, 0, {}, found, error));
    CHECK(error.text == "another process has it open");
}

// Found by fuzzing: a salvaged store was sealed as it was, so that the next start refused it again. What is
// retained is written anew.
TEST_CASE("after a salvage the store is whole, and holds what was retained") {
    for (int how = 0; how < 3; ++how) {
        auto folder = std::make_unique<FaultEnvironment>();
        {
            StoreHarness harness(*folder, 0, small_options());
            for (int i = 0; i < 60; ++i)
                harness.store.put(Space::hosts, "h" + std::to_string(i), "v"), harness.process();
        }
        auto files = folder->files();
        auto first = std::find_if(files.begin(), files.end(),
                                  [](auto& f) { return segment_number(f.first).has_value(); });
        auto last = std::prev(files.end());
        if (how == 0) folder->set_file(first->first, first->second.substr(0, 200));
        if (how == 1) folder->set_file("MANIFEST", "nonsense");
        if (how == 2) {
            std::string malformed = last->second;
            malformed[kSegmentHeaderBytes + 60] = char(~malformed[kSegmentHeaderBytes + 60]);
            folder->set_file(last->first, malformed);
        }
        REQUIRE(recover(*folder, false, [](Record&&, std::uint64_t) {}).outcome ==
                RecoveryResult::Outcome::damaged);
        RecoveryResult found;
        OpenError error;
        OpenOptions options;
        options.salvage = true;
        FaultEnvironment* disk = folder.get();
        auto thread = StoreThread::open(std::move(folder), options, 0, {}, found, error);
        REQUIRE_MESSAGE(thread, error.text);
        CHECK(found.salvaged);
        std::size_t retained = thread->store().size();
        CHECK(retained >= (how == 1 ? 60 : 20));
        thread->store().put(Space::operators, "after", "it");
        thread->close();
        auto after = disk->crash([](std::size_t) { return std::size_t(0); });
        thread.reset();
        StoreHarness harness(*after);
        CHECK(harness.found.outcome == RecoveryResult::Outcome::complete);
        CHECK(harness.store.size() == retained + 1);
    }
}

// A copy takes each file at another moment.
TEST_CASE("a store copied while it is open is a state that there was, or refused") {
    int refused = 0, good = 0;
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
            RecoveryResult r =
                recover(copied, false, [&](Record&& x, std::uint64_t s) { store.load(std::move(x), s); });
            if (!r.usable()) {
                ++refused;
                continue;
            }
            ++good;
            REQUIRE(states.count(StoreHarness::state_of(store)));
        }
    }
    CHECK(refused > 0);
    CHECK(good > 0);
}

// A store of some twenty kilobytes, each byte of it; `make torture` does the same to some megabytes.
TEST_CASE("every byte cut, flipped and zeroed: an earlier state or a refusal, never wrong data") {
    Specimen specimen(20, 300, 4096);
    auto result = specimen.torture(0, 1);
    CHECK(result.wrong == 0);
    CHECK(result.refused > 0);
    CHECK(result.earlier > 0);
    MESSAGE(result.tried << " damaged stores: " << result.refused << " refused, " << result.earlier
                         << " at an earlier state, " << result.whole << " unharmed");
}

}  // namespace
}  // namespace indigovane::store
