// Tests of the store with its log: starts, compaction, failing disks and the thread.
#include <doctest/doctest.h>

#include <cerrno>
#include <chrono>
#include <map>
#include <random>
#include <thread>

#include "store/thread.hpp"
#include "support/store_harness.hpp"

namespace indigovane::store {
namespace {

TEST_CASE("after a start, put records exist, and expired or removed ones do not") {
    FaultEnvironment disk;
    {
        StoreHarness harness(disk);
        harness.store.put(Space::hosts, "s-1", "out", Durability::strict);
        harness.store.put(Space::hosts, "s-2", "out");
        harness.store.put_position(7, 70, 5'000'000);
        harness.store.put_position(8, 80, 2'000);
        harness.process();
        harness.store.remove(Space::hosts, "s-2");
        harness.store.put(Space::list, "members", std::string(100000, 'm'));
        harness.process();
    }
    StoreHarness restarted(disk, 3'000);
    CHECK(restarted.recovery.outcome == RecoveryResult::Outcome::complete);
    CHECK(restarted.store.get(Space::hosts, "s-1") == "out");
    CHECK_FALSE(restarted.store.get(Space::hosts, "s-2"));
    CHECK(restarted.store.position(7) == 70);
    CHECK_FALSE(restarted.store.position(8));
    CHECK(restarted.store.get(Space::list, "members")->size() == 100000);
    restarted.store.expire(6'000'000);
    CHECK(restarted.store.size() == 2);
    CHECK_THROWS_AS(restarted.store.put(Space::hosts, std::string(2000, 'k'), "v"), std::length_error);
}

TEST_CASE(
    "compaction keeps the log within its bound and loses nothing, also with restarts between its steps") {
    FaultEnvironment disk;
    std::map<std::string, std::string> model;
    std::mt19937_64 random(6);
    auto options = small_segment_options();
    for (int start = 0; start < 6; ++start) {
        StoreHarness harness(disk, 0, options);
        REQUIRE(harness.state() == model);
        for (int step = 0; step < 1500; ++step) {
            std::string key = "h" + std::to_string(random() % 40);
            if (random() % 5 == 0) {
                harness.store.remove(Space::hosts, key);
                model.erase("hosts/" + key);
            } else {
                std::string value = std::to_string(random());
                harness.store.put(Space::hosts, key, value);
                model["hosts/" + key] = value;
            }
            harness.process();
            if (step > 200)
                REQUIRE(harness.log_worker.writer().bytes() <
                        2.4 * double(harness.store.live_bytes()) + 4 * options.writer.segment_bytes);
        }
        CHECK(harness.log_worker.writer().counts().segments_dropped > 0);
    }
}

TEST_CASE(
    "a full disk: the store serves from memory, and changes become durable once the disk can be written "
    "again") {
    FaultEnvironment disk;
    StoreHarness harness(disk);
    harness.store.put(Space::hosts, "a", "1", Durability::strict);
    harness.process();
    CHECK(harness.store.durable() == harness.store.ticket());
    bool full = true;
    disk.inject_error = [&](FaultEnvironment::Step step, const std::string&) {
        return full && step != FaultEnvironment::Step::remove ? ENOSPC : 0;
    };
    std::uint64_t ticket = harness.store.put(Space::hosts, "b", "2", Durability::strict);
    harness.store.remove(Space::hosts, "a");
    harness.process();
    CHECK(harness.store.failing());
    CHECK(harness.store.durable() < ticket);
    CHECK(harness.store.get(Space::hosts, "b") == "2");
    harness.advance(3000);
    CHECK(harness.store.failing());
    {
        StoreHarness recovered(*disk.after_kill());  // the complete old state, no mixture
        CHECK(recovered.state() == std::map<std::string, std::string>{{"hosts/a", "1"}});
    }
    full = false;
    harness.advance(6000);
    CHECK_FALSE(harness.store.failing());
    CHECK(harness.store.durable() >= ticket);
    harness.store.put(Space::hosts, "c", "3");
    harness.process();
    StoreHarness recovered(*disk.after_kill());
    CHECK(recovered.state() == std::map<std::string, std::string>{{"hosts/b", "2"}, {"hosts/c", "3"}});
}

// Guards against trusting a second sync after a failed one: it succeeds although the pages of the first are
// lost.
TEST_CASE("after a failed sync the segment is not written to again, and no durable record is lost") {
    FaultEnvironment disk;
    StoreHarness harness(disk);
    harness.store.put(Space::hosts, "a", "1", Durability::strict);
    harness.process();
    int failures = 1;
    disk.inject_error = [&](FaultEnvironment::Step step, const std::string&) {
        return step == FaultEnvironment::Step::sync && failures-- > 0 ? EIO : 0;
    };
    std::uint64_t ticket = harness.store.put(Space::hosts, "b", "2", Durability::strict);
    harness.process();
    CHECK(harness.store.durable() >= ticket);                                   // in another segment
    auto after = disk.after_crash([](std::size_t) { return std::size_t(0); });  // everything unsynced is lost
    StoreHarness recovered(*after);
    CHECK(recovered.state() == std::map<std::string, std::string>{{"hosts/a", "1"}, {"hosts/b", "2"}});
}

TEST_CASE(
    "store thread: strict records become durable without closing, and after closing all records are on "
    "disk") {
    auto folder = std::make_unique<FaultEnvironment>();
    FaultEnvironment* disk = folder.get();
    RecoveryResult recovery;
    OpenError error;
    std::map<std::string, std::string> files;
    {
        auto thread = StoreThread::open(std::move(folder), {}, 0, {}, recovery, error);
        REQUIRE(thread);
        for (int i = 0; i < 5000; ++i) {
            thread->store().put_position(std::uint64_t(i), 5, 0);
            if (i % 100 == 0) thread->flush();
        }
        std::uint64_t ticket = thread->store().put(Space::operators, "x", "y", Durability::strict);
        thread->flush();
        for (int i = 0; i < 20000 && thread->store().durable() < ticket; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            thread->poll();
        }
        CHECK(thread->store().durable() >= ticket);
        thread->store().put(Space::operators, "last", "one");
        thread->close();
        files = disk->after_crash([](std::size_t) { return std::size_t(0); })->files();
    }
    FaultEnvironment after;
    for (auto& [name, bytes] : files) after.set_file(name, bytes);
    StoreHarness harness(after);
    CHECK(harness.store.size() == 5002);
}

// Guards against lost write requests. A benchmark recovered fewer records than were written: the request that
// the thread had taken from the queue when a group reached 4 MiB was lost, and so were all later ones.
TEST_CASE("store thread: requests that exceed the size of a group are all on disk after closing") {
    auto folder = std::make_unique<FaultEnvironment>();
    FaultEnvironment* disk = folder.get();
    RecoveryResult recovery;
    OpenError error;
    auto thread = StoreThread::open(std::move(folder), {}, 0, {}, recovery, error);
    REQUIRE(thread);
    for (int i = 0; i < 12000; ++i)
        thread->store().put(Space::hosts, "h" + std::to_string(i), std::string(1000, char('a' + i % 26)));
    thread->close();
    CHECK_FALSE(thread->store().failing());
    auto after = disk->after_kill();
    thread.reset();
    StoreHarness harness(*after);
    CHECK(harness.store.size() == 12000);
}

}  // namespace
}  // namespace indigovane::store
