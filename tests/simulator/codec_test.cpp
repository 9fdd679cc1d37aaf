// Tests of the simulator codec, and of the adapter process with complete frames.
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

struct AdapterRun {
    int exit_status;
    std::string standard_output, standard_error;
};

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Runs the adapter process with `input` on its standard input until it exits.
AdapterRun run_adapter(const std::string& input) {
    std::string base =
        testing::TempDir() + "adapter-" + testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ofstream(base + ".in") << input;
    std::string command =
        std::string(SIMULATOR_ADAPTER) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
    int status = std::system(command.c_str());
    return {WEXITSTATUS(status), read_file(base + ".out"), read_file(base + ".err")};
}

const char* kOpenInstance =
    "OPEN_INSTANCE proxy=3 nonce64=5138197539985895 allowed.probing=true allowed.cancel=true classes.count=2 "
    "classes.0.effect=retryable classes.0.sloMs=300.0 classes.0.hardLimitMs=1200.0 classes.0.group=all "
    "classes.1.effect=fragile classes.1.sloMs=1000.0 classes.1.hardLimitMs=3000.0 "
    "familyInfo.consistency=recent,update familyInfo.oldestDataMs=300.0,0.0 familyInfo.baseTimeMs=1000.5 "
    "familyInfo.sessionMarks=client familyInfo.serverChecks=reject registryMode=automatic fleetSize=2 "
    "novel.thing=7";
const char* kEndpointLists =
    "ROSTER list=0 nodesList=2\n"
    "M database=10.0.0.1:8083 rackZone=0 kind=0 set=11 health=1 leads=1 units=1\n"
    "M database=10.0.0.2:8083 rackZone=0 kind=0 set=11 health=1 leads=0 units=1.5 cameUpMs=6100.0 color=red\n"
    "TARGETS proxy=3 mode=2 revision=41 list=0\n";

}  // namespace

// A Line holds views into its text, so it must not be constructed from a temporary string.
static_assert(!std::is_constructible_v<Line, std::string>);
static_assert(std::is_constructible_v<Line, const std::string&>);

