// Cost model: learning from outcomes, and costs stored across restarts. Also the sketch of heavy hitters.
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
    "costs: a timeout counts with at least its duration, old outcomes fade, the 95th percentile shows rare "
    "slow requests") {
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

TEST_CASE("costs: a stored cost counts as learned after a restart, and a few new outcomes outweigh it") {
    Settings settings;
    CostModel old_model(settings), new_model(settings);
    GroupOutcomes group;
    for (int i = 0; i < 40; ++i) old_model.record({1, 1}, Outcome::served, 300ms, 0, group, kStart + i * 1ms);
    old_model.record({2, 2}, Outcome::served, 300ms, 0, group, kStart);
    REQUIRE(old_model.priors(10).size() == 1);  // a shape with one outcome is not learned
    Time now = kStart + 60s;
    new_model.load_prior(old_model.priors(10)[0], now);
    CHECK(new_model.cost({1, 1}, 1ms, group, now).state == ShapeState::costly);
    for (int i = 0; i < 12; ++i) new_model.record({1, 1}, Outcome::served, 10ms, 0, group, now += 1ms);
    CHECK(new_model.cost({1, 1}, 1ms, group, now).mean < 40ms);
    CHECK(new_model.cost({1, 1}, 1ms, group, now).state == ShapeState::normal);
    ShapePrior implausible{{3, 3}, ~0ull, 1, 100};
    new_model.load_prior(implausible, now);
    CHECK(new_model.size() == 1);
}

TEST_CASE(
    "heavy hitters: a key with more than 1/capacity of the total weight has a counter, and its weight "
    "is not too low") {
    HeavyHitters<int> heavy_hitters(16);
    std::mt19937 random(3);
    std::map<int, double> exact_weights;
    for (int i = 0; i < 50000; ++i) {
        int key = random() % 4 == 0 ? int(random() % 3) : 100 + int(random() % 5000);
        heavy_hitters.add(key, 1 + key % 3);
        exact_weights[key] += 1 + key % 3;
    }
    auto top = heavy_hitters.top(16);
    for (int key : {1, 2}) {
        auto it = std::find_if(top.begin(), top.end(), [&](auto& counter) { return counter.key == key; });
        REQUIRE(it != top.end());
        CHECK(it->weight >= exact_weights[key]);
        CHECK(it->weight - it->error <= exact_weights[key]);
    }
}

}  // namespace
}  // namespace indigovane::limits
