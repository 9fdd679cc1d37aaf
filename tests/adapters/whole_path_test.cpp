// Complete paths on loopback: a front, the core with its routing policy, a backend and simulated hosts.
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using RestDeployment = Deployment<adapters::RestBackend, RestHost>;
using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

const std::string kPage = "/v1/clusters/3/kv?class=stock-view";

std::string next_target(const http::Response& response) {
    std::string link(response.field("link").value_or(""));
    CHECK((link.empty() || link.find(">; rel=\"next\"") != std::string::npos));
    return link.empty() ? "" : link.substr(1, link.find('>') - 1);
}
void append_names(Client& client, std::vector<std::string>& names) {
    json body = json::parse(client.body);
    for (auto& item : body["items"]) names.push_back(item["name"]);
}
template <typename Pooler>
std::vector<std::string> all_names(const Pooler& pooler) {
    std::vector<std::string> names;
    for (auto& [name, content] : pooler.hosts[0].rows) names.push_back(name);
    return names;
}

TEST_CASE_TEMPLATE("paging through all rows returns every row once, whichever protocol the hosts speak",
                   Pooler, RestDeployment, PgDeployment) {
    Pooler pooler;
    Client client(pooler.loop, pooler.rest.local());
    std::vector<std::string> names;
    for (std::string target = kPage + "&limit=5"; !target.empty();) {
        auto response = client.get(target);
        REQUIRE(response.status == 200);
        CHECK(response.field("data-position"));
        append_names(client, names);
        target = next_target(response);
    }
    CHECK(names == all_names(pooler));
    CHECK(pooler.hosts[0].queries == 0);  // bounded reads are not sent to the primary
    CHECK(client.get("/v1/clusters/3/kv/r105?class=own-order&session=s1").status == 200);
    CHECK(client.body == "value5");
}

TEST_CASE_TEMPLATE("a replica drained between two pages gets no new request, and every row is returned",
                   Pooler, RestDeployment, PgDeployment) {
    for (std::size_t drained : {1, 2}) {
        Pooler pooler;
        Client client(pooler.loop, pooler.rest.local());
        std::vector<std::string> names;
        int pages = 0, before = 0;
        for (std::string target = kPage + "&limit=3"; !target.empty(); ++pages) {
            if (pages == 3) {
                before = pooler.hosts[drained].queries;
                pooler.core.apply_endpoint_list(EndpointListKind::changes,
                                                {pooler.endpoint(drained, EndpointState::draining)});
            }
            auto response = client.get(target);
            REQUIRE(response.status == 200);
            append_names(client, names);
            target = next_target(response);
        }
        CHECK(names == all_names(pooler));
        CHECK(pooler.hosts[drained].queries == before);  // no request after the change of the list
        CHECK(pages > 3);
    }
}

TEST_CASE_TEMPLATE("the request of a client that leaves is abandoned at its host and not sent again", Pooler,
                   RestDeployment, PgDeployment) {
    Pooler pooler;
    std::string target = kPage + "&limit=3";
    {
        Client client(pooler.loop, pooler.rest.local());
        for (int page = 0; page < 2; ++page) target = next_target(client.get(target));
        pooler.hosts[1].silent = pooler.hosts[2].silent = true;
        int before = pooler.replica_queries();
        client.send(http::write_request("GET", target, "test", {}));
        REQUIRE(pooler.loop.until([&] { return pooler.replica_queries() == before + 1; }));
    }
    int sent = pooler.replica_queries() + pooler.hosts[0].queries;
    REQUIRE(pooler.loop.until(
        [&] { return pooler.hosts[1].abandoned + pooler.hosts[2].abandoned == 1 && pooler.core.idle(); }));
    pooler.loop.settle();
    CHECK(pooler.replica_queries() + pooler.hosts[0].queries == sent);
    CHECK(pooler.rest.connections() == 0);
}

