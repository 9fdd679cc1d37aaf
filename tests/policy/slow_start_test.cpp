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
