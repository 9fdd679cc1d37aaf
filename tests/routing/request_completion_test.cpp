// RequestCompletion ends requests, and logs and counts their ends.
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

struct LastLineLogger : Logger {
    void log(Level, const char* id, const std::string&, const Data& fields) override {
        last_id = id;
        last_fields = std::map<std::string, std::string>(fields.begin(), fields.end());
    }
    std::string last_id;
    std::map<std::string, std::string> last_fields;
};

struct CompletionFixture {
    Clock clock;
    policy::Settings settings;
    LastLineLogger logger;
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

TEST_CASE("completion: a client gets exactly one final answer") {
    CompletionFixture fixture;
    RequestId id = fixture.add();

    fixture.completion.end_with_error(id, kRejected, "why");
    fixture.completion.end_with_error(id, kRejected, "why");
    fixture.completion.deliver_answer(*fixture.requests.find(id), {}, fixture.clock.now());

    CHECK(fixture.responder.endings == std::vector{FinalError::Kind::rejected});
    CHECK(fixture.responder.answers == 0);
    CHECK(fixture.statistics.rejected_requests == 1);
    CHECK(fixture.statistics.rejected_on_arrival == 1);
}

TEST_CASE(
    "completion: a rejection of a request that may have run becomes a failure, and its log line names the "
    "attempt") {
    CompletionFixture fixture;
    RequestId id = fixture.add(2);

    fixture.completion.end_with_error(id, kRejected, "why");

    CHECK(fixture.responder.endings == std::vector{FinalError::Kind::failed});
    CHECK(fixture.statistics.failed_requests == 1);
    CHECK(fixture.logger.last_id == "ended");
    CHECK(fixture.logger.last_fields["request"] == "a1");
    CHECK(fixture.logger.last_fields["attempt"] == "1");
    CHECK(fixture.logger.last_fields["endpoint"] == "s-1");
    CHECK(fixture.logger.last_fields["outcome"] == "failed");
}

TEST_CASE("completion: a client that left gets no answer, and the policy is notified") {
    CompletionFixture fixture;
    RequestId id = fixture.add();

    fixture.completion.withdraw(id, Departure::client_left);
    fixture.completion.end_with_error(id, kRejected, "why");

    CHECK(fixture.responder.endings.empty());
    CHECK(fixture.statistics.clients_left == 1);
    auto events = fixture.inbox.take();
    REQUIRE(events.size() == 1);
    CHECK(std::get<policy::RequestCancelled>(events[0]).id == id);
    CHECK(fixture.driver.wakes == 1);
}

TEST_CASE("completion: at shutdown every unanswered request is rejected or fails") {
    CompletionFixture fixture;
    fixture.add();
    fixture.add(1);

    fixture.completion.end_all();

    CHECK(fixture.responder.endings.size() == 2);
    CHECK(std::ranges::count(fixture.responder.endings, FinalError::Kind::failed) == 1);
    CHECK(fixture.requests.take_finished().size() == 2);
}

}  // namespace indigovane::testing
