// Requests of clients that leave: they must be withdrawn and not be sent to a host, whatever state they are
// in.
#include <boost/asio/write.hpp>

#include "adapters/pending_admission.hpp"
#include "adapters/raw_client.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

TEST_CASE("a client that closes while its session reads nothing is detected, and its request is withdrawn") {
    for (bool reset : {false, true}) {
        PendingFronts fixture;
        RawClient client(fixture.loop, fixture.pg.local());
        client.send(startup() + query("1"));
        REQUIRE(fixture.wait_for_requests(1));
        // More bytes than a session keeps unread, so that it stops reading and the rest fills the kernel's
        // buffers.
        std::string more;
        while (more.size() < 400000) more += query("n");
        boost::system::error_code ec;
        std::size_t sent = 0;
        REQUIRE(fixture.loop.until([&] {
            sent += client.socket.write_some(boost::asio::buffer(&more[sent], more.size() - sent), ec);
            return ec || sent == more.size();
        }));
        fixture.loop.settle();
        CHECK(fixture.admission.withdrawn.empty());
        if (reset) client.socket.set_option(boost::asio::socket_base::linger(true, 0));
        client.socket.close();
        CHECK(fixture.loop.until([&] { return fixture.admission.withdrawn.size() == 1; }));
        CHECK(fixture.admission.requests.size() == 1);
        CHECK(fixture.pg.connections() == 0);
    }
}

TEST_CASE(
    "a request whose client has left is not sent: while unread, queued in the limiter or between two "
    "attempts") {
    enum class Where { unread, limiter, between_attempts };
    for (Where where : {Where::unread, Where::limiter, Where::between_attempts}) {
        auto by_cost = limits::Settings{};
        by_cost.work = 1us;
        by_cost.wait = 20s;
        by_cost.reserve = 0;
        PgDeployment pooler(64, settings(), nullptr,
                            where == Where::limiter ? std::optional(by_cost) : std::nullopt);
        for (Host& host : pooler.hosts) host.silent = true;
        RawClient first(pooler.loop, pooler.pg.local());
        RawClient second(pooler.loop, pooler.pg.local());
        auto received = [&] { return pooler.replica_queries() + pooler.hosts[0].queries; };
        first.send(startup() + query("1"));
        REQUIRE(pooler.loop.until([&] { return received() == 1; }));
        RawClient& gone = where == Where::unread ? first : second;
        gone.send(where == Where::unread ? query("2") : startup() + query("2"));
        if (where != Where::unread) REQUIRE(pooler.loop.until([&] { return second.unread_bytes() > 0; }));
        if (where == Where::between_attempts) REQUIRE(pooler.loop.until([&] { return received() == 2; }));
        pooler.loop.settle();
        const int before = received();
        // The attempts fail and the client leaves before the pooler handles either event.
        auto batch = std::exchange(pooler.loop.batch, [] {});
        gone.socket.close();
        if (where != Where::unread) first.socket.close();
        for (auto& server : pooler.servers) server->drop_all();
        pooler.loop.settle();
        pooler.loop.batch = batch;
        REQUIRE(pooler.loop.until([&] {
            return pooler.pg.connections() == (where == Where::unread) && pooler.core.requests() == 0 &&
                   (!pooler.limited || pooler.limited->idle());
        }));
        pooler.loop.settle();
        CHECK(received() == before);
    }
}

TEST_CASE("a host connection that is established after the client has left does not carry its request") {
    PgDeployment pooler;
    // Accepts connections, and answers only when the test does.
    boost::asio::ip::tcp::acceptor late(pooler.loop.io, loopback());
    std::vector<routing::EndpointInfo> members;
    for (std::size_t i = 0; i < 3; ++i) {
        members.push_back(pooler.endpoint(i, EndpointState::ready));
        members.back().address = text(late.local_endpoint());
    }
    pooler.core.apply_endpoint_list(EndpointListKind::full, members);
    RawClient client(pooler.loop, pooler.pg.local());
    client.send(startup() + pg::Writer()
                                .query("/* id=2,c=scan-write,k=5,d=4000,cluster=3 */ INSERT INTO kv (name, "
                                       "content) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING content")
                                .take());
    std::vector<boost::asio::ip::tcp::socket> links;
    late.non_blocking(true);
    auto accept = [&] {
        boost::system::error_code ec;
        boost::asio::ip::tcp::socket socket(pooler.loop.io);
        late.accept(socket, ec);
        if (!ec) links.push_back(std::move(socket));
        return !ec;
    };
    REQUIRE(pooler.loop.until([&] { return pooler.core.requests() == 1 && accept(); }));
    client.socket.close();
    REQUIRE(pooler.loop.until([&] { return pooler.core.requests() == 0; }));
    while (accept()) {
    }
    for (auto& link : links) {
        boost::system::error_code ec;
        boost::asio::write(
            link,
            boost::asio::buffer(
                pg::Writer().authentication_ok().parameter("server_version", "15").ready().take()),
            ec);
    }
    pooler.loop.settle();
    for (auto& link : links) {
        boost::system::error_code ec;
        link.non_blocking(true);
        std::string received(4096, '\0');
        received.resize(link.read_some(boost::asio::buffer(received), ec));
        CHECK(received.find("INSERT") == std::string::npos);
    }
}

}  // namespace
}  // namespace indigovane::testing
