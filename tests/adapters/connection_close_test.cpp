// Requests and answers that cross a connection's close, a shutdown or the end of a drain. Connections are
// real; the test controls the order of events.
#include "adapters/pending_admission.hpp"
#include "adapters/raw_client.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

TEST_CASE("received bytes keep their arrival time until they are read, even if they arrive one by one") {
    transport::Arrivals arrivals;
    const transport::Arrivals::Time start{};
    for (int i = 1; i <= 1000; ++i)
        arrivals.record(std::uint64_t(i), 0, start + std::chrono::microseconds(i * 100));
    CHECK(arrivals.pieces() <= 11);
    for (int i : {1, 500, 1000}) {
        auto late = start + std::chrono::microseconds(i * 100) - arrivals.at(std::uint64_t(i), start);
        CHECK(late >= 0ms);
        CHECK(late <= transport::Arrivals::kGranularity);
    }
    arrivals.record(1001, 1000, start + 5s);
    CHECK(arrivals.pieces() == 1);
    CHECK(arrivals.at(1001, start) == start + 5s);
    CHECK(arrivals.at(1002, start + 9s) == start + 9s);
}

TEST_CASE("a pipelined request's timeout counts from its own last byte") {
    std::string get = http::write_request("GET", "/v1/clusters/1/kv/a?class=stock-view&wait_ms=900", "h", {});
    for (bool rest : {false, true}) {
        PendingFronts fixture;
        RawClient client(fixture.loop, rest ? fixture.rest.local() : fixture.pg.local());
        client.send(rest ? get + get : startup() + query("1", 900) + query("2", 900));
        REQUIRE(fixture.wait_for_requests(1));  // both arrived in one read
        auto received = std::chrono::steady_clock::now();
        fixture.loop.settle();
        auto waited = std::chrono::steady_clock::now() - received;
        fixture.serve(0);
        REQUIRE(fixture.wait_for_requests(2));
        CHECK(fixture.admission.requests[1].client_timeout <= 900ms - waited);
        CHECK(fixture.admission.requests[1].client_timeout >= 0ms);
    }
}

void check_reset(boost::asio::ip::tcp::socket& socket) {
    int error = 0;
    socklen_t size = sizeof error;
    CHECK(::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0);
    CHECK(error != 0);
}

TEST_CASE(
    "a request that arrives while its connection is being closed stays unread, and the answer before it is "
    "complete") {
    enum class Why { shutdown, served_limit, connection_limit };
    for (Why why : {Why::shutdown, Why::served_limit, Why::connection_limit}) {
        PendingFronts fixture(why == Why::connection_limit ? 2 : 8);
        RawClient client(fixture.loop, fixture.pg.local());
        client.send(startup() + query("1"));
        REQUIRE(fixture.wait_for_requests(1));
        fixture.serve(0);
        fixture.loop.settle();
        const std::size_t before = client.unread_bytes();
        REQUIRE(before > 0);
        std::vector<std::unique_ptr<RawClient>> others;
        if (why == Why::served_limit) fixture.pg.limit_served_sessions(1);
        if (why == Why::shutdown) {
            fixture.pg.close_idle();
        } else {
            for (int i = 0; i < 2; ++i) {
                others.push_back(std::make_unique<RawClient>(fixture.loop, fixture.pg.local()));
                others.back()->send(startup() + query("o" + std::to_string(i)));
                REQUIRE(fixture.wait_for_requests(std::size_t(i + 2)));
            }
        }
        REQUIRE(fixture.loop.until([&] { return fixture.pg.lingering() == 1; }));
        client.send(query("2"));  // after the pooler has half-closed the connection
        fixture.loop.settle();
        boost::system::error_code ec;
        CHECK(client.read(ec).size() == before);
        CHECK(ec == boost::asio::error::eof);  // no reset: the client can retry elsewhere
        CHECK(fixture.admission.requests.size() == (why == Why::shutdown ? 1 : 3));
        if (why == Why::shutdown) client.socket.close();
        CHECK(fixture.loop.until([&] { return fixture.pg.lingering() == 0; }));
        if (why == Why::shutdown) continue;
        // The lingering connection was closed with the request unread, which causes a reset. If the request
        // had been read and dropped, there would be none.
        check_reset(client.socket);
    }
}

// Guards against a client that always has a further request in flight: it was served on after SIGTERM, and
// the end of the process found its requests unanswered.
TEST_CASE(
    "a client that sends on during a shutdown gets the answers to what had arrived by then, and no more is "
    "read from it") {
    for (bool rest : {false, true}) {
        PendingFronts fixture;
        auto request = [&](int id) {
            return rest ? http::write_request("GET", "/v1/clusters/1/kv/a?class=stock-view", "h", {})
                        : query(std::to_string(id));
        };
        RawClient client(fixture.loop, rest ? fixture.rest.local() : fixture.pg.local());
        client.send((rest ? "" : startup()) + request(1) + request(2) + request(3));
        REQUIRE(fixture.wait_for_requests(1));
        (rest ? static_cast<routing::Front&>(fixture.rest) : fixture.pg).close_idle();
        std::string received;
        boost::system::error_code ec;
        for (std::size_t served = 0; served < 3; ++served) {
            client.send(request(int(served) + 4));
            REQUIRE(fixture.wait_for_requests(served + 1));
            fixture.serve(served);
            fixture.loop.settle();
            received += client.read(ec);
        }
        CAPTURE(rest);
        CHECK(fixture.admission.requests.size() == 3);
        CHECK(ec == boost::asio::error::eof);
        std::size_t answers = 0;
        const std::string end_of_answer = rest ? "HTTP/1.1 200" : "SELECT 1";
        for (std::size_t at = 0; (at = received.find(end_of_answer, at)) != std::string::npos; ++at)
            ++answers;
        CHECK(answers == 3);
    }
}