TEST(MessageLine, ParsesFieldsAndRejectsMalformedInput) {
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

TEST(Codec, ReadsSettings) {
    Line line{kOpenInstance};
    Settings settings = read_settings(line);
    ASSERT_EQ(settings.classes.size(), 2u);
    EXPECT_EQ(settings.classes[0].consistency, Consistency::bounded);
    EXPECT_EQ(settings.classes[0].staleness_bound, 300ms);
    EXPECT_EQ(settings.classes[1].idempotency, Idempotency::not_idempotent);
    EXPECT_EQ(settings.staleness_check, StalenessCheck::refuse);
    EXPECT_EQ(settings.fleet_size, 2u);
    EXPECT_FALSE(settings.hedging.has_value());
    EXPECT_EQ(read_position_origin(line).micros, 1000500);
}

TEST(Codec, ReadsAttemptOutcomesWithPositionsAndLoadReports) {
    EndpointNames names;
    AttemptOutcome outcome =
        read_outcome(Line("DONE proxy=3 txn=9 lagMs=18.5 database=a:1 rc=OK progress=25486 last=1 hop=2 "
                          "serverStats=x0:1.5,x1:1,concurrent:3,novel:9"),
                     PositionOrigin{1000000}, names);
    EXPECT_EQ(outcome.attempt, 2u);
    EXPECT_EQ(outcome.status, AttemptStatus::ok);
    EXPECT_TRUE(outcome.is_request_finished);
    EXPECT_EQ(outcome.role, Role::replica);
    EXPECT_EQ(outcome.position, Time(1000000us + 6371ms));
    EXPECT_EQ(outcome.report.position, Time(1000000us + 1500ms));
    EXPECT_EQ(outcome.report.primary, true);
    EXPECT_EQ(outcome.report.in_flight, 3);
    AttemptOutcome without_position = read_outcome(
        Line("DONE proxy=3 txn=9 lagMs=1 database=a:1 rc=NOT_FOUND progress=1 hop=0"), {}, names);
    EXPECT_EQ(without_position.role, Role::primary);
    EXPECT_FALSE(without_position.position);
    EXPECT_THROW(read_outcome(Line("DONE proxy=3 txn=9 database=a:1 rc=WHAT hop=0"), {}, names), Malformed);
}

TEST(Codec, ReadsRequestsWithSessionAndTimeSinceLastWrite) {
    RequestArrival request = read_request(
        Line("ORDER proxy=3 txn=15 priority=1 user=ff budgetMs=240.0 shard=11 lastWriteMs=412.5"));
    EXPECT_EQ(request.since_last_write, 412500us);
    EXPECT_EQ(request.client_timeout, 240ms);
    EXPECT_EQ(request.session, SessionKey{255});
    EXPECT_FALSE(read_request(Line("ORDER txn=1 priority=0 budgetMs=1 lastWriteMs=0")).since_last_write);
}

TEST(Codec, WritesActions) {
    EndpointNames names;
    EndpointId endpoint = names.id_of("10.0.0.1:8083");
    EXPECT_EQ(write_action(3, SendAttempt{RequestId{7}, endpoint, 80ms}, names),
              "HAND_OFF proxy=3 txn=7 database=10.0.0.1:8083 capMs=80.000");
    EXPECT_EQ(write_action(3, RejectRequest{RequestId{7}, 250ms}, names),
              "BUSY proxy=3 txn=7 retryInMs=250.000");
    EXPECT_EQ(write_action(3, RejectRequest{RequestId{7}, {}}, names), "BUSY proxy=3 txn=7");
    EXPECT_EQ(write_action(3, FailRequest{RequestId{7}}, names), "REPORT_FAILURE proxy=3 txn=7");
    EXPECT_EQ(write_action(3, CancelAttempt{RequestId{7}, 1}, names), "STOP_ATTEMPT proxy=3 txn=7 hop=1");
    EXPECT_EQ(write_action(3, CheckHealth{endpoint}, names), "POLL proxy=3 database=10.0.0.1:8083");
    EXPECT_EQ(write_action(3, SetTimer{TimerId{5}, 1500us}, names),
              "SET_ALARM proxy=3 sleepForMs=1.500 name=5");
    EXPECT_EQ(write_action(3, WatchEndpoints{}, names), "OBSERVE proxy=3 enable=1");
    EXPECT_EQ(write_action(3, LogMessage{"two known"}, names), "NOTE_DOWN proxy=3 noteText=two known");
}

TEST(Adapter, AnswersEmptyFramesAndExitsWithStatusZero) {
    AdapterRun run =
        run_adapter("SYNC timeMs=8412.25 frame=1\nOVER_TO_YOU\nSYNC timeMs=8412.25 frame=2\nOVER_TO_YOU\n");
    EXPECT_EQ(run.exit_status, 0);
    EXPECT_EQ(run.standard_output, "EOR frame=1\nEOR frame=2\n");
    EXPECT_EQ(run.standard_error, "");
}

TEST(Adapter, ChecksHealthAndSendsAWriteToThePrimary) {
    std::string input = std::string("SYNC timeMs=9000 frame=1\n") + kOpenInstance + "\n" + kEndpointLists +
                        "NOVEL_EVENT proxy=3\n"
                        "ORDER proxy=3 txn=15 priority=1 budgetMs=2000 shard=11 novel=1\nOVER_TO_YOU\n"
                        "SYNC timeMs=9002 frame=2\n"
                        "PROBE_RESULT proxy=3 database=10.0.0.1:8083 rc=OK lagMs=2 serverStats=x0:8.0,x1:1\n"
                        "OVER_TO_YOU\n"
                        "SYNC timeMs=9100 frame=3\nPOWER_OFF proxy=3\nOVER_TO_YOU\n";
    AdapterRun run = run_adapter(input);
    EXPECT_EQ(run.exit_status, 0) << run.standard_error;
    EXPECT_NE(run.standard_output.find("POLL proxy=3 database=10.0.0.1:8083\n"), std::string::npos);
    EXPECT_NE(run.standard_output.find("HAND_OFF proxy=3 txn=15 database=10.0.0.1:8083\n"),
              std::string::npos);
    EXPECT_NE(run.standard_output.find("EOR frame=3\n"), std::string::npos);
}

TEST(Adapter, ReportsMalformedInputOnOneLineAndExitsWithStatusOne) {
    const std::array<std::string, 8> malformed_inputs{
        "OVER_TO_YOU\n",
        "SYNC timeMs=abc frame=1\n",
        "SYNC timeMs=1 frame=1\nSYNC timeMs=1 frame=2\n",
        "SYNC timeMs=1 frame=1\nORDER proxy=3 txn=1\n",
        "SYNC timeMs=1 frame=1\nROSTER list=0 nodesList=1\nOVER_TO_YOU\n",
        "SYNC timeMs=1 frame=1\nTIMER name=1\n",
        "SYNC timeMs=1 frame=1\nTIMER proxy\n",
        "SYNC timeMs=1 frame=1\n"};
    for (const std::string& input : malformed_inputs) {
        AdapterRun run = run_adapter(input);
        EXPECT_EQ(run.exit_status, 1) << input;
        EXPECT_EQ(run.standard_output, "") << input;
        EXPECT_NE(run.standard_error.find("line "), std::string::npos) << input;
        EXPECT_EQ(std::count(run.standard_error.begin(), run.standard_error.end(), '\n'), 1) << input;
    }
}
