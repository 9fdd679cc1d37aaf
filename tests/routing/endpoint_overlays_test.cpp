// EndpointOverlays combines exclusions and readmissions by operators and by lost sites.
#include "routing/endpoint_overlays.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using policy::EndpointState;

constexpr EndpointId kEndpoint{3};

struct OverlayFixture {
    Clock clock;
    EndpointOverlays overlays;
    EndpointInfo info;
    OverlayFixture() { info.uid = "s-3"; }
    policy::EndpointEntry entry() const { return overlays.apply(kEndpoint, info, clock); }
};

}  // namespace

TEST_CASE("overlays: an endpoint that operators and its site excluded drains until both readmit it") {
    OverlayFixture fixture;
    EndpointOverlays& overlays = fixture.overlays;
    CHECK(fixture.entry().state == EndpointState::ready);

    overlays.set_operator_exclusions({"s-3"}, Time(1s));
    overlays.exclude_by_site(kEndpoint);
    CHECK(fixture.entry().state == EndpointState::draining);
    overlays.set_operator_exclusions({}, Time(2s));
    CHECK(fixture.entry().state == EndpointState::draining);
    overlays.readmit_by_site(kEndpoint, std::nullopt);
    CHECK(fixture.entry().state == EndpointState::ready);
}

TEST_CASE("overlays: an exclusion doesn't change the state of an endpoint that is gone") {
    OverlayFixture fixture;
    fixture.info.state = EndpointState::gone;

    fixture.overlays.exclude_by_site(kEndpoint);

    CHECK(fixture.entry().state == EndpointState::gone);
}

TEST_CASE(
    "overlays: an endpoint counts as started at its start or its latest readmission, whichever is later") {
    OverlayFixture fixture;
    EndpointOverlays& overlays = fixture.overlays;
    CHECK(!fixture.entry().started);

    overlays.merge_operator_readmission("s-3", Time(5s));
    overlays.merge_operator_readmission("s-3", Time(4s));
    CHECK(fixture.entry().started == Time(5s));
    overlays.readmit_by_site(kEndpoint, Time(6s));
    CHECK(fixture.entry().started == Time(6s));
    overlays.readmit_by_site(kEndpoint, std::nullopt);
    CHECK(fixture.entry().started == Time(6s));
    overlays.forget(kEndpoint);
    CHECK(fixture.entry().started == Time(5s));
    overlays.forget_operator_readmissions(Time(5001ms));
    CHECK(!fixture.entry().started);
}

TEST_CASE("overlays: a new set of exclusions returns the changed uids, readmitted ones first") {
    EndpointOverlays overlays;
    overlays.set_operator_exclusions({"a", "b"}, Time(1s));

    auto changed = overlays.set_operator_exclusions({"b", "c"}, Time(2s));

    CHECK(changed == std::vector<std::string>{"a", "c"});
    CHECK(overlays.operator_readmissions() == EndpointOverlays::Readmissions{{"a", Time(2s)}});
}

}  // namespace indigovane::testing
