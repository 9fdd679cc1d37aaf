// Recovery ramp: when the hosts of a site are readmitted.
#include "site/recovery_ramp.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

constexpr Time kStart{seconds(100)};
constexpr Duration kProbeInterval = milliseconds(250);

std::vector<Host> hosts_of_groups(std::initializer_list<std::uint32_t> groups) {
    std::vector<Host> hosts;
    for (std::uint32_t group : groups) {
        Host host;
        host.id = HostId{std::uint32_t(hosts.size())};
        host.group = GroupId{group};
        hosts.push_back(host);
    }
    return hosts;
}

double equal_load(GroupId /*group*/) {
    return 1;
}

TEST_CASE(
    "recovery ramp: a draw below the initial share readmits a host at once, other draws set its time in the "
    "ramp") {
    RecoveryRamp ramp;
    double draws[] = {0.01, 0.5};
    int draw_count = 0;
    ramp.start(
        hosts_of_groups({0, 0}), equal_load, {seconds(4), 0.05, false}, [&] { return draws[draw_count++]; },
        kStart);

    CHECK(ramp.take_due_hosts(kStart, kProbeInterval).to_readmit == std::vector{HostId{0}});
    CHECK(ramp.take_due_hosts(kStart + milliseconds(1999), kProbeInterval).to_readmit.empty());
    CHECK(ramp.take_due_hosts(kStart + seconds(2), kProbeInterval).to_readmit == std::vector{HostId{1}});
    CHECK(ramp.is_finished());
}

TEST_CASE("recovery ramp: hosts of the groups with the highest load ratio are readmitted first") {
    RecoveryRamp ramp;
    auto load_ratio = [](GroupId group) { return group == GroupId{1} ? 2.0 : 1.0; };
    ramp.start(
        hosts_of_groups({0, 1}), load_ratio, {seconds(4), 0, false}, [] { return 0.0; }, kStart);

    CHECK(ramp.take_due_hosts(kStart, kProbeInterval).to_readmit == std::vector{HostId{1}});
    CHECK(ramp.take_due_hosts(kStart + seconds(1), kProbeInterval).to_readmit == std::vector{HostId{0}});
}

TEST_CASE(
    "recovery ramp: a host that must answer first is probed once per interval and readmitted after its "
    "answer") {
    RecoveryRamp ramp;
    ramp.start(
        hosts_of_groups({0}), equal_load, {seconds(4), 0, true}, [] { return 0.0; }, kStart);

    CHECK(ramp.take_due_hosts(kStart, kProbeInterval).to_probe == std::vector{HostId{0}});
    CHECK(ramp.take_due_hosts(kStart + kProbeInterval / 2, kProbeInterval).to_probe.empty());
    CHECK(ramp.take_due_hosts(kStart + kProbeInterval, kProbeInterval).to_probe == std::vector{HostId{0}});
    ramp.record_answer(HostId{0});
    CHECK(ramp.take_due_hosts(kStart + kProbeInterval, kProbeInterval).to_readmit == std::vector{HostId{0}});
}

}  // namespace
}  // namespace indigovane::site
