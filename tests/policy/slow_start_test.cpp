#include "policy/slow_start.hpp"

#include <doctest/doctest.h>

#include "policy/endpoint_capacity.hpp"
#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

namespace {

Settings ramp_settings() {
    Settings settings;
    settings.slow_start_share = 0.2;
    settings.slow_start_ramp = 10s;
    settings.overload_multiple = 2;
    return settings;
}

}  // namespace

TEST_CASE("an endpoint is in slow start from its start to the end of the ramp") {
    CHECK(in_slow_start(kStart, ramp_settings(), kStart + 9999ms));
    CHECK_FALSE(in_slow_start(kStart, ramp_settings(), kStart + 10s));
    CHECK_FALSE(in_slow_start(std::nullopt, ramp_settings(), kStart));
    CHECK_FALSE(in_slow_start(kStart, Settings{}, kStart));
}

TEST_CASE("the available share grows linearly, and stays below what would overload the endpoint") {
    CHECK(available_share(kStart, ramp_settings(), kStart) == doctest::Approx(0.56 * 2 * 0.2));
    CHECK(available_share(kStart, ramp_settings(), kStart + 5s) == doctest::Approx(0.56 * 2 * 0.6));
    CHECK(available_share(kStart, ramp_settings(), kStart - 1s) == doctest::Approx(0.56 * 2 * 0.2));
}

TEST_CASE("an endpoint in slow start has capacity for requests whose random number is below its share") {
    EndpointTable table = make_table(3);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Endpoint& primary = *table.find(EndpointId{0});
    Endpoint& replica = *table.find(EndpointId{1});
    primary.started = kStart;
    replica.started = kStart;
    Request write = make_request(class_settings(Consistency::write), 4, 0.22);
    Request read = make_request(class_settings(Consistency::any), 4, 0.22);
    CHECK(has_capacity(primary, {group, &primary, 1}, write, ramp_settings(), kStart));
    CHECK(has_capacity(replica, {group, &primary, 2}, read, ramp_settings(), kStart));
    // As the only candidate, a replica gets no more than its part of the group's reads.
    CHECK_FALSE(has_capacity(replica, {group, &primary, 1}, read, ramp_settings(), kStart));
    write.slow_start_draw = 0.23;
    CHECK_FALSE(has_capacity(primary, {group, &primary, 1}, write, ramp_settings(), kStart));
    CHECK(has_capacity(primary, {group, &primary, 1}, write, ramp_settings(), kStart + 5s));
}

// Guards against cold hosts that get several times their share because each retry of a client, and each
// further attempt of the pooler, had a chance of its own.
TEST_CASE(
    "clients that retry three times at once add less to an endpoint in slow start than its safety factor") {
    EndpointTable table = make_table(2);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Endpoint& primary = *table.find(EndpointId{0});
    Endpoint& replica = *table.find(EndpointId{1});
    replica.started = kStart - 1s;
    const double share = available_share(*replica.started, ramp_settings(), kStart);
    Random random(1);
    int sent = 0;
    constexpr int kClients = 20000;
    for (int client = 0; client < kClients; ++client)
        for (int retry = 0; retry < 4; ++retry) {
            Request read = make_request(class_settings(Consistency::any), 4, uniform(random), retry > 0);
            if (!has_capacity(replica, {group, &primary, 1}, read, ramp_settings(), kStart)) continue;
            ++sent;
            break;
        }
    CHECK(double(sent) / kClients >= share);
    CHECK(double(sent) / kClients <= share / 0.56 * 0.95);
    // A retry that waits passes with what becomes available meanwhile, as a first request does.
    int passed_later = 0;
    for (int client = 0; client < kClients; ++client) {
        Request retry = make_request(class_settings(Consistency::any), 4, uniform(random), true);
        passed_later += has_capacity(replica, {group, &primary, 1}, retry, ramp_settings(), kStart + 2s);
    }
    const double share_later = available_share(*replica.started, ramp_settings(), kStart + 2s);
    const double chance = share / 4;
    const double expected = chance + (1 - chance) * (share_later - share) / (1 - share);
    CHECK(double(passed_later) / kClients == doctest::Approx(expected).epsilon(0.03));
    Request retry = make_request(class_settings(Consistency::any), 4, 0.99, true);
    CHECK(has_capacity(replica, {group, &primary, 1}, retry, ramp_settings(), kStart + 9s));
}

TEST_CASE("a further attempt of a request has a smaller part of an endpoint's share in slow start") {
    EndpointTable table = make_table(3);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Endpoint& primary = *table.find(EndpointId{0});
    Endpoint& first = *table.find(EndpointId{1});
    Endpoint& second = *table.find(EndpointId{2});
    first.started = second.started = kStart;
    for (double draw : {0.11, 0.12}) {  // the share is 0.224
        Request read = make_request(class_settings(Consistency::any), 4, draw);
        CHECK(has_capacity(second, {group, &primary, 2}, read, ramp_settings(), kStart));
        run_attempt(read, first, AttemptStatus::rejected);
        CHECK(has_capacity(second, {group, &primary, 2}, read, ramp_settings(), kStart) == (draw < 0.112));
    }
}

TEST_CASE("reads may use three quarters of a primary's window") {
    EndpointTable table = make_table(2);
    ReplicaGroup& group = *table.find_group(GroupId{1});
    Endpoint& primary = *table.find(EndpointId{0});
    primary.in_flight = 5;
    CHECK(has_capacity(primary, {group, &primary, 1}, make_request(class_settings(Consistency::write)), {},
                       kStart));
    CHECK_FALSE(has_capacity(primary, {group, &primary, 1},
                             make_request(class_settings(Consistency::session)), {}, kStart));
}