TEST_CASE_TEMPLATE("with lagging replicas every page is fresh enough or rejected", Pooler, RestDeployment,
                   PgDeployment) {
    for (bool checks : {true, false}) {
        Pooler pooler;
        Client client(pooler.loop, pooler.rest.local());
        REQUIRE(client.get(kPage).status == 200);
        pooler.hosts[1].checks = pooler.hosts[2].checks = checks;
        pooler.hosts[1].lag_ms = 60000;
        int served = 0, refused = 0;
        for (int i = 0; i < 20; ++i) {
            if (i == 10) pooler.hosts[2].lag_ms = 60000;  // from now on no replica is fresh enough
            auto response = client.get(kPage + "&wait_ms=700");
            if (response.status == 200) {
                ++served;
                std::int64_t age = pooler.clock.to_unix(pooler.clock.now()) / 1000 -
                                   std::stoll(std::string(*response.field("data-position")));
                CHECK(age < 60000);
                CHECK(i < 10);
            } else {
                ++refused;
                CHECK((response.status == 503 || response.status == 504));
            }
        }
        CHECK(served >= 1);
        CHECK(refused >= 10);
        CHECK(pooler.hosts[0].queries == 0);  // rejected instead of sent to the primary
    }
}

TEST_CASE("a bounded read over sockets accepts 50 ms more lag than its bound of 3 s") {
    for (auto [lag, status] : {std::pair{3040, 200}, {3390, 503}}) {
        PgDeployment pooler;
        pooler.hosts[1].checks = pooler.hosts[2].checks = false;
        pooler.hosts[1].lag_ms = pooler.hosts[2].lag_ms = lag;
        Client client(pooler.loop, pooler.rest.local());
        CHECK(client.get(kPage).status == status);
        CHECK(pooler.replica_queries() > 0);
    }
}

TEST_CASE("a session's read sees its write, and goes to the primary if the replicas lag") {
    RestDeployment pooler;
    pooler.hosts[1].lag_ms = pooler.hosts[2].lag_ms = 2500;
    Client writer(pooler.loop, pooler.pg.local());
    writer.send(pg::Writer()
                    .startup("u", "d")
                    .query("/* id=1,c=scan-write,t=a,d=3000,k=k1,cluster=3 */ INSERT INTO kv (name, content) "
                           "VALUES ('abc', '\\x6869') RETURNING content")
                    .take());
    CHECK(writer.reply() == "RZ");
    CHECK(writer.reply() == "TDCZ");
    CHECK(writer.value == "hi");
    CHECK(pooler.hosts[0].asked.at(0) == "PUT /v1/clusters/3/kv/abc");
    Client reader(pooler.loop, pooler.rest.local());
    REQUIRE(reader.get("/v1/clusters/3/kv/abc?class=own-order&session=abc").status == 200);
    CHECK(reader.body == "hi");
    CHECK(pooler.hosts[0].queries == 2);
}

TEST_CASE("a PostgreSQL client is served by REST hosts") {
    RestDeployment pooler;
    Client client(pooler.loop, pooler.pg.local());
    client.send(pg::Writer().startup("u", "d").take());
    CHECK(client.reply() == "RZ");
    client.send(
        pg::Writer()
            .query("/* id=1,c=stock-view,t=a,d=3000,cluster=3 */ SELECT content FROM kv WHERE name = 'r104'")
            .take());
    CHECK(client.reply() == "TDCZ");
    CHECK(client.value == "value4");
    client.send(pg::Writer()
                    .query("/* id=2,c=stock-view,t=a,d=3000,cluster=3 */ SELECT name, content FROM kv WHERE "
                           "name > 'r110' ORDER BY name LIMIT 3")
                    .take());
    CHECK(client.reply() == "TDDDCZ");
    client.send(
        pg::Writer().query("/* id=3,c=stock-view,t=a,d=3000,cluster=3 */ SELECT sum(1) FROM kv").take());
    CHECK(client.reply() == "EZ");  // the REST protocol has no equivalent
}

