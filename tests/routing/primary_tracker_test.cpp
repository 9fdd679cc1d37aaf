// PrimaryTracker reports changes of primaries and judges the age of gossip.
#include "routing/primary_tracker.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {

using namespace routing;

TEST_CASE("primaries: a change is reported once, and the first primary and older evidence are not") {
    PrimaryTracker primaries;
    std::vector<Time> reported_times;
    primaries.set_observer([&](const EndpointInfo&, Time as_of) { reported_times.push_back(as_of); });

    primaries.record(EndpointId{1}, {}, Time(10s));
    primaries.record(EndpointId{2}, {}, Time(9s));
    primaries.record(EndpointId{1}, {}, Time(11s));
    CHECK(reported_times.empty());
    primaries.record(EndpointId{2}, {}, Time(12s));
    primaries.record(EndpointId{2}, {}, Time(13s));
    CHECK(reported_times == std::vector{Time(12s)});
}

TEST_CASE("primaries: gossip is recent if it is at most five seconds old or ahead of the clock") {
    CHECK(PrimaryTracker::is_recent(Time(5s), Time(10s)));
    CHECK(!PrimaryTracker::is_recent(Time(4999ms), Time(10s)));
    CHECK(PrimaryTracker::is_recent(Time(15s), Time(10s)));
    CHECK(!PrimaryTracker::is_recent(Time(15001ms), Time(10s)));
}

}  // namespace indigovane::testing
