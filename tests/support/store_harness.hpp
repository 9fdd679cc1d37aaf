// Shared by the store's tests: a store with its log worker but without a thread, random histories that end
// with a crash, and a store whose files are damaged byte by byte.
#pragma once

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

#include "store/fault_environment.hpp"
#include "store/log_worker.hpp"
#include "store/store.hpp"

namespace indigovane::store {

// Segments of 512 bytes and practically unlimited compaction, so that short tests create and compact many
// segments.
inline LogWorker::Options small_segment_options() {
    LogWorker::Options options;
    options.writer.segment_bytes = 512;
    options.compact_bytes_per_second = 1u << 30;
    return options;
}

// A store and its log worker on the calling thread, recovered from `disk`.
struct StoreHarness {
    FaultEnvironment& disk;
    Store store;
    RecoveryResult recovery;
    LogWorker log_worker;
    std::uint64_t now_ms;
    bool usable = false;

    explicit StoreHarness(FaultEnvironment& environment, std::uint64_t now = 0,
                          LogWorker::Options options = small_segment_options())
        : disk(environment), log_worker(environment, options), now_ms(now) {
        recovery = recover(disk, false, [&](Record&& record, std::uint64_t sequence) {
            store.load(std::move(record), sequence);
        });
        if (!recovery.usable()) return;
        store.begin(recovery, now_ms);
        usable = log_worker.begin(recovery, 77).ok();
    }
    // Executes all write requests and handles the events that follow, at `now` in milliseconds or, if that is
    // earlier, at the current time.
    void process(std::uint64_t now = 0) {
        now_ms = std::max(now_ms, now);
        for (int round = 0; round < 200; ++round) {
            std::vector<StoreEvent> events;
            if (store.has_write_requests())
                log_worker.process(store.take_write_requests(), store.live_bytes(), now_ms, events);
            log_worker.tick(store.live_bytes(), now_ms, events);
            if (events.empty() && !store.has_write_requests()) return;
            for (StoreEvent& event : events) store.handle(std::move(event));
        }
    }
    // Lets time pass in steps of 100 ms.
    void advance(std::uint64_t ms) {
        for (std::uint64_t end = now_ms + ms; now_ms < end; now_ms += 100) process();
    }
    // The contents: values by "SPACE/KEY".
    std::map<std::string, std::string> state() const { return state_of(store); }
    static std::map<std::string, std::string> state_of(const Store& store) {
        std::map<std::string, std::string> out;
        for (std::size_t i = 0; i < kSpaceCount; ++i)
            store.each(Space(i), [&](const std::string& key, const std::string& value) {
                out[std::string(name(Space(i))) + "/" + key] = value;
            });
        return out;
    }
};

// Writes random batches of one to three records. Remembers the state after each batch and how many batches
// had been acknowledged when the power was lost.
struct RandomHistory {
    FaultEnvironment disk;
    std::mt19937_64 random;
    std::vector<std::map<std::string, std::string>> states{{}};
    std::vector<std::uint64_t> tickets{0};
    std::size_t acknowledged = 0;  // index of the last acknowledged state; a crash must not lose it

    RandomHistory(std::uint64_t power_loss_step, std::uint64_t seed) : random(seed) {
        disk.power_loss_step = power_loss_step;
    }

    void run(int batches) {
        StoreHarness harness(disk);
        if (!harness.usable) return;
        for (int i = 0; i < batches; ++i) {
            std::vector<Record> records;
            for (std::size_t n = 1 + random() % 3; n > 0; --n) {
                Record record;
                record.type = random() % 4 ? Record::Type::put : Record::Type::remove;
                record.space = random() % 2 ? Space::hosts : Space::positions;
                record.key = record.space == Space::positions ? position_key(random() % 6)
                                                              : "h" + std::to_string(random() % 6);
                if (record.type == Record::Type::put)
                    record.value = record.space == Space::positions
                                       ? encode_u64(random())
                                       : std::string(random() % 90, 'v') + std::to_string(i);
                records.push_back(std::move(record));
            }
            bool strict = random() % 3 == 0;
            tickets.push_back(
                harness.store.write(std::move(records), strict ? Durability::strict : Durability::relaxed));
            states.push_back(harness.state());
            if (random() % 2) harness.process(harness.now_ms + 300);
            // A batch counts as acknowledged once a strict caller would have received the acknowledgement.
            for (std::size_t k = acknowledged + 1;
                 k < tickets.size() && tickets[k] <= harness.store.durable(); ++k)
                acknowledged = k;
        }
    }