TEST_CASE_TEMPLATE("rejections and missed deadlines are answered with their HTTP status", Pooler,
                   RestDeployment, PgDeployment) {
    Pooler pooler;
    Client client(pooler.loop, pooler.rest.local());
    REQUIRE(client.get(kPage).status == 200);
    for (Host& host : pooler.hosts) host.silent = true;
    auto response = client.get(kPage + "&wait_ms=300");
    CHECK(response.status == 504);
    CHECK(response.field("content-type") == "application/problem+json");
    CHECK(json::parse(client.body)["status"] == 504);
    for (Host& host : pooler.hosts) host.silent = false, host.rejecting = true;
    response = client.get(kPage + "&wait_ms=1500");
    CHECK((response.status == 503 || response.status == 504));
    CHECK(response.field("retry-after"));
    // No endpoint of that group is known, so that nothing can be sent.
    CHECK(client.get("/v1/clusters/9/kv?class=stock-view&wait_ms=400").status >= 503);
}

TEST_CASE("a write that may have run and can't be retried is failed, not rejected") {
    PgDeployment pooler;
    Client client(pooler.loop, pooler.pg.local());
    client.send(pg::Writer().startup("u", "d").take());
    client.reply();
    pooler.hosts[0].silent = true;
    client.send(pg::Writer()
                    .query("/* id=1,c=scan-write,t=a,d=400,k=1,cluster=3 */ INSERT INTO kv (name, content) "
                           "VALUES ('a', '\\x00') RETURNING content")
                    .take());
    CHECK(client.reply() == "EZ");
    CHECK(client.code == "57014");
    CHECK(pooler.hosts[0].queries == 1);  // sent once, unchanged except for field `d`
    std::string asked = pooler.hosts[0].asked.at(0);
    CHECK(asked.find("/* id=1,c=scan-write,t=a,d=") == 0);
    CHECK(asked.find(
              ",k=1,cluster=3 */ INSERT INTO kv (name, content) VALUES ('a', '\\x00') RETURNING content") !=
          std::string::npos);
}

TEST_CASE("a write whose connection is not established is rejected while its client has time left") {
    PgDeployment pooler;
    std::vector<boost::asio::ip::tcp::socket> mute;
    transport::Listener listener(pooler.loop.io, loopback(),
                                 [&](auto socket) { mute.push_back(std::move(socket)); });
    listener.start();
    auto primary = pooler.endpoint(0, EndpointState::ready);
    primary.address = text(listener.local());
    pooler.core.apply_endpoint_list(EndpointListKind::changes, {primary});
    Client client(pooler.loop, pooler.pg.local());
    client.send(pg::Writer()
                    .startup("u", "d")
                    .query("/* id=1,c=scan-write,t=a,d=2000,k=1,cluster=3 */ INSERT INTO kv (name, content) "
                           "VALUES ('a', '\\x00') RETURNING content")
                    .take());
    client.reply();
    CHECK(client.reply() == "EZ");
    CHECK(client.code == "53300");  // not 57014: it never ran, and its time was not up
    CHECK(!client.detail.empty());
}

TEST_CASE_TEMPLATE("hosts that leave the endpoint list are forgotten, and one that returns is used again",
                   Pooler, RestDeployment, PgDeployment) {
    Pooler pooler;
    Client client(pooler.loop, pooler.rest.local());
    for (int day = 0; day < 4; ++day) {
        CHECK(client.get(kPage).status == 200);
        auto one = pooler.endpoint(1, EndpointState::gone), two = pooler.endpoint(2, EndpointState::ready);
        if (day == 2) pooler.hosts[2].silent = true;
        if (day == 2) client.send(http::write_request("GET", kPage + "&wait_ms=900", "test", {}));
        int queries_before = pooler.hosts[2].queries + pooler.hosts[1].queries;
        if (day == 2) REQUIRE(pooler.loop.until([&] { return pooler.replica_queries() >= queries_before; }));
        if (day % 2)
            pooler.core.apply_endpoint_list(EndpointListKind::full,
                                            {pooler.endpoint(0, EndpointState::ready), two});
        else
            pooler.core.apply_endpoint_list(EndpointListKind::changes, {one});
        REQUIRE(pooler.loop.until([&] { return pooler.core.endpoint_count() == 2; }));
        if (day == 2) client.response();
        pooler.hosts[2].silent = false;
        two.uid = "new" + std::to_string(day);  // a new host at the same address, then the former one again
        pooler.core.apply_endpoint_list(EndpointListKind::changes,
                                        {two, pooler.endpoint(1, EndpointState::ready)});
        pooler.core.apply_endpoint_list(EndpointListKind::changes, {pooler.endpoint(2, EndpointState::gone)});
        int before = pooler.hosts[1].queries;
        REQUIRE(pooler.loop.until([&] {
            CHECK(client.get(kPage).status == 200);
            return pooler.hosts[1].queries > before && pooler.core.endpoint_count() == 3;
        }));
        two.state = EndpointState::gone;
        pooler.core.apply_endpoint_list(EndpointListKind::changes,
                                        {two, pooler.endpoint(2, EndpointState::ready)});
        REQUIRE(pooler.loop.until([&] { return pooler.core.endpoint_count() == 3; }));
    }
}