// Guards against the same client at an upgrade: it was never between two requests, so that the old process
// kept it until its end.
TEST_CASE("a client that sends on during an upgrade is handed over after the request in flight") {
    PendingFronts fixture;
    RawClient client(fixture.loop, fixture.pg.local());
    client.send(startup() + query("1") + query("2") + query("3"));
    REQUIRE(fixture.wait_for_requests(1));
    std::vector<routing::ClientHandover> handed_over;
    auto hand_over = [&] {
        return fixture.pg.hand_over([&](routing::ClientHandover h) { handed_over.push_back(std::move(h)); });
    };
    CHECK(hand_over() == 0);
    fixture.serve(0);
    fixture.loop.settle();
    CHECK(fixture.admission.requests.size() == 1);
    REQUIRE(hand_over() == 1);
    CHECK(handed_over[0].read == query("2") + query("3"));
    fixture.pg.take_over(std::move(handed_over[0]));
    REQUIRE(fixture.wait_for_requests(2));
    fixture.serve(1);
    REQUIRE(fixture.wait_for_requests(3));
}

// A request of which the last byte arrives after its listener has retired: it is read to its end, and what is
// read together with its end is answered as well.
TEST_CASE("a request that has arrived in part when a shutdown begins is answered") {
    PendingFronts fixture;
    RawClient client(fixture.loop, fixture.pg.local());
    const std::string second = query("2");
    client.send(startup() + query("1") + second.substr(0, 20));
    REQUIRE(fixture.wait_for_requests(1));
    fixture.pg.close_idle();
    fixture.serve(0);
    fixture.loop.settle();
    client.send(second.substr(20) + query("3") + query("4").substr(0, 30));
    REQUIRE(fixture.wait_for_requests(2));
    fixture.loop.settle();
    client.send(query("4").substr(30) + query("5"));
    fixture.serve(1);
    REQUIRE(fixture.wait_for_requests(3));
    fixture.serve(2);
    fixture.loop.settle();
    boost::system::error_code ec;
    client.read(ec);
    CHECK(ec == boost::asio::error::eof);
    CHECK(fixture.admission.requests.size() == 3);
}

TEST_CASE("lingering connections are limited: the oldest is closed first, and each one after a time limit") {
    PendingFronts fixture(400);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t i = 0; i < adapters::ClientListener::kLingering + 5; ++i) {
        clients.push_back(std::make_unique<RawClient>(fixture.loop, fixture.pg.local()));
        clients.back()->send(startup() + pg::Writer().plain('X', "").take());
        REQUIRE(fixture.loop.until(
            [&] { return clients.back()->unread_bytes() > 0 && fixture.pg.connections() == 0; }));
        CHECK(fixture.pg.lingering() <= adapters::ClientListener::kLingering);
    }
    // No client closes its side; the time limit ends all of them.
    CHECK(fixture.loop.until([&] { return fixture.pg.lingering() == 0; }));
}

TEST_CASE(
    "requests in flight at the end of a drain are answered: rejected if a retry is harmless, otherwise "
    "failed") {
    PgDeployment pooler;
    for (Host& host : pooler.hosts) host.silent = true;
    Client read(pooler.loop, pooler.pg.local());
    Client write(pooler.loop, pooler.pg.local());
    Client late(pooler.loop, pooler.pg.local());
    for (Client* client : {&read, &write, &late}) {
        client->send(startup());
        CHECK(client->reply() == "RZ");
    }
    read.send(query("1"));
    write.send(
        pg::Writer()
            .query("/* id=2,c=scan-write,k=5,d=4000,cluster=3 */ INSERT INTO kv (name, content) VALUES "
                   "('7f3a9c21e0b4d655', '\\x9f03') RETURNING content")
            .take());
    REQUIRE(pooler.loop.until([&] { return pooler.replica_queries() == 1 && pooler.hosts[0].queries == 1; }));
    pooler.core.finish_by(pooler.clock.now());
    late.send(query("3"));
    CHECK(late.reply() == "EZ");  // rejected on arrival: no time is left for it
    CHECK(late.code == "53300");
    CHECK(pooler.replica_queries() == 1);
    pooler.core.finish_all();
    CHECK(read.reply() == "EZ");
    CHECK(read.code == "53300");
    CHECK(write.reply() == "EZ");
    CHECK(write.code == "57014");
    CHECK(pooler.loop.until([&] { return pooler.core.idle(); }));
    CHECK(pooler.hosts[0].queries == 1);
}

}  // namespace
}  // namespace indigovane::testing
