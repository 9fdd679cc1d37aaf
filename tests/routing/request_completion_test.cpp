// How requests come to their end, and what is logged and counted of it.
#include "routing/request_completion.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using Departure = RequestAdmission::Departure;

struct RecordingResponder : Responder {
    void on_answer(const Answer&) override { ++answers; }
    void on_final_error(const FinalError& ending) override { endings.push_back(ending.kind); }
    int answers = 0;
    std::vector<FinalError::Kind> endings;
};

struct CountingDriver : Driver {
    void wake() override { ++wakes; }
    void alarm(std::optional<Time>) override {}
    int wakes = 0;
};

struct LastLine : Logger {
    void log(Level, const char* id, const std::string&, const Data& fields) override {
        last_id = id;
        last = std::map<std::string, std::string>(fields.begin(), fields.end());
    }
    std::string last_id;
    std::map<std::string, std::string> last;
};

struct Rig {
    Clock clock;
    policy::Settings settings;
    LastLine logger;
    CountingDriver driver;
    EventInbox inbox{driver};
    RequestTable requests;
    RequestStatistics statistics;
    RequestLog log{logger, [](EndpointId) { return std::string("s-1"); }};
    RequestGuard guard{logger, [](EndpointId) { return std::string("s-1"); }};
    RequestCompletion completion{clock, settings, requests, inbox, guard, log, statistics};
    RecordingResponder responder;

    RequestId add(std::size_t attempts = 0) {
        ClientRequest request;
        request.id = "a1";
        request.client_timeout = 1s;
        RequestId id = requests.add(std::move(request), responder, {}, clock.now());
        for (std::size_t number = 0; number < attempts; ++number) {
            Attempt& attempt = requests.find(id)->attempts.emplace_back();
            attempt.in_flight = false;
        }
        return id;
    }
};

constexpr FinalError kRejected{FinalError::Kind::rejected, false, std::nullopt};

}  // namespace

TEST_CASE("completion: a client gets one final answer") {
    Rig rig;
    RequestId id = rig.add();

    rig.completion.end(id, kRejected, "why");
    rig.completion.end(id, kRejected, "why");
    rig.completion.answer(*rig.requests.find(id), {}, rig.clock.now());

    CHECK(rig.responder.endings == std::vector{FinalError::Kind::rejected});
    CHECK(rig.responder.answers == 0);
    CHECK(rig.statistics.rejected_requests == 1);
    CHECK(rig.statistics.rejected_on_arrival == 1);
}

TEST_CASE("completion: a rejection of what may have run becomes a failure and names the attempt") {
    Rig rig;
    RequestId id = rig.add(2);

    rig.completion.end(id, kRejected, "why");

    CHECK(rig.responder.endings == std::vector{FinalError::Kind::failed});
    CHECK(rig.statistics.failed_requests == 1);
    CHECK(rig.logger.last_id == "ended");
    CHECK(rig.logger.last["request"] == "a1");
    CHECK(rig.logger.last["attempt"] == "1");
    CHECK(rig.logger.last["endpoint"] == "s-1");
    CHECK(rig.logger.last["outcome"] == "failed");
}

TEST_CASE("completion: a client that leaves is answered no more, and the policy is notified") {
    Rig rig;
    RequestId id = rig.add();

    rig.completion.withdraw(id, Departure::client_left);
    rig.completion.end(id, kRejected, "why");

    CHECK(rig.responder.endings.empty());
    CHECK(rig.statistics.clients_left == 1);
    auto events = rig.inbox.take();
    REQUIRE(events.size() == 1);
    CHECK(std::get<policy::RequestCancelled>(events[0]).id == id);
    CHECK(rig.driver.wakes == 1);
}

TEST_CASE("completion: at the process's end all that is owed is ended") {
    Rig rig;
    rig.add();
    rig.add(1);

    rig.completion.end_all();

    CHECK(rig.responder.endings.size() == 2);
    CHECK(std::ranges::count(rig.responder.endings, FinalError::Kind::failed) == 1);
    CHECK(rig.requests.take_finished().size() == 2);
}

}  // namespace indigovane::testing