TEST_CASE("memory for requests is released when they end") {
    PgDeployment pooler;
    CHECK(!pooler.core.has_capacity(std::size_t(64 << 20) + 1));
    Client client(pooler.loop, pooler.rest.local());
    for (int i = 0; i < 5; ++i) CHECK(client.get(kPage).status == 200);
    REQUIRE(pooler.loop.until([&] { return pooler.core.idle(); }));
    CHECK(pooler.core.has_capacity(64 << 20));
}

TEST_CASE("values of 3 MiB reach six clients at once, complete") {
    PgDeployment pooler;
    std::string value(3 << 20, 'x');
    for (std::size_t i = 0; i < value.size(); i += 4099) value[i] = char(i / 4099);
    for (Host& host : pooler.hosts) host.rows["big"] = value;
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 6; ++i) {
        clients.push_back(std::make_unique<Client>(pooler.loop, pooler.pg.local()));
        clients.back()->send(pg::Writer().startup("u", "d").take());
        clients.back()->reply();
        clients.back()->send(
            pg::Writer()
                .query("/* id=b" + std::to_string(i) +
                       ",c=stock-view,t=a,d=3000,cluster=3 */ SELECT content FROM kv WHERE name = 'big'")
                .take());
    }
    for (auto& client : clients) {
        CHECK(client->reply() == "TDCZ");
        CHECK(client->value == value);
    }
    REQUIRE(pooler.loop.until([&] { return pooler.core.idle(); }));
    CHECK(pooler.hosts[0].queries == 0);
    CHECK(pooler.replica_queries() == 6);  // none was retried
}

TEST_CASE_TEMPLATE(
    "values of up to 4 MiB that arrive in pieces are written, whichever protocol the hosts speak", Pooler,
    RestDeployment, PgDeployment) {
    Pooler pooler;
    Dice dice(6);
    for (std::size_t size : {100u, 70000u, 200000u, 1000000u, 4u << 20}) {
        std::string value(size, 'x');
        for (std::size_t i = 0; i < size; i += 97) value[i] = char(dice.below(256));
        Client client(pooler.loop, pooler.pg.local());
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
        std::string bytes = pg::Writer()
                                .query("/* id=w" + std::to_string(size) +
                                       ",c=scan-write,t=a,d=3000,k=1,cluster=3 */ INSERT INTO kv (name, "
                                       "content) VALUES ('big', '" +
                                       pg::hex(value) + "') RETURNING content")
                                .take();
        while (!bytes.empty()) {
            std::size_t count = std::min(bytes.size(), 1 + dice.below(dice.below(2) ? 300 : 2000000));
            client.send(bytes.substr(0, count));
            bytes.erase(0, count);
            pooler.loop.io.restart();
            pooler.loop.io.poll();
        }
        CHECK(client.reply() == "TDCZ");
        CHECK(pooler.hosts[0].rows["big"] == value);
    }
    CHECK(pooler.hosts[0].queries == 5);
}

TEST_CASE("with only three connections to hosts all requests are answered") {
    PgDeployment pooler(3);
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 30; ++i) {
        clients.push_back(std::make_unique<Client>(pooler.loop, pooler.rest.local()));
        clients.back()->send(http::write_request("GET", kPage, "test", {}));
    }
    int served = 0;
    for (auto& client : clients) served += client->response().status == 200;
    CHECK(served >= 10);
    CHECK(pooler.core.connection_count() <= 3);
}

}  // namespace
}  // namespace indigovane::testing
