#include "policy/request_state.hpp"

#include <doctest/doctest.h>

#include "policy/fixtures.hpp"

using namespace indigovane::policy;
using namespace indigovane::policy::testing;

TEST_CASE("a request goes from its arrival through the queue to an attempt and its end") {
    Endpoint endpoint;
    Request request = make_request(class_settings(Consistency::any));
    CHECK(request.phase() == Request::Phase::arrived);
    CHECK(request.answer_due() == kStart + 990ms);
    request.enqueue();
    CHECK(request.phase() == Request::Phase::queued);
    request.start_attempt(endpoint, kStart);
    CHECK(request.phase() == Request::Phase::in_flight);
    CHECK(request.attempts_in_flight() == 1);
    CHECK(request.attempts_that_may_have_run() == 1);
    CHECK(request.was_sent_to(endpoint));
    request.end_attempt(0, Execution::never_ran);
    CHECK(request.attempts_in_flight() == 0);
    CHECK(request.attempts_that_may_have_run() == 0);
    request.finish();
    CHECK(request.phase() == Request::Phase::finished);
}

TEST_CASE("a response starts once, and only for an attempt that awaits one") {
    Endpoint endpoint;
    Request request = make_request(class_settings(Consistency::any));
    CHECK_FALSE(request.start_response());
    request.start_attempt(endpoint, kStart);
    CHECK(request.start_response());
    CHECK(request.has_response_started());
    CHECK_FALSE(request.start_response());
    CHECK(request.attempts_in_flight() == 1);
    request.end_attempt(0, Execution::ran);
    CHECK_FALSE(request.has_response_started());
    CHECK_FALSE(request.start_response());
}

TEST_CASE("the table finds a session's writes that may have run, and endpoints that requests refer to") {
    Endpoint endpoint;
    Endpoint other;
    RequestTable table;
    Request& write = table.insert(make_request(class_settings(Consistency::write)));
    CHECK_FALSE(table.has_unresolved_write(SessionKey{3}));
    write.start_attempt(endpoint, kStart);
    CHECK(table.has_unresolved_write(SessionKey{3}));
    CHECK_FALSE(table.has_unresolved_write(SessionKey{4}));
    CHECK(table.refers_to(endpoint));
    CHECK_FALSE(table.refers_to(other));
    write.on_demand_check.endpoint = &other;
    CHECK(table.refers_to(other));
    table.erase(RequestId{7});
    CHECK(table.find(RequestId{7}) == nullptr);
}
