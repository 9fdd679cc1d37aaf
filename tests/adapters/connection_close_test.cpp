// What crosses a close, a shutdown or the end of a drain (docs/acceptance.md, narrow moments), with real
// connections in an order that the test brings about.
#include "adapters/pending_admission.hpp"
#include "adapters/raw_client.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

TEST_CASE("received bytes keep their arrival time until they are read, also those that arrive one by one") {
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
        FrontRig rig;
        RawClient client(rig.loop, rest ? rig.rest.local() : rig.pg.local());
        client.send(rest ? get + get : startup() + query("1", 900) + query("2", 900));
        REQUIRE(rig.wait_for_requests(1));  // both came in one piece
        auto received = std::chrono::steady_clock::now();
        rig.loop.settle();
        auto waited = std::chrono::steady_clock::now() - received;
        rig.serve(0);
        REQUIRE(rig.wait_for_requests(2));
        CHECK(rig.admission.requests[1].client_timeout <= 900ms - waited);
        CHECK(rig.admission.requests[1].client_timeout >= 0ms);
    }
}

void check_reset(boost::asio::ip::tcp::socket& socket) {
    int error = 0;
    socklen_t size = sizeof error;
    CHECK(::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0);
    CHECK(error != 0);
}

TEST_CASE(
    "a request that crosses its connection's close is left unread, and the answer before it is complete") {
    enum class Why { shutdown, served_limit, connection_limit };
    for (Why why : {Why::shutdown, Why::served_limit, Why::connection_limit}) {
        FrontRig rig(why == Why::connection_limit ? 2 : 8);
        RawClient client(rig.loop, rig.pg.local());
        client.send(startup() + query("1"));
        REQUIRE(rig.wait_for_requests(1));
        rig.serve(0);
        rig.loop.settle();
        const std::size_t before = client.unread_bytes();
        REQUIRE(before > 0);
        std::vector<std::unique_ptr<RawClient>> others;
        if (why == Why::served_limit) rig.pg.limit_served(1);
        if (why == Why::shutdown) {
            rig.pg.close_idle();
        } else {
            for (int i = 0; i < 2; ++i) {
                others.push_back(std::make_unique<RawClient>(rig.loop, rig.pg.local()));
                others.back()->send(startup() + query("o" + std::to_string(i)));
                REQUIRE(rig.wait_for_requests(std::size_t(i + 2)));
            }
        }
        REQUIRE(rig.loop.until([&] { return rig.pg.lingering() == 1; }));
        client.send(query("2"));  // the close is on its way already
        rig.loop.settle();
        boost::system::error_code ec;
        CHECK(client.read(ec).size() == before);
        CHECK(ec == boost::asio::error::eof);  // no reset: its client retries elsewhere
        CHECK(rig.admission.requests.size() == (why == Why::shutdown ? 1 : 3));
        if (why == Why::shutdown) client.socket.close();
        CHECK(rig.loop.until([&] { return rig.pg.lingering() == 0; }));
        if (why == Why::shutdown) continue;
        // Lingering timed out with the request unread: had it been read and dropped, there would be no reset.
        check_reset(client.socket);
    }
}

TEST_CASE(
    "lingering connections are bounded: the oldest is closed first, and one whose client stays is closed") {
    FrontRig rig(400);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t i = 0; i < adapters::ClientListener::kLingering + 5; ++i) {
        clients.push_back(std::make_unique<RawClient>(rig.loop, rig.pg.local()));
        clients.back()->send(startup() + pg::Writer().plain('X', "").take());
        REQUIRE(
            rig.loop.until([&] { return clients.back()->unread_bytes() > 0 && rig.pg.connections() == 0; }));
        CHECK(rig.pg.lingering() <= adapters::ClientListener::kLingering);
    }
    // No client closes, and none is waited for.
    CHECK(rig.loop.until([&] { return rig.pg.lingering() == 0; }));
}

TEST_CASE(
    "requests in flight at the end of a drain are answered: rejected if never executed, failed if maybe") {
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
    CHECK(late.reply() == "EZ");  // at once: it would have no time
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
