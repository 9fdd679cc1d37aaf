// The codec, and whole frames through the host.
#include "simulator/codec.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <type_traits>

using namespace indigovane::policy;
using namespace indigovane::simulator;
using namespace std::chrono_literals;

namespace {

struct HostRun {
    int code;
    std::string out, err;
};

std::string slurp(const std::string& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

HostRun host(const std::string& input) {
    std::string base =
        testing::TempDir() + "host-" + testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ofstream(base + ".in") << input;
    std::string command =
        std::string(SIMULATOR_ADAPTER) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
    int status = std::system(command.c_str());
    return {WEXITSTATUS(status), slurp(base + ".out"), slurp(base + ".err")};
}

const char* kOpen =
    "OPEN_INSTANCE proxy=3 nonce64=5138197539985895 allowed.probing=true allowed.cancel=true classes.count=2 "
    "classes.0.effect=retryable classes.0.sloMs=300.0 classes.0.hardLimitMs=1200.0 classes.0.group=all "
    "classes.1.effect=fragile classes.1.sloMs=1000.0 classes.1.hardLimitMs=3000.0 "
    "familyInfo.consistency=recent,update familyInfo.oldestDataMs=300.0,0.0 familyInfo.baseTimeMs=1000.5 "
    "familyInfo.sessionMarks=client familyInfo.serverChecks=reject registryMode=automatic fleetSize=2 "
    "novel.thing=7";
const char* kLists =
    "ROSTER list=0 nodesList=2\n"
    "M database=10.0.0.1:8083 rackZone=0 kind=0 set=11 health=1 leads=1 units=1\n"
    "M database=10.0.0.2:8083 rackZone=0 kind=0 set=11 health=1 leads=0 units=1.5 cameUpMs=6100.0 color=red\n"
    "TARGETS proxy=3 mode=2 revision=41 list=0\n";

}  // namespace

// A line keeps views into its text: a temporary string would be gone before they are read.
static_assert(!std::is_constructible_v<Line, std::string>);
static_assert(std::is_constructible_v<Line, const std::string&>);

TEST(Frame, FieldsInAnyOrderAndBadOnesNamed) {
    Line line("ORDER txn=7 proxy=3");
    EXPECT_EQ(line.name(), "ORDER");
    EXPECT_EQ(line.require("txn"), "7");
    EXPECT_FALSE(line.find("absent"));
    EXPECT_THROW(line.require("absent"), Malformed);
    EXPECT_THROW(Line("ORDER txn"), Malformed);
    EXPECT_THROW(to_count("-1"), Malformed);
    EXPECT_THROW(to_number("nan"), Malformed);
    EXPECT_THROW(to_number("12x"), Malformed);
    EXPECT_EQ(to_micros("412.5"), 412500);
    EXPECT_EQ(from_micros(80000), "80.000");
    EXPECT_EQ(to_hex("91f03b7c55d20a64"), 0x91f03b7c55d20a64u);
}

TEST(Codec, Settings) {
    Line line{kOpen};
    Settings s = read_settings(line);
    ASSERT_EQ(s.classes.size(), 2u);
    EXPECT_EQ(s.classes[0].consistency, Consistency::bounded);
    EXPECT_EQ(s.classes[0].staleness_bound, 300ms);
    EXPECT_EQ(s.classes[1].idempotency, Idempotency::not_idempotent);
    EXPECT_EQ(s.staleness_check, StalenessCheck::refuse);
    EXPECT_EQ(s.fleet_size, 2u);
    EXPECT_FALSE(s.hedging.has_value());
    EXPECT_EQ(read_position_origin(line).micros, 1000500);
}

TEST(Codec, OutcomesNotesAndReports) {
    EndpointNames names;
    AttemptOutcome o =
        read_outcome(Line("DONE proxy=3 txn=9 lagMs=18.5 database=a:1 rc=OK progress=25486 last=1 hop=2 "
                          "serverStats=x0:1.5,x1:1,concurrent:3,novel:9"),
                     PositionOrigin{1000000}, names);
    EXPECT_EQ(o.attempt, 2u);
    EXPECT_EQ(o.status, AttemptStatus::ok);
    EXPECT_TRUE(o.is_request_finished);
    EXPECT_EQ(o.role, Role::replica);
    EXPECT_EQ(o.position, Time(1000000us + 6371ms));
    EXPECT_EQ(o.report.position, Time(1000000us + 1500ms));
    EXPECT_EQ(o.report.primary, true);
    EXPECT_EQ(o.report.in_flight, 3);
    AttemptOutcome without_position = read_outcome(
        Line("DONE proxy=3 txn=9 lagMs=1 database=a:1 rc=NOT_FOUND progress=1 hop=0"), {}, names);
    EXPECT_EQ(without_position.role, Role::primary);
    EXPECT_FALSE(without_position.position);
    EXPECT_THROW(read_outcome(Line("DONE proxy=3 txn=9 database=a:1 rc=WHAT hop=0"), {}, names), Malformed);
}

TEST(Codec, RequestsAndTokens) {
    RequestArrival r = read_request(
        Line("ORDER proxy=3 txn=15 priority=1 user=ff budgetMs=240.0 shard=11 lastWriteMs=412.5"));
    EXPECT_EQ(r.since_last_write, 412500us);
    EXPECT_EQ(r.client_timeout, 240ms);
    EXPECT_EQ(r.session, SessionKey{255});
    EXPECT_FALSE(read_request(Line("ORDER txn=1 priority=0 budgetMs=1 lastWriteMs=0")).since_last_write);
}

TEST(Codec, Actions) {
    EndpointNames names;
    EndpointId m = names.id_of("10.0.0.1:8083");
    EXPECT_EQ(write_action(3, SendAttempt{RequestId{7}, m, 80ms}, names),
              "HAND_OFF proxy=3 txn=7 database=10.0.0.1:8083 capMs=80.000");
    EXPECT_EQ(write_action(3, RejectRequest{RequestId{7}, 250ms}, names),
              "BUSY proxy=3 txn=7 retryInMs=250.000");
    EXPECT_EQ(write_action(3, RejectRequest{RequestId{7}, {}}, names), "BUSY proxy=3 txn=7");
    EXPECT_EQ(write_action(3, FailRequest{RequestId{7}}, names), "REPORT_FAILURE proxy=3 txn=7");
    EXPECT_EQ(write_action(3, CancelAttempt{RequestId{7}, 1}, names), "STOP_ATTEMPT proxy=3 txn=7 hop=1");
    EXPECT_EQ(write_action(3, CheckHealth{m}, names), "POLL proxy=3 database=10.0.0.1:8083");
    EXPECT_EQ(write_action(3, SetTimer{TimerId{5}, 1500us}, names),
              "SET_ALARM proxy=3 sleepForMs=1.500 name=5");
    EXPECT_EQ(write_action(3, WatchEndpoints{}, names), "OBSERVE proxy=3 enable=1");
    EXPECT_EQ(write_action(3, LogMessage{"two known"}, names), "NOTE_DOWN proxy=3 noteText=two known");
}

TEST(Host, EmptyFramesAndCleanEnd) {
    HostRun r = host("SYNC timeMs=8412.25 frame=1\nOVER_TO_YOU\nSYNC timeMs=8412.25 frame=2\nOVER_TO_YOU\n");
    EXPECT_EQ(r.code, 0);
    EXPECT_EQ(r.out, "EOR frame=1\nEOR frame=2\n");
    EXPECT_EQ(r.err, "");
}

TEST(Host, AFrameFromStartToSend) {
    std::string input = std::string("SYNC timeMs=9000 frame=1\n") + kOpen + "\n" + kLists +
                        "NOVEL_EVENT proxy=3\n"
                        "ORDER proxy=3 txn=15 priority=1 budgetMs=2000 shard=11 novel=1\nOVER_TO_YOU\n"
                        "SYNC timeMs=9002 frame=2\n"
                        "PROBE_RESULT proxy=3 database=10.0.0.1:8083 rc=OK lagMs=2 serverStats=x0:8.0,x1:1\n"
                        "OVER_TO_YOU\n"
                        "SYNC timeMs=9100 frame=3\nPOWER_OFF proxy=3\nOVER_TO_YOU\n";
    HostRun r = host(input);
    EXPECT_EQ(r.code, 0) << r.err;
    EXPECT_NE(r.out.find("POLL proxy=3 database=10.0.0.1:8083\n"), std::string::npos);
    EXPECT_NE(r.out.find("HAND_OFF proxy=3 txn=15 database=10.0.0.1:8083\n"), std::string::npos);
    EXPECT_NE(r.out.find("EOR frame=3\n"), std::string::npos);
}

TEST(Host, MalformedInputIsNamedOnceAndEndsIt) {
    const std::array<std::string, 8> bad{"OVER_TO_YOU\n",
                                         "SYNC timeMs=abc frame=1\n",
                                         "SYNC timeMs=1 frame=1\nSYNC timeMs=1 frame=2\n",
                                         "SYNC timeMs=1 frame=1\nORDER proxy=3 txn=1\n",
                                         "SYNC timeMs=1 frame=1\nROSTER list=0 nodesList=1\nOVER_TO_YOU\n",
                                         "SYNC timeMs=1 frame=1\nTIMER name=1\n",
                                         "SYNC timeMs=1 frame=1\nTIMER proxy\n",
                                         "SYNC timeMs=1 frame=1\n"};
    for (const std::string& input : bad) {
        HostRun r = host(input);
        EXPECT_EQ(r.code, 1) << input;
        EXPECT_EQ(r.out, "") << input;
        EXPECT_NE(r.err.find("line "), std::string::npos) << input;
        EXPECT_EQ(std::count(r.err.begin(), r.err.end(), '\n'), 1) << input;
    }
}
