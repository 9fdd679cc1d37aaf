// What the table of pending requests says of ids, bytes and whether a request is finished.
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

TEST_CASE("request table: bytes and client ids count until the request is forgotten or finished") {
    RequestTable table;
    IgnoringResponder responder;

    RequestId id = table.add(request("a"), responder, {}, Time(1s));
    CHECK(table.bytes() == 8);
    CHECK(table.is_open("a"));
    CHECK(table.find(id)->deadline == Time(1100ms));

    table.find(id)->responder = nullptr;
    CHECK(table.finish_if_done(id));
    CHECK(!table.is_open("a"));
    CHECK(table.bytes() == 8);
    CHECK(table.take_finished() == std::vector{id});

    table.forget(id);
    CHECK(table.bytes() == 0);
    CHECK(table.find(id) == nullptr);
}

TEST_CASE("request table: a request is finished once, when nothing is owed and nothing in flight") {
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

TEST_CASE("request table: ids are never used again") {
    RequestTable table;
    IgnoringResponder responder;
    RequestId first = table.add(request("a"), responder, {}, Time(1s));
    table.forget(first);

    CHECK(table.add(request("a"), responder, {}, Time(1s)) != first);
}

}  // namespace indigovane::testing
