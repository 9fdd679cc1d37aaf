#include "policy/session_tokens.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("a session's token is its newest commit") {
    SessionTokenStore store;
    CHECK(store.token(SessionKey{1}) == Time{});
    store.remember(SessionKey{1}, kStart, kStart);
    store.remember(SessionKey{1}, kStart - 1s, kStart);
    CHECK(store.token(SessionKey{1}) == kStart);
    CHECK(store.token(SessionKey{2}) == Time{});
    CHECK(store.token(std::nullopt) == Time{});
}

TEST_CASE("a token that is forgotten after a minute becomes the floor of all session reads") {
    SessionTokenStore store;
    store.remember(SessionKey{1}, kStart, kStart);
    store.remember(SessionKey{2}, kStart + 61s, kStart + 61s);
    CHECK(store.token(SessionKey{1}) == kStart);
    CHECK(store.token(SessionKey{3}) == kStart);
    CHECK(store.token(SessionKey{2}) == kStart + 61s);
    CHECK(store.snapshot().commits.size() == 1);
    CHECK(store.snapshot().floor == kStart);
}

TEST_CASE("at most 50000 tokens are remembered, and a forgotten one raises the floor") {
    SessionTokenStore store;
    for (std::uint64_t i = 0; i < 50001; ++i) store.remember(SessionKey{i}, kStart + Duration(i), kStart);
    CHECK(store.snapshot().commits.size() == 50000);
    CHECK(store.token(SessionKey{0}) == kStart);
    CHECK(store.token(SessionKey{99999}) == kStart);
}
