// What operators and lost sites lay over the endpoint list.
#include "routing/endpoint_overlays.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using policy::EndpointState;

constexpr EndpointId kEndpoint{3};

struct Overlaid {
    Clock clock;
    EndpointOverlays overlays;
    EndpointInfo info;
    Overlaid() { info.uid = "s-3"; }
    policy::EndpointEntry entry() const { return overlays.apply(kEndpoint, info, clock); }
};

}  // namespace

TEST_CASE("overlays: whoever excludes an endpoint, it drains until all have readmitted it") {
    Overlaid overlaid;
    EndpointOverlays& overlays = overlaid.overlays;
    CHECK(overlaid.entry().state == EndpointState::ready);

    overlays.set_operator_exclusions({"s-3"}, Time(1s));
    overlays.exclude_by_site(kEndpoint);
    CHECK(overlaid.entry().state == EndpointState::draining);
    overlays.set_operator_exclusions({}, Time(2s));
    CHECK(overlaid.entry().state == EndpointState::draining);
    overlays.readmit_by_site(kEndpoint, std::nullopt);
    CHECK(overlaid.entry().state == EndpointState::ready);
}

TEST_CASE("overlays: what the list says is gone stays gone") {
    Overlaid overlaid;
    overlaid.info.state = EndpointState::gone;

    overlaid.overlays.exclude_by_site(kEndpoint);

    CHECK(overlaid.entry().state == EndpointState::gone);
}

TEST_CASE("overlays: an endpoint counts as started at the latest of its start and its readmissions") {
    Overlaid overlaid;
    EndpointOverlays& overlays = overlaid.overlays;
    CHECK(!overlaid.entry().started);

    overlays.merge_operator_readmission("s-3", Time(5s));
    overlays.merge_operator_readmission("s-3", Time(4s));
    CHECK(overlaid.entry().started == Time(5s));
    overlays.readmit_by_site(kEndpoint, Time(6s));
    CHECK(overlaid.entry().started == Time(6s));
    overlays.readmit_by_site(kEndpoint, std::nullopt);
    CHECK(overlaid.entry().started == Time(6s));
    overlays.forget(kEndpoint);
    CHECK(overlaid.entry().started == Time(5s));
    overlays.forget_operator_readmissions(Time(5001ms));
    CHECK(!overlaid.entry().started);
}

TEST_CASE("overlays: a new set of exclusions names whom it changes, readmitted endpoints first") {
    EndpointOverlays overlays;
    overlays.set_operator_exclusions({"a", "b"}, Time(1s));

    auto changed = overlays.set_operator_exclusions({"b", "c"}, Time(2s));

    CHECK(changed == std::vector<std::string>{"a", "c"});
    CHECK(overlays.operator_readmissions() == EndpointOverlays::Readmissions{{"a", Time(2s)}});
}

}  // namespace indigovane::testing
