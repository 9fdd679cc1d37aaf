// Concurrency limits of shapes, and the comparison of a shape with the other shapes of its group.
#include "limits/shape_caps.hpp"

#include <doctest/doctest.h>

namespace indigovane::limits {
namespace {

using namespace std::chrono_literals;
constexpr Time kStart{std::chrono::seconds(1000)};

ShapeCost cost_of(ShapeState state, Duration p95) {
    ShapeCost cost;
    cost.state = state;
    cost.p95 = p95;
    return cost;
}

TEST_CASE("the concurrency limit of a shape depends on its state, and is at least one") {
    Settings settings;
    settings.work = 1000ms;
    settings.shape_share = 0.25;
    settings.trial = 2;
    CHECK_FALSE(shape_cap(cost_of(ShapeState::normal, 10ms), settings));
    CHECK(shape_cap(cost_of(ShapeState::learning, 10ms), settings) == 2);
    CHECK(shape_cap(cost_of(ShapeState::costly, 50ms), settings) == 5);
    CHECK(shape_cap(cost_of(ShapeState::costly, 10s), settings) == 1);
    CHECK(shape_cap(cost_of(ShapeState::quarantined, 10ms), settings) == 1);
}

TEST_CASE("shapes in flight are counted for each group and for all groups together") {
    ShapesInFlight shapes;
    shapes.add(1, {7, 7});
    shapes.add(1, {7, 7});
    shapes.add(2, {7, 7});
    shapes.remove(1, {7, 7});
    CHECK(shapes.count(1, {7, 7}) == 1);
    CHECK(shapes.count(3, {7, 7}) == 0);
    CHECK(shapes.count({7, 7}) == 2);
}

TEST_CASE("the outcomes of a group exclude the shape that is compared with them, and fade") {
    GroupOutcomes group;
    DecayedOutcomes own;
    for (int i = 0; i < 8; ++i) {
        own.add(true, 500ms, 10ms, kStart);
        group.record(true, 500ms, 10ms, kStart);
    }
    CHECK(group.others_timeout_rate(own, kStart) == 1);  // there are no other shapes to compare with
    for (int i = 0; i < 8; ++i) group.record(false, 20ms, 10ms, kStart);
    CHECK(group.others_timeout_rate(own, kStart) == doctest::Approx(0));
    CHECK(group.others_slowdown(own, kStart) == doctest::Approx(2));
    CHECK(group.others_slowdown(own, kStart + 60s) == 1);
}

}  // namespace
}  // namespace indigovane::limits
