// A minimal user of the routing policy, which links nothing else of this project. Compiled and run as a test.
#include <gtest/gtest.h>

#include "policy/routing_policy.hpp"

using namespace indigovane::policy;
using namespace std::chrono_literals;

TEST(LinkExample, APoolerSendsAReadToAReplica) {
    Settings settings;
    settings.fleet_size = 1;
    settings.may_check_health = true;
    ClassSettings lookups;
    lookups.consistency = Consistency::any;
    lookups.idempotency = Idempotency::idempotent;
    lookups.latency_objective = 200ms;
    lookups.deadline = 1s;
    settings.classes.push_back(lookups);

    Time now{10s};
    RoutingPolicy policy(settings, /*seed=*/42, now);
    Actions actions;
    EndpointList list{EndpointListKind::full, {}};
    list.entries.push_back({EndpointId{1}, GroupId{7}, ZoneId{}, EndpointState::ready, true, std::nullopt});
    list.entries.push_back({EndpointId{2}, GroupId{7}, ZoneId{}, EndpointState::ready, false, std::nullopt});
    policy.handle(now, list, actions);

    RequestArrival read;
    read.id = RequestId{1};
    read.request_class = ClassId{0};
    read.group = GroupId{7};
    read.client_timeout = 1s;
    policy.handle(now, read, actions);

    bool sent = false;
    // A pooler performs all actions: sends, health checks, timers, final answers.
    for (const Action& action : actions)
        if (const auto* send = std::get_if<SendAttempt>(&action)) sent = send->endpoint == EndpointId{2};
    EXPECT_TRUE(sent);
}
