// The cache of statement shapes: identity, memory limit, eviction.
#include <doctest/doctest.h>

#include <cstdint>
#include <random>
#include <string>

#include "statement/statement_analyzer.hpp"

namespace indigovane::statement {
namespace {

StatementProfile numbered_profile(int number) {
    StatementProfile profile;
    profile.shape = {std::uint64_t(number), 1};
    profile.reason = "it only reads, as far as can be seen";
    return profile;
}

TEST_CASE("the cache never returns another text's profile and stays within its byte limit") {
    ShapeCache cache(256 * 1024, 1);
    std::mt19937_64 random(5);
    for (int step = 0; step < 60000; ++step) {
        int i = int(random() % (step % 2 ? 50 : 5000));
        std::string text = "select c" + std::to_string(i) + std::string(std::size_t(i % 200), 'x');
        const StatementProfile* cached = cache.find(text);
        if (!cached) cached = cache.put(text, numbered_profile(i));
        REQUIRE(cached->shape.high == std::uint64_t(i));
        REQUIRE(cache.bytes() <= 256 * 1024 + 4096);
    }
    CHECK(cache.size() > 200);
    cache.clear();
    CHECK(cache.size() == 0);
}

// A plain LRU fails: it evicts a hundred hot shapes once more one-time ones than fit have passed.
TEST_CASE("shapes used once do not evict those that are used all the time") {
    ShapeCache cache(256 * 1024, 1);
    auto look_up = [&](const std::string& text) {
        bool hit = cache.find(text) != nullptr;
        if (!hit) cache.put(text, numbered_profile(0));
        return hit;
    };
    auto hot = [](int i) { return "select hot" + std::to_string(i) + std::string(100, 'h'); };
    for (int round = 0; round < 20; ++round)
        for (int i = 0; i < 100; ++i) look_up(hot(i));
    int hits = 0;
    int lookups = 0;
    for (int once = 0; once < 20000; ++once) {
        look_up("select cold" + std::to_string(once) + std::string(100, 'c'));
        if (once % 20 == 0) {
            hits += look_up(hot(once / 20 % 100));
            ++lookups;
        }
    }
    CHECK(hits > lookups * 9 / 10);
}

}  // namespace
}  // namespace indigovane::statement
