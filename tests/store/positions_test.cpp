// What sessions may trust after a start.
#include "store/positions.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "support/store_rig.hpp"

namespace indigovane::store {
namespace {

TEST_CASE("the floor: what each way to end lets the next start trust") {
    constexpr std::uint64_t now = 1'000'000'000, slack = 100'000, keep = 600'000'000;
    auto level = [&](const PreviousRun& run) { return decide_floor(run, now, slack, keep).level; };
    PreviousRun previous;
    CHECK(level(previous) == PositionFloor::Level::is_client_present);
    previous.recovered = true;
    previous.closed = true;
    CHECK(level(previous) == PositionFloor::Level::is_client_present);  // another boot: one that wrote
                                                                        // nothing down may have served since
    previous.same_boot = true;
    CHECK(level(previous) == PositionFloor::Level::none);
    previous.closed = false;
    CHECK(level(previous) == PositionFloor::Level::open_writes);
    previous.marker = CrashMarker::within_lease, previous.lease_us = now - 3'000'000;
    CHECK(decide_floor(previous, now, slack, keep).floor_us == now - 3'000'000 + slack);
    previous.marker = CrashMarker::beyond_lease;
    CHECK(decide_floor(previous, now, slack, keep).floor_us == now + slack);
    previous.salvaged = true, previous.marker = CrashMarker::none;
    CHECK(level(previous) == PositionFloor::Level::is_client_present);
    previous.salvaged = false,
    previous.latest_commit_us = now + 5'000'000;  // the clock has stepped back since
    CHECK(decide_floor(previous, now, slack, keep).open_write_us >= now + 5'000'000);
}

std::map<std::uint64_t, std::uint64_t> commits_by_session(const Positions::Start& start) {
    std::map<std::uint64_t, std::uint64_t> commits;
    for (auto [session, commit_us] : start.commits) commits[session] = commit_us;
    return commits;
}

// Sessions that write and read through crashes at random moments, by kill and by power, with disks that stall
// or fail.
struct CrashSimulation {
    std::mt19937_64 random;
    std::unique_ptr<FaultEnvironment> disk = std::make_unique<FaultEnvironment>();
    CrashMarker marker = CrashMarker::none;
    std::map<std::uint64_t, std::uint64_t> acknowledged;  // by session: the latest commit
    std::uint64_t now_us = 1'000'000'000;
    std::string boot = "b1";
    std::uint64_t reads = 0;
    std::array<std::uint64_t, 4> starts_by_level{};

    explicit CrashSimulation(std::uint64_t seed) : random(seed) {}

