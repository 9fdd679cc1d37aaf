// The PostgreSQL front with values and statements that are longer than a connection's buffer.
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "adapters/scripted_front.hpp"

namespace indigovane::testing {
namespace {

// Sends random pieces as a host would, and pauses whenever the front has no capacity for another one.
TEST_CASE(
    "pg: a long value is forwarded in pieces as its client reads them, and a truncated one closes "
    "the connection") {
    Dice dice(23);
    for (int round = 0; round < 12; ++round) {
        ScriptedPgFront fixture(8);
        Client client(fixture.loop, fixture.front.local());
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
        client.send(pg::Writer().query(sql("h1")).take());
        REQUIRE(fixture.loop.until([&] { return fixture.admission.open.size() == 1; }));
        CHECK(fixture.admission.last.may_stream_answer);
        routing::RequestId id = fixture.admission.open.begin()->first;
        routing::Responder* responder = fixture.admission.open.begin()->second;
        std::string value(100000 + dice.below(1000000), 'v');
        bool is_truncated = dice.below(3) == 0;
        responder->on_answer_started({}, value.size());
        std::size_t sent = 0;
        std::size_t pauses = 0;
        const std::size_t stop = is_truncated ? dice.below(value.size()) : value.size();
        bool has_capacity = true;
        while (sent < stop) {
            std::size_t count = std::min(stop - sent, dice.below(40000) + 1);
            if (!has_capacity) {
                int before = fixture.admission.resumed;
                REQUIRE(fixture.loop.until([&] { return fixture.admission.resumed > before; }));
                ++pauses;
            }
            has_capacity = responder->on_answer_piece(std::string_view(value).substr(sent, count));
            sent += count;
        }
        CHECK((pauses > 0 || stop < 100000));
        fixture.admission.open.erase(id);
        if (is_truncated) {
            responder->on_answer_aborted();
            REQUIRE(fixture.loop.until([&] { return client.closed; }));
            // Without a CommandComplete the client recognizes that the value is truncated.
            CHECK(client.in.find("SELECT 1") == std::string::npos);
            CHECK(fixture.front.connections() == 0);
        } else {
            routing::Answer end;
            end.tag = "SELECT 1";
            responder->on_answer(end);
            CHECK(client.reply() == "TDCZ");
            CHECK(client.value == value);
            client.send(pg::Writer().query(sql("s2")).take());
            CHECK(client.reply() == "TDCZ");
            CHECK(client.value == "v");
        }
    }
}

TEST_CASE("pg: a client that leaves a long value unread is closed, and its request withdrawn") {
    Loop loop;
    NullLogger logger;
    ScriptedAdmission admission{loop};
    adapters::Classes known = classes();
    adapters::PgFront front(loop.io, loopback(), 8, known, {.client_timeout = 10s, .read_timeout = 20ms},
                            admission, logger);
    front.start();
    boost::asio::ip::tcp::socket unread(loop.io);  // reads nothing
    unread.connect(front.local());
    std::string bytes = pg::Writer().startup("u", "d").take() + pg::Writer().query(sql("h1")).take();
    boost::asio::write(unread, boost::asio::buffer(bytes));
    REQUIRE(loop.until([&] { return admission.open.size() == 1; }));
    routing::Responder* responder = admission.open.begin()->second;
    responder->on_answer_started({}, 64 << 20);
    std::string piece(1 << 20, 'v');
    REQUIRE(loop.until([&] {
        if (admission.withdrawn == 0) responder->on_answer_piece(piece);
        return admission.withdrawn > 0;
    }));
    CHECK(front.connections() == 0);
}

TEST_CASE("pg: long statements are read while there is capacity for them, and wait in line otherwise") {
    ScriptedPgFront fixture(8);
    fixture.admission.capacity = 64 << 20;
    fixture.front.limit_long_message_bytes(5 << 20);
    auto statement = [](std::string id, std::size_t size) {
        return pg::Writer()
            .query("/* id=" + id +
                   ",c=scan-write,t=a,d=900,k=1,cluster=1 */ INSERT INTO kv (name, content) VALUES ('a', '" +
                   pg::hex(std::string(size, 'v')) + "') RETURNING content")
            .take();
    };
    std::vector<std::unique_ptr<Client>> clients;
    const std::string one = statement("s1", 1 << 20);
    const std::string two = statement("s2", 1 << 20);
    for (int i = 0; i < 2; ++i) {
        clients.push_back(std::make_unique<Client>(fixture.loop, fixture.front.local()));
        clients.back()->send(pg::Writer().startup("u", "d").take());
        clients.back()->reply();
    }
    clients[0]->send(one.substr(0, 1 << 20));  // it holds the capacity and is incomplete
    fixture.loop.settle();
    clients[1]->send(two);
    fixture.loop.settle();
    CHECK(fixture.admission.count == 0);
    clients[0]->send(one.substr(1 << 20));
    CHECK(clients[0]->reply() == "TDCZ");
    CHECK(clients[1]->reply() == "TDCZ");  // next in line
    CHECK(fixture.admission.last.statement.size() + 6 == two.size());
    CHECK(!fixture.admission.last.content);
    // A statement that exceeds the capacity is rejected by its header. A rejected or abandoned one releases
    // its capacity.
    Client large(fixture.loop, fixture.front.local());
    large.send(pg::Writer().startup("u", "d").take());
    large.reply();
    large.send(statement("s3", 2 << 20).substr(0, 100));
    large.reply();
    CHECK(large.code == "54000");
    std::string bad = statement("s4", 1 << 20);
    bad[bad.size() - 40] = 'z';
    clients[0]->send(bad);
    CHECK(clients[0]->reply() == "EZ");
    clients[0]->send(one.substr(0, 500000));
    fixture.loop.settle();
    clients[0]->connection->close();
    clients[1]->send(two);
    CHECK(clients[1]->reply() == "TDCZ");
}

}  // namespace
}  // namespace indigovane::testing