    // Checks that the state after a crash is one of the states of the history, and not older than the last
    // acknowledged one.
    void check(FaultEnvironment& after) const {
        Store store;
        RecoveryResult recovery = recover(after, false, [&](Record&& record, std::uint64_t sequence) {
            store.load(std::move(record), sequence);
        });
        REQUIRE_MESSAGE(recovery.usable(), (recovery.findings.empty() ? recovery.status.text()
                                                                      : recovery.findings.back().text()));
        auto state = StoreHarness::state_of(store);
        for (std::size_t i = states.size(); i-- > acknowledged;)
            if (states[i] == state) return;
        FAIL_CHECK("the state after the crash is none of those since " << acknowledged << " of "
                                                                       << states.size());
    }
};

// Enumerates all sequences of choices. Returns a chooser that repeats the choices of `path`, which holds
// pairs of a choice and the number of alternatives, and then appends first alternatives to it.
inline std::function<std::size_t(std::size_t)> choose_along(std::vector<std::size_t>& path) {
    auto at = std::make_shared<std::size_t>(0);
    return [&path, at](std::size_t n) {
        if (*at * 2 == path.size()) path.insert(path.end(), {0, n});
        return path[2 * (*at)++];
    };
}
// Changes `path` to the next sequence of choices. Returns false after the last one.
inline bool advance_path(std::vector<std::size_t>& path) {
    while (!path.empty()) {
        std::size_t alternatives = path.back(), &choice = path[path.size() - 2];
        if (++choice < alternatives) return true;
        path.resize(path.size() - 2);
    }
    return false;
}

// The files of a store, and a test of recovery that truncates a file at each byte, flips a bit of each byte
// and zeroes each byte.
struct DamageTest {
    std::map<std::string, std::string> files;
    std::set<std::map<std::string, std::string>> states;

    // Creates the store from `batches` batches; sizes are in bytes. The values differ so that states can be
    // told apart.
    DamageTest(int batches, std::size_t value_bytes, std::size_t segment_bytes) {
        FaultEnvironment disk;
        LogWorker::Options options;
        options.writer.segment_bytes = segment_bytes;
        options.max_amplification = 1000;
        StoreHarness harness(disk, 0, options);
        states.insert(harness.state());
        std::mt19937_64 random(9);
        for (int i = 0; i < batches; ++i) {
            std::string bytes(value_bytes, char('a' + i % 26));
            for (int k = 0; k < 8; ++k) bytes[random() % value_bytes] = char(random());
            // Few keys with long values, so that the compared states stay small.
            harness.store.put(Space::shapes, "k" + std::to_string(i % 8), bytes);
            states.insert(harness.state());
            if (i % 4 == 3) harness.store.remove(Space::shapes, "k" + std::to_string((i + 3) % 8));
            if (i % 3 != 0) harness.process();  // some groups contain several batches
            states.insert(harness.state());
        }
        harness.process();
        files = disk.files();
    }

    // Numbers of tried stores by the result of recovery: refused, recovered at an earlier state, recovered
    // completely, or wrong (wrong data, or a refusal without a finding).
    struct Counts {
        std::uint64_t tried = 0, refused = 0, earlier = 0, complete = 0, wrong = 0;
    };
    // Damages every `stride`th byte of each file, starting at byte `first`.
    Counts run(std::size_t first, std::size_t stride) const {
        Counts counts;
        FaultEnvironment disk;
        for (auto& [name, bytes] : files) disk.set_file(name, bytes);
        std::map<std::string, std::string> undamaged_state;
        auto recover_and_count = [&](bool is_damaged) {
            Store store;
            RecoveryResult recovery = recover(disk, false, [&](Record&& record, std::uint64_t sequence) {
                store.load(std::move(record), sequence);
            });
            ++counts.tried;
            if (!recovery.usable() || recovery.outcome == RecoveryResult::Outcome::no_store) {
                ++counts.refused;
                if (recovery.findings.empty() && recovery.outcome != RecoveryResult::Outcome::no_store)
                    ++counts.wrong;
                return;
            }
            auto state = StoreHarness::state_of(store);
            if (!is_damaged)
                undamaged_state = state;
            else if (state == undamaged_state)
                ++counts.complete;
            else if (states.count(state))
                ++counts.earlier;
            else
                ++counts.wrong;
        };
        recover_and_count(false);
        for (auto& [name, bytes] : files) {
            if (name == "MANIFEST.tmp" || name == "LOCK") continue;
            for (std::size_t i = first; i < bytes.size(); i += stride) {
                disk.set_file(name, bytes.substr(0, i));
                recover_and_count(true);
                std::string malformed = bytes;
                malformed[i] = char(malformed[i] ^ 1 << i % 8);
                disk.set_file(name, malformed);
                recover_and_count(true);
                if (bytes[i] != 0) {
                    malformed[i] = 0;
                    disk.set_file(name, malformed);
                    recover_and_count(true);
                }
            }
            disk.set_file(name, bytes);
        }
        return counts;
    }
};

}  // namespace indigovane::store
