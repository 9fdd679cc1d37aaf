// The routing policy as a whole: endpoint lists and settings.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "policy/emulated_pooler.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST(EndpointLists, AnEndpointThatDrainsOrIsGoneGetsNoNewRequests) {
    for (bool full : {false, true})
        for (EndpointState state : {EndpointState::draining, EndpointState::gone}) {
            EmulatedPooler pooler;
            pooler.add_group(3);
            if (full)
                pooler.apply_list(EndpointListKind::full,
                                  {EmulatedPooler::entry(1), EmulatedPooler::entry(2)});
            else
                pooler.apply_list(EndpointListKind::changes, {EmulatedPooler::entry(0, state)});
            RequestId id = pooler.request(kWrite, 3s);
            pooler.advance(3s);
            EXPECT_EQ(pooler.last_attempt(id), nullptr);
        }
}

TEST(EndpointLists, AFailedListRequestIsRepeatedWithBackoff) {
    Settings settings = usual_settings();
    settings.endpoint_list_mode = EndpointListMode::polled;
    EmulatedPooler pooler(settings);
    pooler.apply_list(EndpointListKind::cached, {EmulatedPooler::entry(0)});
    pooler.advance(1s);
    EXPECT_EQ(pooler.watches, 1);
    pooler.apply_list(EndpointListKind::failed, {});
    pooler.advance(1s);
    EXPECT_EQ(pooler.watches, 2);
    for (int i = 0; i < 20; ++i) {
        pooler.apply_list(EndpointListKind::failed, {});
        pooler.advance(10s);
    }
    EXPECT_EQ(pooler.watches, 22);  // one list request per failure
}

TEST(EndpointLists, WhereRemovalDoesNotBindAnEndpointThatLeftWithoutDrainingStaysInUse) {
    Settings settings = usual_settings();
    settings.removal_binds = false;
    EmulatedPooler pooler(settings);
    pooler.add_group(2);
    pooler.apply_list(EndpointListKind::full, {});
    EXPECT_EQ(pooler.target(pooler.request(kWrite, 3s)), kPrimary);
    pooler.apply_list(EndpointListKind::changes, {EmulatedPooler::entry(0, EndpointState::draining)});
    pooler.apply_list(EndpointListKind::full, {});
    EXPECT_EQ(pooler.last_attempt(pooler.request(kWrite, 3s)), nullptr);
}

// A list of 10,000 endpoints with duplicates, then a list of 700 changes, then an empty list.
TEST(EndpointLists, AListOf10000EndpointsIsAppliedAndAnEmptyOneLeavesNoEndpoint) {
    EmulatedPooler pooler;
    std::vector<EndpointEntry> entries;
    for (std::uint32_t i = 0; i < 10000; ++i) {
        entries.push_back(EmulatedPooler::entry(i));
        entries.back().group = GroupId{i / 5};
        entries.back().primary = i % 5 == 0;
        if (i % 7 == 0) entries.push_back(entries.back());
    }
    pooler.apply_list(EndpointListKind::full, entries);
    RequestId id = pooler.request(kAny, 1s, std::nullopt, std::nullopt, 1999);
    EXPECT_GE(std::uint32_t(pooler.target(id)), 9995u);
    EXPECT_LE(pooler.health_checks, 5);  // only endpoints of its group
    pooler.serve(id);
    for (EndpointEntry& listed : entries) listed.state = EndpointState::gone;
    pooler.apply_list(EndpointListKind::changes,
                      std::vector<EndpointEntry>(entries.begin(), entries.begin() + 700));
    EXPECT_EQ(pooler.last_attempt(pooler.request(kAny, 1s, std::nullopt, std::nullopt, 3)), nullptr);
    EXPECT_NE(pooler.last_attempt(pooler.request(kAny, 1s, std::nullopt, std::nullopt, 1999)), nullptr);
    pooler.apply_list(EndpointListKind::full, {});
    EXPECT_EQ(pooler.last_attempt(pooler.request(kAny, 1s, std::nullopt, std::nullopt, 1999)), nullptr);
}

TEST(Settings, ByDefaultNoHealthChecksListRequestsOrCancellations) {
    EmulatedPooler pooler{Settings{}};
    pooler.apply_list(EndpointListKind::full, {EmulatedPooler::entry(0)});
    pooler.request(0);
    pooler.advance(3s);
    EXPECT_EQ(pooler.health_checks, 0);
    EXPECT_EQ(pooler.watches, 0);
    EXPECT_TRUE(pooler.cancels.empty());
}

// Guards against a division by a setting that is zero or absent, which would stop all requests.
TEST(Settings, ZeroOrAbsentNumbersDoNotStopRequests) {
    for (bool absent : {false, true}) {
        Settings settings = usual_settings();
        settings.fleet_size = 0;
        settings.health_check_price = 0;
        settings.slow_start_share = 0.5;
        settings.slow_start_ramp = 0ms;
        settings.overload_multiple = 0;
        if (absent) {
            settings.fleet_size.reset();
            settings.health_check_price.reset();
            settings.slow_start_ramp.reset();
            settings.overload_multiple.reset();
        }
        for (Duration ramp : {0ms, 10000ms}) {
            if (!absent) settings.slow_start_ramp = ramp;
            EmulatedPooler pooler(settings);
            pooler.add_group(3);
            for (std::uint32_t index : {0, 1, 2})
                pooler.apply_list(EndpointListKind::changes,
                                  {EmulatedPooler::entry(index, EndpointState::ready, pooler.now)});
            int sent = 0;
            for (int i = 0; i < 200; ++i) {
                RequestId id = pooler.request(kAny);
                sent += pooler.last_attempt(id) != nullptr;
                pooler.end_attempt(id, AttemptStatus::ok);
            }
            EXPECT_GT(sent, 20);
        }
    }
}
