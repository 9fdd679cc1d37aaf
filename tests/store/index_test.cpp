// Tests of the index in memory: its data structures behave like standard containers, and records expire.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include "store/store.hpp"

namespace indigovane::store {
namespace {

TEST_CASE("session table: equal to a standard map through splits, removals and snapshots") {
    std::mt19937_64 random(3);
    SessionTable table;
    std::unordered_map<std::uint64_t, std::uint64_t> model, model_at_snapshot;
    SessionTable::Snapshot snapshot = table.snapshot();
    for (int step = 0; step < 200000; ++step) {
        std::uint64_t key = random() % 20000;
        if (random() % 4) {
            table.put(key).value = std::uint64_t(step);
            model[key] = std::uint64_t(step);
        } else {
            CHECK(table.erase(key) == (model.erase(key) > 0));
        }
        if (step == 100000) {
            snapshot = table.snapshot();
            model_at_snapshot = model;
        }
    }
    CHECK(table.size() == model.size());
    for (auto& [key, value] : model) REQUIRE(table.find(key)->value == value);
    std::size_t entries_seen = 0;
    snapshot.each([&](const SessionTable::Entry& entry) {  // unaffected by later changes
        ++entries_seen;
        REQUIRE(model_at_snapshot.at(entry.key) == entry.value);
    });
    CHECK(entries_seen == model_at_snapshot.size());
}

TEST_CASE("ordered map: equal to a standard map, in order, and snapshots are unaffected by later changes") {
    std::mt19937_64 random(4);
    OrderedMap map;
    std::map<std::string, std::string> model, model_at_snapshot;
    OrderedMap::Snapshot snapshot;
    auto contents = [](const auto& ordered) {
        std::map<std::string, std::string> copy;
        std::string last_key;
        ordered.each([&](std::string_view key, const OrderedMap::Value& value) {
            CHECK((copy.empty() || last_key < key));
            last_key = key;
            copy.emplace(key, value.bytes);
        });
        return copy;
    };
    for (int step = 0; step < 20000; ++step) {
        std::string key = "k" + std::to_string(random() % 700);
        if (random() % 3) {
            map.put(key, {std::to_string(step), 1, 0});
            model[key] = std::to_string(step);
        } else {
            CHECK(map.erase(key) == (model.erase(key) > 0));
        }
        if (step == 9000) snapshot = map.snapshot(), model_at_snapshot = model;
    }
    CHECK(contents(map) == model);
    CHECK(contents(snapshot) == model_at_snapshot);
    CHECK(map.size() == model.size());
}

TEST_CASE("timing wheel: each key is due once and on time, over all levels and leaps of the clock") {
    std::mt19937_64 random(5);
    TimingWheel wheel(1000);
    std::multimap<std::uint64_t, std::uint64_t> model;
    std::uint64_t now = 1000;
    for (int step = 0; step < 20000; ++step) {
        std::uint64_t ahead = std::uint64_t(1) << random() % 27, due_s = now + 1 + random() % ahead;
        wheel.add(std::uint64_t(step), due_s);
        model.emplace(due_s, std::uint64_t(step));
        now += random() % 50;
        if (random() % 1000 == 0) now += 20'000'000;
        std::set<std::uint64_t> due, expected;
        wheel.advance(now, [&](std::uint64_t key, std::uint64_t item_due_s) {
            REQUIRE(item_due_s <= now);
            REQUIRE(due.insert(key).second);
        });
        while (!model.empty() && model.begin()->first <= now) {
            expected.insert(model.begin()->second);
            model.erase(model.begin());
        }
        REQUIRE(due == expected);
    }
    CHECK(wheel.size() == model.size());
}

// Guards against an overflow of the 31-bit expiry time of an entry: the position would be forgotten at once,
// and reads of its session could be stale.
TEST_CASE("a position that expires after 2038 is not forgotten at once") {
    Store store;
    store.put_position(1, 7, (std::uint64_t(1) << 31) * 1000 + 5000);
    store.expire(1'800'000'000'000);
    CHECK(store.position(1) == 7);
}

TEST_CASE("the memory of 300000 expired sessions is released") {
    Store store(3);
    for (std::uint64_t i = 0; i < 300000; ++i) store.put_position(i, i, 100'000 + i % 1000);
    for (std::uint64_t i = 0; i < 10; ++i) store.put_position(i, i, 10'000'000);
    store.take_write_requests();
    std::size_t before = store.sessions().bytes();
    for (std::uint64_t now = 0; now <= 256'000; now += 1000) store.expire(now);
    CHECK(store.sessions().size() == 10);
    CHECK(store.sessions().bytes() < before / 20);
    for (std::uint64_t i = 0; i < 10; ++i) CHECK(store.position(i) == i);
    store.expire(20'000'000);
    CHECK(store.size() == 0);
}

}  // namespace
}  // namespace indigovane::store
