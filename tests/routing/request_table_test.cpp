// RequestTable tracks the ids and bytes of pending requests, and which of them are finished.
#include "routing/request_table.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;

struct IgnoringResponder : Responder {
    void on_answer(const Answer&) override {}
    void on_final_error(const FinalError&) override {}
};

ClientRequest request(const std::string& id) {
    ClientRequest request;
    request.id = id;
    request.name = "row";
    request.content = "12345";
    request.client_timeout = 100ms;
    return request;
}

}  // namespace

TEST_CASE(
    "request table: a client id is open until its request finishes, and bytes count until it is forgotten") {
    RequestTable table;
    IgnoringResponder responder;

    RequestId id = table.add(request("a"), responder, {}, Time(1s));
    CHECK(table.bytes() == 8);
    CHECK(table.is_open("a", Time(1s)));
    CHECK(table.find(id)->deadline == Time(1100ms));

    table.find(id)->responder = nullptr;
    CHECK(table.finish_if_done(id));
    CHECK(!table.is_open("a", Time(1s)));
    CHECK(table.bytes() == 8);
    CHECK(table.take_finished() == std::vector{id});

    table.forget(id);
    CHECK(table.bytes() == 0);
    CHECK(table.find(id) == nullptr);
}

TEST_CASE("request table: a request finishes once, when no answer is owed and no attempt is in flight") {
    RequestTable table;
    IgnoringResponder responder;
    RequestId id = table.add(request("a"), responder, {}, Time(1s));
    PendingRequest& pending = *table.find(id);
    pending.attempts.emplace_back();

    CHECK(!table.finish_if_done(id));
    CHECK(table.find_unanswered(id) == &pending);
    pending.responder = nullptr;
    CHECK(!table.finish_if_done(id));
    CHECK(table.find_unanswered(id) == nullptr);
    pending.attempts.back().in_flight = false;
    CHECK(table.finish_if_done(id));
    CHECK(!table.finish_if_done(id));
}

TEST_CASE("request table: ids are never reused") {
    RequestTable table;
    IgnoringResponder responder;
    RequestId first = table.add(request("a"), responder, {}, Time(1s));
    table.forget(first);

    CHECK(table.add(request("a"), responder, {}, Time(1s)) != first);
}

// Guards against an id that runs twice: its client has left, and sends the request once more.
TEST_CASE(
    "request table: the id of a request that may have run and must not run twice stays taken for 30 s") {
    RequestTable table;
    IgnoringResponder responder;
    enum class End { may_have_run, never_ran, idempotent };
    for (End end : {End::may_have_run, End::never_ran, End::idempotent}) {
        RetryRule rule;
        if (end == End::idempotent) rule.idempotency = policy::Idempotency::idempotent;
        const std::string client_id = "id" + std::to_string(int(end));
        RequestId id = table.add(request(client_id), responder, rule, Time(1s));
        PendingRequest& pending = *table.find(id);
        Attempt& attempt = pending.attempts.emplace_back();
        CHECK(table.record_start(pending, Time(1s)) == (end != End::idempotent));
        CHECK(!table.record_start(pending, Time(2s)));  // a further attempt
        attempt.in_flight = false;
        if (end == End::never_ran) attempt.execution = policy::Execution::never_ran;
        pending.responder = nullptr;
        CHECK(table.finish_if_done(id));
        CHECK(table.is_open(client_id, Time(31s)) == (end == End::may_have_run));
        CHECK(!table.is_open(client_id, Time(32s)));
    }
}

TEST_CASE("started requests: the oldest are dropped beyond the largest number and the retention") {
    StartedRequests started;
    for (std::uint64_t i = 0; i <= StartedRequests::kMaxRequests; ++i) started.add({i, Time(1s)}, Time(1s));
    CHECK(started.entries().size() == StartedRequests::kMaxRequests);
    CHECK(started.entries().front().first == 1);
    CHECK(started.add({0, Time(2s)}, Time(2s)));
    started.remove(0);
    CHECK(started.add({0, Time(40s)}, Time(40s)));
    CHECK(started.entries().size() == 1);
}

}  // namespace indigovane::testing
