// The example of README.md, compiled and run by the tests.
#include <gtest/gtest.h>

#include <starlingpond/brain.hpp>

using namespace starlingpond;
using namespace std::chrono_literals;

TEST(LinkExample, AProxyServesARead) {
    Settings settings;
    settings.fleet_size = 1;
    settings.probes = true;
    ClassSettings lookups;
    lookups.consistency = Consistency::any;
    lookups.effect = Effect::safe;
    lookups.aim = 200ms;
    lookups.deadline = 1s;
    settings.classes.push_back(lookups);

    Time now{10s};
    Brain brain(settings, /*seed=*/42, now);
    Actions actions;
    List list{ListKind::full, {}};
    list.entries.push_back({MemberId{1}, GroupId{7}, ZoneId{}, MemberState::ready, true, std::nullopt});
    list.entries.push_back({MemberId{2}, GroupId{7}, ZoneId{}, MemberState::ready, false, std::nullopt});
    brain.handle(now, list, actions);

    Request read;
    read.id = RequestId{1};
    read.cls = ClassId{0};
    read.group = GroupId{7};
    read.patience = 1s;
    brain.handle(now, read, actions);

    bool sent = false;
    for (const Action& action : actions)  // a proxy carries these out: sends, probes, timers, answers
        if (const auto* send = std::get_if<Send>(&action)) sent = send->member == MemberId{2};
    EXPECT_TRUE(sent);
}
