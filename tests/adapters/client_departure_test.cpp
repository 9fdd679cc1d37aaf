// Clients that leave at narrow moments (docs/acceptance.md): what they requested is withdrawn and not sent.
#include <boost/asio/write.hpp>

#include "adapters/pending_admission.hpp"
#include "adapters/raw_client.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

TEST_CASE("a client that closes while it is not read from is noticed: its request is withdrawn") {
    for (bool reset : {false, true}) {
        FrontRig rig;
        RawClient client(rig.loop, rig.pg.local());
        client.send(startup() + query("1"));
        REQUIRE(rig.wait_for_requests(1));
        // More than a session keeps unread, in the kernel's buffers on both sides.
        std::string more;
        while (more.size() < 400000) more += query("n");
        boost::system::error_code ec;
        std::size_t sent = 0;
        REQUIRE(rig.loop.until([&] {
            sent += client.socket.write_some(boost::asio::buffer(&more[sent], more.size() - sent), ec);
            return ec || sent == more.size();
        }));
        rig.loop.settle();
        CHECK(rig.admission.withdrawn.empty());
        if (reset) client.socket.set_option(boost::asio::socket_base::linger(true, 0));
        client.socket.close();
        CHECK(rig.loop.until([&] { return rig.admission.withdrawn.size() == 1; }));
        CHECK(rig.admission.requests.size() == 1);
        CHECK(rig.pg.connections() == 0);
    }
}

TEST_CASE(
    "a departed client's request is not sent: unread behind another, in the limiter, between two attempts") {
    enum class Where { unread, limiter, between };
    for (Where where : {Where::unread, Where::limiter, Where::between}) {
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
        if (where == Where::between) REQUIRE(pooler.loop.until([&] { return received() == 2; }));
        pooler.loop.settle();
        const int before = received();
        // The attempts fail and the client leaves: the pooler sees both before it decides on anything.
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

TEST_CASE("a connection to a host that is established after its request's client has gone carries nothing") {
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
        std::string all(4096, '\0');
        all.resize(link.read_some(boost::asio::buffer(all), ec));
        CHECK(all.find("INSERT") == std::string::npos);
    }
}

}  // namespace
}  // namespace indigovane::testing
