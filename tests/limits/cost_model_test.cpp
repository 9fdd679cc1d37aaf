// The cost model: what is learned from outcomes, what outlasts a process; and the sketch of heavy hitters.
#include "limits/cost_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

#include "limits/heavy_hitters.hpp"

namespace indigovane::limits {
namespace {

using namespace std::chrono_literals;
constexpr Time kStart{std::chrono::seconds(1000)};

TEST_CASE(
    "costs: a time-out counts as its time at least, old outcomes fade, the 95th percentile shows what a mean "
    "hides") {
    Settings settings;
    CostModel model(settings);
    GroupOutcomes group;
    Time now = kStart;
    for (int i = 0; i < 95; ++i) model.record({1, 1}, Outcome::served, 10ms, 50, group, now += 1ms);
    for (int i = 0; i < 8; ++i) model.record({1, 1}, Outcome::timed_out, 1s, 0, group, now += 1ms);
    ShapeCost cost = model.cost({1, 1}, 1ms, GroupOutcomes{}, now);
    CHECK(cost.median < 13ms);
    CHECK(cost.p95 > 800ms);
    CHECK(cost.mean > 60ms);
    now += 120s;
    for (int i = 0; i < 20; ++i) model.record({1, 1}, Outcome::served, 10ms, 50, group, now += 1ms);
    CHECK(model.cost({1, 1}, 1ms, GroupOutcomes{}, now).p95 < 13ms);
    CHECK(model.cost({2, 2}, 77ms, group, now).mean == 77ms);
    for (std::uint64_t i = 0; i < 20000; ++i) model.record({i, 3}, Outcome::served, 1ms, 0, group, now);
    CHECK(model.size() <= settings.shapes);
}

TEST_CASE("what was learned before a start is a prior: nothing to learn, and a few outcomes outweigh it") {
    Settings settings;
    CostModel before(settings), after(settings);
    GroupOutcomes group;
    for (int i = 0; i < 40; ++i) before.record({1, 1}, Outcome::served, 300ms, 0, group, kStart + i * 1ms);
    before.record({2, 2}, Outcome::served, 300ms, 0, group, kStart);
    REQUIRE(before.priors(10).size() == 1);  // one outcome is no knowledge
    Time now = kStart + 60s;
    after.load_prior(before.priors(10)[0], now);
    CHECK(after.cost({1, 1}, 1ms, group, now).state == ShapeState::costly);
    for (int i = 0; i < 12; ++i) after.record({1, 1}, Outcome::served, 10ms, 0, group, now += 1ms);
    CHECK(after.cost({1, 1}, 1ms, group, now).mean < 40ms);
    CHECK(after.cost({1, 1}, 1ms, group, now).state == ShapeState::normal);
    ShapePrior absurd{{3, 3}, ~0ull, 1, 100};
    after.load_prior(absurd, now);
    CHECK(after.size() == 1);
}

TEST_CASE(
    "heavy hitters: what weighs more than its part of the capacity is there, at no less than its weight") {
    HeavyHitters<int> hitters(16);
    std::mt19937 random(3);
    std::map<int, double> truth;
    for (int i = 0; i < 50000; ++i) {
        int key = random() % 4 == 0 ? int(random() % 3) : 100 + int(random() % 5000);
        hitters.add(key, 1 + key % 3);
        truth[key] += 1 + key % 3;
    }
    auto top = hitters.top(16);
    for (int key : {1, 2}) {
        auto it = std::find_if(top.begin(), top.end(), [&](auto& counter) { return counter.key == key; });
        REQUIRE(it != top.end());
        CHECK(it->weight >= truth[key]);
        CHECK(it->weight - it->error <= truth[key]);
    }
}

}  // namespace
}  // namespace indigovane::limits
