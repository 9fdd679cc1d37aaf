// Reading of clients' statements into requests, without a socket.
#include "adapters/pg_request.hpp"

#include <doctest/doctest.h>

#include "adapters/pg_load_report.hpp"
#include "adapters/pg_query_text.hpp"

namespace indigovane::adapters {
namespace {

namespace pg = protocol::pg;

const Classes& classes() {
    static const Classes known_classes(
        {{"basket", routing::ClassId{0}, std::chrono::seconds(1), false, true, false},
         {"order", routing::ClassId{1}, std::chrono::seconds(2), true, false, true}});
    return known_classes;
}

std::string rejection_of(std::string_view sql) {
    routing::ClientRequest request;
    auto rejection = PgRequestReader(classes()).read_known(sql, pg::read_statement(sql), request);
    return rejection ? rejection->text : "";
}

TEST_CASE(
    "a known statement: id, class, group, timeout and position come from its comment, the row name from its "
    "text") {
    std::string_view sql =
        "/* id=a1,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */ SELECT content FROM kv WHERE name = "
        "'x'";
    routing::ClientRequest request;
    CHECK(!PgRequestReader(classes()).read_known(sql, pg::read_statement(sql), request));
    CHECK(request.id == "a1");
    CHECK(request.verb == routing::ClientRequest::Verb::lookup);
    CHECK(request.name == "x");
    CHECK(request.group == routing::GroupId{2});
    CHECK(request.client_timeout == std::chrono::milliseconds(480));
    CHECK(request.after_unix_ms == 1767225600123);
    CHECK(request.session.has_value());
}

TEST_CASE(
    "a known statement with a missing or repeated field, or one unfit for its class, is rejected with the "
    "reason") {
    CHECK(rejection_of("/* c=basket,cluster=2 */ SELECT content FROM kv WHERE name = 'x'") ==
          "the comment names no valid request id (id)");
    CHECK(rejection_of("/* id=a,c=basket,cluster=two */ SELECT content FROM kv WHERE name = 'x'") ==
          "the group (cluster) is not a number");
    CHECK(rejection_of("/* id=a,id=b,c=basket,cluster=2 */ SELECT content FROM kv WHERE name = 'x'") ==
          "the comment names 'id' twice");
    CHECK(rejection_of("/* id=a,c=order,cluster=2 */ INSERT INTO kv (name, content) VALUES ('x', 'y') "
                       "RETURNING content") ==
          "the comment names no idempotency key (k), which this class needs");
    CHECK(rejection_of("/* id=a,c=order,cluster=2,k=1 */ SELECT content FROM kv WHERE name = 'x'") ==
          "the statement does not fit its class");
}

// Guards against one comment with very many fields, whose check held the only thread for seconds.
TEST_CASE("a comment with more fields than any request uses is rejected before its fields are compared") {
    auto with_fields = [](int unknown_fields, const std::string& last = {}) {
        std::string sql = "/* id=a,c=basket,cluster=2";
        for (int i = 0; i < unknown_fields; ++i) sql += ",x" + std::to_string(i) + "=1";
        return sql + last + " */ SELECT content FROM kv WHERE name = 'x'";
    };
    CHECK(rejection_of(with_fields(1021)).empty());  // 1,024 in all
    CHECK(rejection_of(with_fields(1000, ",x0=2")) == "the comment names 'x0' twice");
    CHECK(rejection_of(with_fields(1022)) == "the comment holds more than 1024 fields");
    CHECK(rejection_of(with_fields(26000)) == "the comment holds more than 1024 fields");
}

TEST_CASE("a page request of the REST front is sent to a PostgreSQL host as the equivalent statement") {
    routing::ClientRequest request;
    request.verb = routing::ClientRequest::Verb::page;
    request.id = "p1";
    request.class_name = "basket";
    request.group = routing::GroupId{3};
    request.name = "a'b";
    request.limit = 5;
    CHECK(query_text(request, 250) ==
          "/* id=p1,c=basket,d=250,cluster=3 */ SELECT name, content FROM kv WHERE "
          "name > 'a''b' ORDER BY name LIMIT 5");
}

TEST_CASE("a malformed load report is ignored as a whole") {
    routing::AttemptResult result;
    read_load_report("inflight=7, util=0.61,other=1", result);
    CHECK(result.report.in_flight == 7);
    CHECK(result.report.cpu_utilization == 0.61);
    read_load_report("inflight=9,util", result);
    CHECK(result.report.in_flight == 7);
}

}  // namespace
}  // namespace indigovane::adapters
