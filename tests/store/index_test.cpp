// The index in memory: its structures against plain ones, and expiry.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include "store/store.hpp"

namespace indigovane::store {
namespace {

TEST_CASE("sessions' table: as a plain map, through splits, removals and snapshots") {
    std::mt19937_64 random(3);
    SessionTable table;
    std::unordered_map<std::uint64_t, std::uint64_t> model, then;
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
            then = model;
        }
    }
    CHECK(table.size() == model.size());
    for (auto& [key, value] : model) REQUIRE(table.find(key)->value == value);
    std::size_t seen = 0;
    snapshot.each([&](const SessionTable::Entry& e) {  // as it was, whatever came after
        ++seen;
        REQUIRE(then.at(e.key) == e.value);
    });
    CHECK(seen == then.size());
}

TEST_CASE("the ordered map: as a plain one, in order, and snapshots stay what they were") {
    std::mt19937_64 random(4);
    OrderedMap map;
    std::map<std::string, std::string> model, then;
    OrderedMap::Snapshot snapshot;
    auto all = [](const auto& m) {
        std::map<std::string, std::string> out;
        std::string last;
        m.each([&](std::string_view key, const OrderedMap::Value& v) {
            CHECK((out.empty() || last < key));
            last = key;
            out.emplace(key, v.bytes);
        });
        return out;
    };
    for (int step = 0; step < 20000; ++step) {
        std::string key = "k" + std::to_string(random() % 700);
        if (random() % 3) {
            map.put(key, {std::to_string(step), 1, 0});
            model[key] = std::to_string(step);
        } else {
            CHECK(map.erase(key) == (model.erase(key) > 0));
        }
        if (step == 9000) snapshot = map.snapshot(), then = model;
    }
    CHECK(all(map) == model);
    CHECK(all(snapshot) == then);
    CHECK(map.size() == model.size());
}

TEST_CASE("the wheel: each key is due once, in its second, over all levels and leaps of the clock") {
    std::mt19937_64 random(5);
    TimingWheel wheel(1000);
    std::multimap<std::uint64_t, std::uint64_t> model;
    std::uint64_t now = 1000;
    for (int step = 0; step < 20000; ++step) {
        std::uint64_t ahead = std::uint64_t(1) << random() % 27, at = now + 1 + random() % ahead;
        wheel.add(std::uint64_t(step), at);
        model.emplace(at, std::uint64_t(step));
        now += random() % 50;
        if (random() % 1000 == 0) now += 20'000'000;
        std::set<std::uint64_t> due, expected;
        wheel.due(now, [&](std::uint64_t key, std::uint64_t when) {
            REQUIRE(when <= now);
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

// Fails where the 31 bits of an entry's time wrap: it would be forgotten at once, and its session's reads be
// stale.
TEST_CASE("a position retained beyond 2038 is retained until then, not forgotten at once") {
    Store store;
    store.put_position(1, 7, (std::uint64_t(1) << 31) * 1000 + 5000);
    store.expire(1'800'000'000'000);
    CHECK(store.position(1) == 7);
}

TEST_CASE("a million sessions that expire give their memory back") {
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
