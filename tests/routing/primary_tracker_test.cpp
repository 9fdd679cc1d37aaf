// Which primaries are reported to other poolers.
#include "routing/primary_tracker.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {

using namespace routing;

TEST_CASE("primaries: a change is reported once, the first primary and older evidence never") {
    PrimaryTracker primaries;
    std::vector<Time> reported;
    primaries.set_observer([&](const EndpointInfo&, Time as_of) { reported.push_back(as_of); });

    primaries.record(EndpointId{1}, {}, Time(10s));
    primaries.record(EndpointId{2}, {}, Time(9s));
    primaries.record(EndpointId{1}, {}, Time(11s));
    CHECK(reported.empty());
    primaries.record(EndpointId{2}, {}, Time(12s));
    primaries.record(EndpointId{2}, {}, Time(13s));
    CHECK(reported == std::vector{Time(12s)});
}

TEST_CASE("primaries: gossip counts for five seconds, with clocks that differ by as much") {
    CHECK(PrimaryTracker::is_recent(Time(5s), Time(10s)));
    CHECK(!PrimaryTracker::is_recent(Time(4999ms), Time(10s)));
    CHECK(PrimaryTracker::is_recent(Time(15s), Time(10s)));
    CHECK(!PrimaryTracker::is_recent(Time(15001ms), Time(10s)));
}

}  // namespace indigovane::testing
