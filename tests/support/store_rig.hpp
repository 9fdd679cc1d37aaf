// What the store's tests share: a store and its carrier without a thread, histories that a crash cuts off,
// damaged specimens.
#pragma once

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

#include "store/fault_environment.hpp"
#include "store/log_worker.hpp"
#include "store/store.hpp"

namespace indigovane::store {

inline LogWorker::Options small_options() {
    LogWorker::Options o;
    o.writer.segment_bytes = 512;
    o.compact_bytes_per_second = 1u << 30;
    return o;
}

struct StoreHarness {
    FaultEnvironment& disk;
    Store store;
    RecoveryResult found;
    LogWorker log_worker;
    std::uint64_t now_ms;
    bool usable = false;

    explicit StoreHarness(FaultEnvironment& d, std::uint64_t now = 0,
                          LogWorker::Options options = small_options())
        : disk(d), log_worker(d, options), now_ms(now) {
        found = recover(disk, false,
                        [&](Record&& r, std::uint64_t sequence) { store.load(std::move(r), sequence); });
        if (!found.usable()) return;
        store.begin(found, now_ms);
        usable = log_worker.begin(found, 77).ok();
    }
    // All that was ordered, and what follows from it, at once.
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
    void advance(std::uint64_t ms) {
        for (std::uint64_t end = now_ms + ms; now_ms < end; now_ms += 100) process();
    }
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

// Random batches, each of several records, with the states after each and what was acknowledged when the
// power failed.
struct History {
    FaultEnvironment disk;
    std::mt19937_64 random;
    std::vector<std::map<std::string, std::string>> states{{}};
    std::vector<std::uint64_t> tickets{0};
    std::size_t acknowledged = 0;  // strict: states up to this one at least

    History(std::uint64_t stop_at, std::uint64_t seed) : random(seed) { disk.stop_at = stop_at; }

    void run(int batches) {
        StoreHarness harness(disk);
        if (!harness.usable) return;
        for (int i = 0; i < batches; ++i) {
            std::vector<Record> records;
            for (std::size_t n = 1 + random() % 3; n > 0; --n) {
                Record r;
                r.type = random() % 4 ? Record::Type::put : Record::Type::remove;
                r.space = random() % 2 ? Space::hosts : Space::positions;
                r.key = r.space == Space::positions ? position_key(random() % 6)
                                                    : "h" + std::to_string(random() % 6);
                if (r.type == Record::Type::put)
                    r.value = r.space == Space::positions
                                  ? encode_u64(random())
                                  : std::string(random() % 90, 'v') + std::to_string(i);
                records.push_back(std::move(r));
            }
            bool strict = random() % 3 == 0;
            tickets.push_back(
                harness.store.write(std::move(records), strict ? Durability::strict : Durability::relaxed));
            states.push_back(harness.state());
            if (random() % 2) harness.process(harness.now_ms + 300);
            // Acknowledged is what a strict caller would have been acknowledged.
            for (std::size_t k = acknowledged + 1;
                 k < tickets.size() && tickets[k] <= harness.store.durable(); ++k)
                acknowledged = k;
        }
    }

    // After a crash the state is one that there was, no earlier than what was acknowledged.
    void check(FaultEnvironment& after) const {
        Store store;
        RecoveryResult found = recover(
            after, false, [&](Record&& r, std::uint64_t sequence) { store.load(std::move(r), sequence); });
        REQUIRE_MESSAGE(found.usable(),
                        (found.findings.empty() ? found.status.text() : found.findings.back().text()));
        auto state = StoreHarness::state_of(store);
        for (std::size_t i = states.size(); i-- > acknowledged;)
            if (states[i] == state) return;
        FAIL_CHECK("no state that there was since " << acknowledged << " of " << states.size());
    }
};

// All answers that a choice can have, one path after the other.
inline std::function<std::size_t(std::size_t)> enumerate(std::vector<std::size_t>& path) {
    auto at = std::make_shared<std::size_t>(0);
    return [&path, at](std::size_t n) {
        if (*at * 2 == path.size()) path.insert(path.end(), {0, n});
        return path[2 * (*at)++];
    };
}
inline bool next(std::vector<std::size_t>& path) {
    while (!path.empty()) {
        std::size_t n = path.back(), &choice = path[path.size() - 2];
        if (++choice < n) return true;
        path.resize(path.size() - 2);
    }
    return false;
}

// A store, each byte of whose files is cut off at, flipped and zeroed.
struct Specimen {
    std::map<std::string, std::string> files;
    std::set<std::map<std::string, std::string>> states;

    // So many batches of values so long, in segments so long. The values tell the states apart.
    Specimen(int batches, std::size_t value, std::size_t segment) {
        FaultEnvironment disk;
        LogWorker::Options options;
        options.writer.segment_bytes = segment;
        options.max_amplification = 1000;
        StoreHarness harness(disk, 0, options);
        states.insert(harness.state());
        std::mt19937_64 random(9);
        for (int i = 0; i < batches; ++i) {
            std::string bytes(value, char('a' + i % 26));
            for (int k = 0; k < 8; ++k) bytes[random() % value] = char(random());
            // Few keys of long values: what is compared stays small.
            harness.store.put(Space::shapes, "k" + std::to_string(i % 8), bytes);
            states.insert(harness.state());
            if (i % 4 == 3) harness.store.remove(Space::shapes, "k" + std::to_string((i + 3) % 8));
            if (i % 3 != 0) harness.process();  // some groups hold several batches
            states.insert(harness.state());
        }
        harness.process();
        files = disk.files();
    }

    struct AttemptResult {
        std::uint64_t tried = 0, refused = 0, earlier = 0, whole = 0, wrong = 0;
    };
    // Of every `of` bytes the `part`th.
    AttemptResult torture(std::size_t part, std::size_t of) const {
        AttemptResult out;
        FaultEnvironment disk;
        for (auto& [name, bytes] : files) disk.set_file(name, bytes);
        std::map<std::string, std::string> whole;
        auto look = [&](bool harmed) {
            Store store;
            RecoveryResult found = recover(
                disk, false, [&](Record&& r, std::uint64_t sequence) { store.load(std::move(r), sequence); });
            ++out.tried;
            if (!found.usable() || found.outcome == RecoveryResult::Outcome::no_store) {
                ++out.refused;
                if (found.findings.empty() && found.outcome != RecoveryResult::Outcome::no_store) ++out.wrong;
                return;
            }
            auto state = StoreHarness::state_of(store);
            if (!harmed)
                whole = state;
            else if (state == whole)
                ++out.whole;
            else if (states.count(state))
                ++out.earlier;
            else
                ++out.wrong;
        };
        look(false);
        for (auto& [name, bytes] : files) {
            if (name == "MANIFEST.tmp" || name == "LOCK") continue;
            for (std::size_t i = part; i < bytes.size(); i += of) {
                disk.set_file(name, bytes.substr(0, i));
                look(true);
                std::string malformed = bytes;
                malformed[i] = char(malformed[i] ^ 1 << i % 8);
                disk.set_file(name, malformed);
                look(true);
                if (bytes[i] != 0) {
                    malformed[i] = 0;
                    disk.set_file(name, malformed);
                    look(true);
                }
            }
            disk.set_file(name, bytes);
        }
        return out;
    }
};

}  // namespace indigovane::store
