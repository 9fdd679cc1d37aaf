// Tests of the shape cache: it returns the profile of exactly the text, keeps to its memory limit, and evicts
// rarely used shapes first.
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

TEST_CASE("the shape cache never returns the profile of another text and stays within its memory limit") {
    ShapeCache cache(256 * 1024, 1);
    std::mt19937_64 random(5);
    for (int step = 0; step < 60000; ++step) {
        int number = int(random() % (step % 2 ? 50 : 5000));
        std::string text = "select c" + std::to_string(number) + std::string(std::size_t(number % 200), 'x');
        const StatementProfile* cached = cache.find(text);
        if (!cached) cached = cache.put(text, numbered_profile(number));
        REQUIRE(cached->shape.high == std::uint64_t(number));
        REQUIRE(cache.bytes() <= 256 * 1024 + 4096);
    }
    CHECK(cache.size() > 200);
    cache.clear();
    CHECK(cache.size() == 0);
}

// Guards against eviction in order of use alone: a plain LRU evicts a hundred frequent shapes as soon as more
// shapes that are used once have passed than fit into the cache.
TEST_CASE("shapes that are used once do not evict shapes that are used often") {
    ShapeCache cache(256 * 1024, 1);
    auto look_up = [&](const std::string& text) {
        bool hit = cache.find(text) != nullptr;
        if (!hit) cache.put(text, numbered_profile(0));
        return hit;
    };
    auto frequent_statement = [](int i) { return "select hot" + std::to_string(i) + std::string(100, 'h'); };
    for (int round = 0; round < 20; ++round)
        for (int i = 0; i < 100; ++i) look_up(frequent_statement(i));
    int hits = 0;
    int lookups = 0;
    for (int i = 0; i < 20000; ++i) {
        look_up("select cold" + std::to_string(i) + std::string(100, 'c'));
        if (i % 20 == 0) {
            hits += look_up(frequent_statement(i / 20 % 100));
            ++lookups;
        }
    }
    CHECK(hits > lookups * 9 / 10);
}

}  // namespace
}  // namespace indigovane::statement
