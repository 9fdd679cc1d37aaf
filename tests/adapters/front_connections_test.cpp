// Limits of the fronts' connections: which are closed, which stay, and what is rejected.
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "adapters/scripted_front.hpp"

namespace indigovane::testing {
namespace {

// Closing it before its answer would leave the admission with a pointer to a destroyed session.
TEST_CASE("a client that pipelines more than the byte limit still gets its answer") {
    PgRig rig(100);
    rig.front.limit_bytes(1000);
    Client client(rig.loop, rig.front.local());
    client.send(pg::Writer().startup("u", "d").query(sql("h1")).take());
    CHECK(client.reply() == "RZ");
    REQUIRE(rig.loop.until([&] { return rig.admission.open.size() == 1; }));
    for (int i = 0; i < 4; ++i) {
        client.send(pg::Writer().query(std::string(15000, 'x')).take());
        rig.loop.settle();
    }
    CHECK(rig.admission.withdrawn == 0);
    REQUIRE(rig.admission.open.size() == 1);
    routing::Answer answer;
    answer.rows.push_back({"", "v"});
    std::exchange(rig.admission.open, {}).begin()->second->on_answer(answer);
    CHECK(client.reply() == "TDCZ");
}

TEST_CASE("pg: a client that reads nothing is closed, and so are incomplete messages beyond the byte limit") {
    Dice dice(51);
    PgRig rig(8, adapters::PgOptions{.client_timeout = 300ms});
    {
        Client unreading(rig.loop, rig.front.local());
        unreading.connection->limit_unread(0);
        std::string many;
        for (int i = 0; i < 300000; ++i) many += "Q\0\0\0\5";
        unreading.send(pg::Writer().startup("u", "d").take());
        for (int i = 0; i < 40; ++i) unreading.send(pg::Writer().query("x").take() + many);
        REQUIRE(rig.loop.until([&] { return rig.front.connections() == 0; }));
    }
    {
        // One that reads slowly is waited for: its answer arrives complete.
        Client slow(rig.loop, rig.front.local());
        slow.connection->limit_unread(1);
        rig.admission.value = std::string(4 << 20, 'v');
        slow.send(pg::Writer().startup("u", "d").query(sql("s1")).take());
        std::size_t got = 0;
        while (got < rig.admission.value.size() && !slow.closed) {
            std::size_t before = slow.in.size();
            REQUIRE(rig.loop.until([&] { return slow.in.size() > before || slow.closed; }));
            if (dice.below(60) == 0) rig.loop.settle();
            got = slow.in.size();
        }
        CHECK(slow.reply() == "RZ");
        CHECK(slow.reply() == "TDCZ");
        rig.admission.value = "v";
    }
    rig.front.limit_bytes(100000);
    std::vector<std::unique_ptr<Client>> clients;
    const std::string half =
        pg::Writer().startup("u", "d").query(std::string(150000, 'x')).take().substr(0, 70000);
    for (int i = 0; i < 3; ++i) {
        clients.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
        clients.back()->send(half);
    }
    REQUIRE(rig.loop.until([&] { return clients[0]->closed && clients[1]->closed && clients[2]->closed; }));
    int no_memory = 0;
    for (auto& client : clients) no_memory += client->in.find("53200") != std::string::npos;
    CHECK(no_memory > 0);
}

TEST_CASE("idle clients that were served are closed at the served limit, long before the connection limit") {
    PgRig rig(100);
    rig.front.limit_served(3);
    Client busy(rig.loop, rig.front.local());
    busy.send(pg::Writer().startup("u", "d").query(sql("h1")).take());
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
        clients.back()->send(pg::Writer().startup("u", "d").query(sql("s1")).take());
        clients.back()->reply();
        CHECK(clients.back()->reply() == "TDCZ");  // the answer comes before any close
    }
    REQUIRE(rig.loop.until([&] { return rig.front.connections() == 3; }));
    rig.loop.settle();
    CHECK(!busy.closed);
    for (int i = 0; i < 8; ++i) CHECK(clients[i]->closed == (i < 6));
}

TEST_CASE("at the limit connections without a request displace each other, not served ones") {
    PgRig rig(4);
    Client served(rig.loop, rig.front.local());
    served.send(pg::Writer().startup("u", "d").query(sql("s1")).take());
    served.reply();
    CHECK(served.reply() == "TDCZ");
    std::vector<std::unique_ptr<Client>> idle;
    for (int i = 0; i < 12; ++i) {
        idle.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
        for (int wait = 0; wait < 3; ++wait) rig.loop.settle();  // past the time for a first request
    }
    CHECK(!served.closed);
    CHECK(idle.front()->closed);
    CHECK(rig.front.connections() <= 4);
}

TEST_CASE_TEMPLATE("a client that closes withdraws its request", R, PgRig, RestRig) {
    auto rig = [] {
        if constexpr (std::is_same_v<R, PgRig>)
            return std::make_unique<R>(8);
        else
            return std::make_unique<R>(8, adapters::RestOptions{});
    }();
    {
        Client client(rig->loop, rig->front.local());
        client.send(std::is_same_v<R, PgRig>
                        ? pg::Writer().startup("u", "d").query(sql("h1")).take()
                        : http::write_request("GET", "/v1/clusters/1/kv?class=stock-view", "h",
                                              {{"Request-Id", "h"}}));
        REQUIRE(rig->loop.until([&] { return rig->admission.open.size() == 1; }));
    }
    CHECK(rig->loop.until([&] { return rig->admission.withdrawn == 1; }));
    CHECK(rig->front.connections() == 0);
}

TEST_CASE("at the limit the session that was idle longest is closed, and a busy one never") {
    PgRig rig(3);
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 6; ++i) {
        clients.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
        clients.back()->send(pg::Writer().startup("u", "d").query(sql(i == 0 ? "h1" : "s1")).take());
        CHECK(clients.back()->reply() == "RZ");
        if (i > 0) CHECK(clients.back()->reply() == "TDCZ");
    }
    rig.loop.settle();
    CHECK(!clients[0]->closed);
    CHECK(clients[1]->closed);
    CHECK(!clients[5]->closed);
    CHECK(rig.front.connections() <= 3);
    rig.front.stop_accepting();
    rig.front.close_idle();  // as at shutdown: requests in flight are still answered
    rig.loop.settle();
    CHECK(clients[5]->closed);
    CHECK(!clients[0]->closed);
    routing::ClientRequest request;
    request.id = "s";
    rig.admission.answer(rig.admission.open.begin()->first, request);
    CHECK(clients[0]->reply() == "TDCZ");
    CHECK(rig.loop.until([&] { return clients[0]->closed; }));
}

TEST_CASE("a request beyond the memory limit is rejected, and its connection stays open") {
    PgRig rig(8);
    Client client(rig.loop, rig.front.local());
    rig.admission.capacity = 10;
    client.send(pg::Writer().startup("u", "d").query(sql("s1")).take());
    client.reply();
    CHECK(client.reply() == "EZ");
    CHECK(client.code == "53300");
    CHECK(rig.admission.count == 0);
    rig.admission.capacity = 1000;
    client.send(pg::Writer().query(sql("s1")).take());
    CHECK(client.reply() == "TDCZ");
    RestRig rest(8, adapters::RestOptions{});
    Client reader(rest.loop, rest.front.local());
    rest.admission.capacity = 0;
    CHECK(reader.get("/v1/clusters/1/kv/n?class=stock-view").status == 503);
}

}  // namespace
}  // namespace indigovane::testing
