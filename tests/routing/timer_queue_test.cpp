// TimerQueue returns due timers by time, and in the order of their addition for equal times.
#include "routing/timer_queue.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {

using namespace routing;

TEST_CASE("timers: the earliest timer is returned first, and the first added among equal times") {
    TimerQueue timers;
    for (std::uint64_t id : {1, 2}) timers.add(Time(20ms), PolicyTimer{policy::TimerId{id}});
    timers.add(Time(10ms), StartDeadline{EndpointId{7}, {}});

    CHECK(timers.next() == Time(10ms));
    CHECK(std::get<StartDeadline>(*timers.take_due(Time(20ms))).endpoint == EndpointId{7});
    CHECK(std::get<PolicyTimer>(*timers.take_due(Time(20ms))).id == policy::TimerId{1});
    CHECK(std::get<PolicyTimer>(*timers.take_due(Time(20ms))).id == policy::TimerId{2});
    CHECK(!timers.next());
}

TEST_CASE("timers: a timer is not due before its time") {
    TimerQueue timers;
    timers.add(Time(20ms), PolicyTimer{});

    CHECK(!timers.take_due(Time(19ms)));
    CHECK(timers.take_due(Time(20ms)));
    CHECK(!timers.take_due(Time(20ms)));
}

}  // namespace indigovane::testing
