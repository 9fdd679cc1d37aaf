// Tests of session positions: which positions reads must see after a restart.
#include "store/positions.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "support/store_harness.hpp"

namespace indigovane::store {
namespace {

TEST_CASE("position floor: the level depends on how the previous process ended") {
    constexpr std::uint64_t now = 1'000'000'000, slack = 100'000, retention = 600'000'000;
    auto level = [&](const PreviousRun& run) { return decide_floor(run, now, slack, retention).level; };
    PreviousRun previous;
    CHECK(level(previous) == PositionFloor::Level::present);
    previous.recovered = true;
    previous.closed = true;
    // After a reboot, a process that stored nothing may have served since then.
    CHECK(level(previous) == PositionFloor::Level::present);
    previous.same_boot = true;
    CHECK(level(previous) == PositionFloor::Level::none);
    previous.closed = false;
    CHECK(level(previous) == PositionFloor::Level::open_writes);
    previous.marker = CrashMarker::within_lease, previous.lease_until_us = now - 3'000'000;
    CHECK(decide_floor(previous, now, slack, retention).floor_us == now - 3'000'000 + slack);
    previous.marker = CrashMarker::beyond_lease;
    CHECK(decide_floor(previous, now, slack, retention).floor_us == now + slack);
    previous.salvaged = true, previous.marker = CrashMarker::none;
    CHECK(level(previous) == PositionFloor::Level::present);
    previous.salvaged = false,
    previous.latest_commit_us = now + 5'000'000;  // the clock has stepped back since then
    CHECK(decide_floor(previous, now, slack, retention).open_write_us >= now + 5'000'000);
}

std::map<std::uint64_t, std::uint64_t> commits_by_session(const Positions::Start& start) {
    std::map<std::uint64_t, std::uint64_t> commits;
    for (auto [session, commit_us] : start.commits) commits[session] = commit_us;
    return commits;
}

// Sessions write and read while processes end at random moments (killed, by power loss or cleanly) and disks
// stall or fail.
struct CrashSimulation {
    std::mt19937_64 random;
    std::unique_ptr<FaultEnvironment> disk = std::make_unique<FaultEnvironment>();
    CrashMarker marker = CrashMarker::none;
    std::map<std::uint64_t, std::uint64_t> acknowledged;  // latest commit by session
    std::uint64_t now_us = 1'000'000'000;
    std::string boot = "b1";
    std::uint64_t reads = 0;
    std::array<std::uint64_t, 4> starts_by_level{};

    explicit CrashSimulation(std::uint64_t seed) : random(seed) {}

    // After each start, a read may see data as old as start() allows. That must not be older than the commits
    // that were acknowledged to the session.
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
            if (random() % 4) {  // the client is told of the commit after write_committed()
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
        auto after = disk->after_crash([&](std::size_t n) { return std::size_t(random() % n); });
        marker = CrashMarker::none;  // the scratch memory is lost with the machine
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
        return disk->after_kill();
    }
    // Runs one process from its start to its end. Returns whether it could be started.
    bool run_process() {
        bool disk_stalls = random() % 3 == 0;
        bool disk_fails = random() % 4 == 0;
        disk->inject_error = [&](FaultEnvironment::Step, const std::string&) {
            return disk_fails && now_us % 7 == 0 ? EIO : 0;
        };
        StoreHarness harness(*disk, now_us / 1000);
        if (!harness.usable) return false;
        Positions positions(harness.store, {}, [&](CrashMarker raised) {
            marker = raised;
            return true;
        });
        bool recovered = harness.recovery.outcome != RecoveryResult::Outcome::no_store;
        check_reads(positions.start(recovered, false, marker, boot, now_us));
        std::set<std::uint64_t> open_writes;
        int steps = int(random() % 300);
        for (int i = 0; i < steps; ++i) {
            step(positions, open_writes);
            if (!disk_stalls || random() % 40 == 0) harness.process(now_us / 1000);
        }
        std::uint64_t end = random() % 4;
        disk_fails = disk_fails && end != 1;
        std::unique_ptr<FaultEnvironment> next = end == 0   ? lose_power()
                                                 : end == 1 ? close(harness, positions, open_writes)
                                                            : disk->after_kill();
        now_us += random() % 5'000'000;
        disk = std::move(next);
        return true;
    }
};

TEST_CASE("no stale session reads after crashes at random moments") {
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

// Guards against stale reads after a restart, and measures its load on the primary: the share of reads in the
// next 10 s that no replica may answer. 400 sessions read every 100 ms, and one read in five follows a write
// of the session. Replicas lag. The process is killed and runs again one second later. Without a store there
// is no floor, and some reads are stale.
TEST_CASE(
    "after a restart with a store no read is stale, and a higher floor sends more reads to the primary") {
    for (std::uint64_t lag_ms : {20, 1000, 4000}) {
        struct Restart {
            const char* name;
            CrashMarker marker;
            bool has_store;
            double primary_share = 0;
            int stale_reads = 0;
        } restarts[] = {{"open writes", CrashMarker::none, true},
                        {"lease", CrashMarker::within_lease, true},
                        {"floor at the present", CrashMarker::beyond_lease, true},
                        {"no store", CrashMarker::none, false}};
        for (Restart& restart : restarts) {
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
            auto after = disk.after_kill();
            StoreHarness harness(*after, now / 1000, {});
            Positions positions(harness.store, {}, [](CrashMarker) { return true; });
            auto start = positions.start(true, false, restart.marker, "b", now);
            std::map<std::uint64_t, std::uint64_t> needs = commits_by_session(start);
            std::uint64_t floor = start.floor.floor_us;
            if (!restart.has_store) needs.clear(), floor = 0;
            int reads = 0, primary_reads = 0;
            for (std::uint64_t t = now; t < now + 10'000'000; t += 100'000)
                for (std::uint64_t session = 0; session < 400; ++session) {
                    std::uint64_t replica_position = t - lag_ms * 1000;
                    ++reads;
                    if (std::max(floor, needs.count(session) ? needs[session] : 0) > replica_position)
                        ++primary_reads;
                    else if (acknowledged.count(session) && acknowledged[session] > replica_position)
                        ++restart.stale_reads;
                }
            restart.primary_share = double(primary_reads) / reads;
            MESSAGE("lag " << lag_ms << " ms, " << std::string(restart.name) << ": "
                           << restart.primary_share * 100 << "% to the primary, " << restart.stale_reads
                           << " stale");
        }
        for (int i = 0; i < 3; ++i) CHECK(restarts[i].stale_reads == 0);
        CHECK(restarts[0].primary_share <= restarts[1].primary_share);
        CHECK(restarts[1].primary_share <= restarts[2].primary_share);
        if (lag_ms == 4000) {
            CHECK(restarts[0].primary_share < restarts[2].primary_share);
            CHECK(restarts[3].stale_reads > 0);
        }
    }
}

TEST_CASE("commit lease: renewed after half of its length, and requested again after a failed write") {
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
