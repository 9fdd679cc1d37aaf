// The REST front: the status of random requests, its pages, and malformed requests.
#include <string>
#include <utility>
#include <vector>

#include "adapters/scripted_front.hpp"

namespace indigovane::testing {
namespace {

struct RequestCase {
    std::string method;
    std::string target;
    std::string id;
    int status;
};
const std::string kBase = "/v1/clusters/1/kv";
const std::vector<RequestCase> kRequestCases{
    {"GET", kBase + "?class=stock-view", "s", 200},
    {"GET", kBase + "?class=stock-view&limit=2&prefix=a%26b", "s", 200},
    {"HEAD", kBase + "?class=stock-view", "s", 200},
    {"GET", kBase + "/n?class=own-order&session=1", "s", 200},
    {"GET", kBase + "?class=stock-view", "r", 503},
    {"GET", kBase + "?class=stock-view", "f", 502},
    {"GET", kBase + "?class=stock-view", "d", 504},
    {"GET", kBase + "?class=stock-view&cursor=AAAA", "s", 400},
    {"GET", kBase + "?class=stock-view&cursor=", "s", 400},
    {"GET", kBase + "?class=stock-view&limit=0", "s", 400},
    {"GET", kBase + "?class=stock-view&limit=11", "s", 400},
    {"GET", kBase + "?class=stock-view&limit=2x", "s", 400},
    {"GET", kBase + "?class=stock-view&colour=red", "s", 400},
    {"GET", kBase + "?class=stock-view&class=stock-view", "s", 400},
    {"GET", kBase + "?class=scan-write", "s", 400},
    {"GET", kBase + "?class=own-order", "s", 400},
    {"GET", kBase + "?class=stock-view&wait_ms=-1", "s", 400},
    {"GET", kBase + "?class=stock-view&tenant=a*%2F", "s", 400},
    {"GET", kBase, "s", 400},
    {"GET", "/v1/%zz", "s", 400},
    {"GET", "/v1/clusters/x/kv?class=stock-view", "s", 404},
    {"GET", "/elsewhere", "s", 404},
    {"DELETE", kBase + "?class=stock-view", "s", 405},
    {"GET", "/health", "s", 200}};

void check_head(ScriptedRestFront& fixture, Client& client) {
    REQUIRE(fixture.loop.until([&] { return client.in.find("\r\n\r\n") != std::string::npos; }));
    CHECK(client.in.rfind("HTTP/1.1 200 OK", 0) == 0);
    fixture.loop.settle();
    CHECK(client.in.size() == client.in.find("\r\n\r\n") + 4);  // no body
    client.in.clear();
}

void check_response(Client& client, const RequestCase& request_case) {
    auto response = client.response();
    CHECK_MESSAGE(response.status == request_case.status, request_case.target);
    if (response.status >= 400) {
        auto problem = json::parse(client.body);
        CHECK(problem["status"] == request_case.status);
        CHECK(problem["type"].get<std::string>().rfind("urn:indigovane:problem:", 0) == 0);
    }
    if (response.status == 503) CHECK(response.field("retry-after") == "1");
    if (response.status == 405) CHECK(response.field("allow"));
}

TEST_CASE("rest: random requests on one connection are answered in order with the expected status") {
    Dice dice(12);
    for (int round = 0; round < 25; ++round) {
        ScriptedRestFront fixture(8, adapters::RestOptions{.page_size = 2, .max_page_size = 10});
        Client client(fixture.loop, fixture.front.local());
        for (int burst = 0; burst < 8; ++burst) {
            std::vector<RequestCase> sent;
            std::string bytes;
            for (std::size_t n = dice.below(6) + 1; n > 0; --n) {
                const RequestCase& request_case = kRequestCases[dice.below(kRequestCases.size())];
                // check_head() needs it to be the last answer.
                if (request_case.method == "HEAD" && n > 1) continue;
                sent.push_back(request_case);
                bytes += http::write_request(request_case.method, request_case.target, "h",
                                             {{"Request-Id", request_case.id}});
            }
            fixture.send(client, bytes, dice);
            for (const RequestCase& request_case : sent) {
                if (request_case.method == "HEAD")
                    check_head(fixture, client);
                else
                    check_response(client, request_case);
            }
        }
        CHECK(fixture.admission.open.empty());
        CHECK(!client.closed);
    }
}

TEST_CASE("rest: a page carries the cursor of the next page, and the last page carries none") {
    ScriptedRestFront fixture(8, adapters::RestOptions{.page_size = 2, .max_page_size = 10});
    Client client(fixture.loop, fixture.front.local());
    auto get = [&](std::string target) { return client.get(target, {{"Request-Id", "s"}}); };
    // There are three rows, and a page holds two.
    auto response = get("/v1/clusters/1/kv?class=stock-view&prefix=p+q");
    std::string cursor = json::parse(client.body)["next"];
    std::string link(*response.field("link"));
    CHECK(link ==
          "</v1/clusters/1/kv?class=stock-view&prefix=p%20q&limit=2&cursor=" + cursor + ">; rel=\"next\"");
    CHECK(fixture.admission.last.limit == 3);
    // The cursor belongs to another query.
    CHECK(get("/v1/clusters/1/kv?class=stock-view&cursor=" + cursor).status == 400);
    CHECK(get(link.substr(1, link.find('>') - 1)).status == 200);
    CHECK(fixture.admission.last.name == "x1");
    response = get("/v1/clusters/1/kv?class=stock-view&limit=10");
    CHECK(json::parse(client.body)["next"].is_null());
    CHECK(!response.field("link"));
}

TEST_CASE(
    "rest: a malformed or incomplete request is answered with its status, and the connection is closed") {
    for (auto [bytes, status] :
         {std::pair{std::string("nonsense\r\n\r\n"), 400},
          {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(9000, 'a'), 431},
          {std::string("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n"), 413},
          {std::string("GET / HTTP/3.0\r\nHost: h\r\n\r\n"), 505},
          {std::string("GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), 200},
          {std::string("GET / HTTP/1.1\r\nHos"), 408}}) {
        ScriptedRestFront fixture(8, adapters::RestOptions{.request_timeout = 30ms});
        Client client(fixture.loop, fixture.front.local());
        client.send(bytes);
        CHECK(client.response().status == status);
        CHECK(fixture.loop.until([&] { return client.closed; }));
        CHECK(fixture.front.connections() == 0);
    }
}

}  // namespace
}  // namespace indigovane::testing
