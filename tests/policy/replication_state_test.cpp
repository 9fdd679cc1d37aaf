#include "policy/replication_state.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("a lower position does not replace a higher one, but its report counts as recent") {
    ReplicationState state;
    state.record_position(kStart, kStart + 1s);
    state.record_position(kStart - 1s, kStart + 2s);
    CHECK(state.position == kStart);
    CHECK(state.reported_at == kStart + 2s);
    CHECK(state.estimated_position(kStart + 3s) == kStart + 1s);
}

TEST_CASE("the newest claim of a role is valid") {
    ReplicationState state;
    state.record_primary(kStart);
    CHECK(state.primary_as_of == kStart);
    state.record_replica(kStart + 1s);
    CHECK_FALSE(state.primary_as_of);
    state.record_primary(kStart + 1s);
    CHECK_FALSE(state.primary_as_of);
    state.record_primary(kStart + 2s);
    CHECK(state.primary_as_of == kStart + 2s);
}

TEST_CASE("only a recent report proves that an endpoint lags") {
    ReplicationState state;
    state.record_position(kStart - 1s, kStart);
    CHECK(state.is_surely_behind(500ms, kStart));
    CHECK_FALSE(state.is_surely_behind(600ms, kStart));
    CHECK_FALSE(state.is_surely_behind(500ms, kStart + 400ms));
    CHECK(state.will_miss(kStart, kStart));
    CHECK_FALSE(state.will_miss(kStart - 950ms, kStart));
    CHECK_FALSE(state.will_miss(kStart, kStart + 400ms));
}

TEST_CASE("an endpoint that checks staleness is expected to keep its lag, for bounded reads to catch up") {
    ReplicationState state;
    CHECK_FALSE(is_expected_to_have(state, std::nullopt, kStart, 0ms, kStart));
    CHECK(is_expected_to_have(state, kStart - 10s, kStart, 0ms, kStart));
    CHECK_FALSE(is_expected_to_have(state, kStart - 1s, kStart, 0ms, kStart));
    state.record_position(kStart - 1s, kStart);
    CHECK(is_expected_to_have(state, std::nullopt, kStart - 1s, 0ms, kStart));
    CHECK_FALSE(is_expected_to_have(state, std::nullopt, kStart, 0ms, kStart));
    CHECK_FALSE(is_expected_to_have(state, std::nullopt, kStart, 300ms, kStart + 999ms));
    CHECK(is_expected_to_have(state, std::nullopt, kStart, 300ms, kStart + 1s));
}
