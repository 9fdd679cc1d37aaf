#include "policy/endpoint_list_poll.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("the first list requests are spread over 60 ms per pooler and 600 ms more") {
    Random random(1);
    for (int i = 0; i < 100; ++i) {
        Duration delay = EndpointListPoll::first_delay(30, random);
        CHECK(delay >= 0ms);
        CHECK(delay < 2400ms);
    }
}

// Guards against a first request that a large fleet's pooler makes only after it counts as told of a drain.
TEST_CASE("the first list request comes within 2.5 s of the start in a fleet of any size") {
    Random random(1);
    for (double fleet_size : {1.0, 30.0, 300.0, 900.0}) {
        Duration latest{};
        for (int i = 0; i < 1000; ++i)
            latest = std::max(latest, EndpointListPoll::first_delay(fleet_size, random));
        CAPTURE(fleet_size);
        CHECK(latest <= 2500ms);
        if (fleet_size >= 300) CHECK(latest >= 2400ms);  // still spread over all of it
    }
}

TEST_CASE("a failed list request is repeated after a backoff with jitter that doubles up to four seconds") {
    EndpointListPoll poll;
    Random random(1);
    for (Duration backoff : {400ms, 800ms, 1600ms, 3200ms, 4000ms, 4000ms}) {
        Duration delay = poll.retry_delay(random);
        CHECK(delay >= backoff / 2);
        CHECK(delay < backoff * 3 / 2);
    }
}

TEST_CASE("a list from discovery resets the backoff, a cached list does not") {
    EndpointListPoll poll;
    Random random(1);
    for (int i = 0; i < 6; ++i) poll.retry_delay(random);
    poll.record_request();
    poll.record_list(EndpointListKind::cached);
    CHECK(poll.retry_delay(random) >= 2s);
    poll.record_list(EndpointListKind::full);
    CHECK(poll.retry_delay(random) < 600ms);
}