    // After each start a read may be answered from data as old as start() allows: never older than what the
    // session was told.
    void check_reads(const Positions::Start& start) {
        ++starts_by_level[std::size_t(start.floor.level)];
        std::map<std::uint64_t, std::uint64_t> needs = commits_by_session(start);
        for (auto& [session, commit] : acknowledged) {
            ++reads;
            std::uint64_t allowed = std::max(start.floor.floor_us, needs.count(session) ? needs[session] : 0);
            REQUIRE_MESSAGE(allowed >= commit, "session " << session << " level " << int(start.floor.level));
        }
    }
    void step(Positions& positions, std::set<std::uint64_t>& open_writes) {
        now_us += random() % 20'000;
        std::uint64_t session = random() % 30;
        if (open_writes.insert(session).second) {
            positions.write_started(session, now_us);
        } else {
            if (random() % 4) {  // the client is told after write_committed()
                std::uint64_t commit = now_us - random() % 2000;
                positions.write_committed(session, commit, now_us);
                acknowledged[session] = std::max(acknowledged[session], commit);
            }
            positions.write_ended(session, now_us);
            open_writes.erase(session);
        }
        positions.tick(now_us);
    }
    std::unique_ptr<FaultEnvironment> lose_power() {
        auto after = disk->crash([&](std::size_t n) { return std::size_t(random() % n); });
        marker = CrashMarker::none;  // scratch is gone with the machine
        boot = "b" + std::to_string(random());
        now_us += 20'000'000;
        return after;
    }
    std::unique_ptr<FaultEnvironment> close(StoreHarness& harness, Positions& positions,
                                            const std::set<std::uint64_t>& open_writes) {
        for (std::uint64_t session : open_writes) positions.write_ended(session, now_us);
        harness.advance(10'000);
        positions.mark_closed();
        harness.process(now_us / 1000);
        return disk->kill();
    }
    // One process, from its start to its end. Whether it could be started.
    bool run_process() {
        bool stalls = random() % 3 == 0;
        bool fails = random() % 4 == 0;
        disk->fail = [&](FaultEnvironment::Step, const std::string&) {
            return fails && now_us % 7 == 0 ? EIO : 0;
        };
        StoreHarness harness(*disk, now_us / 1000);
        if (!harness.usable) return false;
        Positions positions(harness.store, {}, [&](CrashMarker raised) {
            marker = raised;
            return true;
        });
        bool recovered = harness.found.outcome != RecoveryResult::Outcome::no_store;
        check_reads(positions.start(recovered, false, marker, boot, now_us));
        std::set<std::uint64_t> open_writes;
        int steps = int(random() % 300);
        for (int i = 0; i < steps; ++i) {
            step(positions, open_writes);
            if (!stalls || random() % 40 == 0) harness.process(now_us / 1000);
        }
        std::uint64_t end = random() % 4;
        fails = fails && end != 1;
        std::unique_ptr<FaultEnvironment> next = end == 0   ? lose_power()
                                                 : end == 1 ? close(harness, positions, open_writes)
                                                            : disk->kill();
        now_us += random() % 5'000'000;
        disk = std::move(next);
        return true;
    }
};

TEST_CASE("zero stale session reads through crashes at random points") {
    std::uint64_t reads = 0;
    std::array<std::uint64_t, 4> starts_by_level{};
    for (std::uint64_t seed = 1; seed <= 120; ++seed) {
        CrashSimulation simulation(seed);
        for (int process = 0; process < 6; ++process)
            if (!simulation.run_process()) break;
        reads += simulation.reads;
        for (std::size_t level = 0; level < starts_by_level.size(); ++level)
            starts_by_level[level] += simulation.starts_by_level[level];
    }
    CHECK(reads > 3000);
    CHECK(starts_by_level[0] > 0);
    CHECK(starts_by_level[1] > 0);
    CHECK(starts_by_level[2] > 0);
    CHECK(starts_by_level[3] > 0);
}

// What a restart costs the primary: 400 sessions, each with a read every 100 ms, one in five of them after a
// write of the session; replicas lag; the process is killed and is back a second later. The share of the next
// 10 s' reads that no replica may answer.
TEST_CASE(
    "reads sent to the primary in the 10 s after a restart: writes in hand, lease, plain floor, no store") {
    for (std::uint64_t lag_ms : {20, 1000, 4000}) {
        struct Way {
            const char* name;
            CrashMarker witness;
            bool store;
            double share = 0;
            int stale = 0;
        } ways[] = {{"writes in hand", CrashMarker::none, true},
                    {"lease", CrashMarker::within_lease, true},
                    {"plain floor", CrashMarker::beyond_lease, true},
                    {"no store", CrashMarker::none, false}};
        for (Way& way : ways) {
            std::mt19937_64 random(lag_ms);
            FaultEnvironment disk;
            std::uint64_t now = 1'000'000'000;
            std::map<std::uint64_t, std::uint64_t> acknowledged;
            {
                StoreHarness harness(disk, now / 1000, {});
                Positions positions(harness.store, {}, [](CrashMarker) { return true; });
                positions.start(false, false, CrashMarker::none, "b", now);
                std::map<std::uint64_t, std::uint64_t> ends;
                for (int step = 0; step < 8000; ++step, now += 1250) {
                    std::uint64_t session = random() % 400;
                    if (random() % 5 == 0 && !ends.count(session)) {
                        positions.write_started(session, now);
                        ends[session] = now + 50'000;
                    }
                    for (auto it = ends.begin(); it != ends.end();) {
                        if (it->second > now) {
                            ++it;
                            continue;
                        }
                        positions.write_committed(it->first, now - 1000, now);
                        acknowledged[it->first] = now - 1000;
                        positions.write_ended(it->first, now);
                        it = ends.erase(it);
                    }
                    positions.tick(now);
                    if (step % 4 == 0) harness.process(now / 1000);
                }
            }
            now += 1'000'000;
            auto after = disk.kill();
            StoreHarness harness(*after, now / 1000, {});
            Positions positions(harness.store, {}, [](CrashMarker) { return true; });
            auto start = positions.start(true, false, way.witness, "b", now);
            std::map<std::uint64_t, std::uint64_t> needs = commits_by_session(start);
            std::uint64_t floor = start.floor.floor_us;
            if (!way.store) needs.clear(), floor = 0;
            int reads = 0, primary = 0;
            for (std::uint64_t t = now; t < now + 10'000'000; t += 100'000)
                for (std::uint64_t session = 0; session < 400; ++session) {
                    std::uint64_t replica = t - lag_ms * 1000;
                    ++reads;
                    if (std::max(floor, needs.count(session) ? needs[session] : 0) > replica)
                        ++primary;
                    else if (acknowledged.count(session) && acknowledged[session] > replica)
                        ++way.stale;
                }
            way.share = double(primary) / reads;
            MESSAGE("lag " << lag_ms << " ms, " << std::string(way.name) << ": " << way.share * 100
                           << "% to the primary, " << way.stale << " stale");
        }
        for (int i = 0; i < 3; ++i) CHECK(ways[i].stale == 0);
        CHECK(ways[0].share <= ways[1].share);
        CHECK(ways[1].share <= ways[2].share);
        if (lag_ms == 4000) {
            CHECK(ways[0].share < ways[2].share);
            CHECK(ways[3].stale > 0);
        }
    }
}

TEST_CASE("the lease is renewed at half of its length, and requested again after a failed write") {
    CommitLease lease(1000);
    CHECK(lease.renew(5000) == 6000);
    CHECK_FALSE(lease.renew(5400));
    CHECK_FALSE(lease.covers(5500));
    lease.on_durable(6000);
    CHECK(lease.covers(6000));
    CHECK(lease.renew(5500) == 6500);
    lease.on_write_failed();
    CHECK(lease.renew(5600) == 6600);
    CHECK_FALSE(lease.covers(6001));
}

}  // namespace
}  // namespace indigovane::store
