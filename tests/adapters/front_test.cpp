// The fronts' connections against a model of their states: random commands, cut and pipelined at random.
#include <boost/asio/write.hpp>

#include "adapters/pg_front.hpp"
#include "adapters/rest_front.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using routing::FinalError;

// Answers each item as the first letter of its id says; 'h' is held until its client goes away.
struct FakeIntake : routing::RequestAdmission {
    explicit FakeIntake(Loop& l) : loop(l) {}
    routing::RequestId accept(routing::ClientRequest item, routing::Responder& responder) override {
        routing::RequestId id{++count};
        open[id] = &responder;
        last = item;
        if (item.id[0] != 'h') boost::asio::post(loop.io, [this, id, item] { answer(id, item); });
        return id;
    }
    bool has_capacity(std::size_t bytes) const override { return bytes <= room; }
    bool is_open(const std::string& id) const override { return taken.count(id) > 0; }
    void resume(routing::RequestId) override { ++resumed; }
    void withdraw(routing::RequestId id, Departure) override { withdrawn += int(open.erase(id)); }
    void answer(routing::RequestId id, const routing::ClientRequest& item) {
        auto it = open.find(id);
        if (it == open.end()) return;
        routing::Responder* to = it->second;
        open.erase(it);
        routing::Answer a;
        bool page = item.verb == routing::ClientRequest::Verb::page;
        for (std::uint32_t i = 0; i < (page ? std::min(item.limit, 3u) : 1); ++i)
            a.rows.push_back({page ? item.name + "x" + std::to_string(i) : "", value});
        switch (item.id[0]) {
            case 's':
                return to->served(a);
            case 'r':
                return to->ended({FinalError::Kind::rejected, false, 250ms});
            case 'd':
                return to->ended({FinalError::Kind::failed, true, {}});
            default:
                return to->ended({FinalError::Kind::failed, false, {}});
        }
    }
    Loop& loop;
    std::map<routing::RequestId, routing::Responder*> open;
    routing::ClientRequest last;
    std::uint64_t count = 0;
    int withdrawn = 0, resumed = 0;
    std::string value = "v";
    std::set<std::string> taken;
    std::size_t room = 1 << 20;
};

template <typename Front>
struct Rig {
    Loop loop;
    NullLogger logger;
    FakeIntake admission{loop};
    adapters::Classes known = classes();
    Front front;
    template <typename... More>
    explicit Rig(std::size_t most, More... more)
        : front(loop.io, loopback(), most, known, options(more...), admission, logger) {
        front.start();
    }
    using Options = std::conditional_t<std::is_same_v<Front, adapters::PgFront>, adapters::PgOptions,
                                       adapters::RestOptions>;
    static Options options() { return {}; }
    static Options options(Options given) { return given; }
    // Sends in pieces, so that requests arrive halved as well as several at once.
    void send(Client& client, std::string bytes, Dice& dice) {
        while (!bytes.empty()) {
            std::size_t count = std::min(bytes.size(), dice.below(4) ? dice.below(200) + 1 : 300000);
            client.send(bytes.substr(0, count));
            bytes.erase(0, count);
            for (std::size_t n = dice.below(3); n > 0; --n) {
                loop.io.restart();
                loop.io.poll();
            }
        }
    }
};
using PgRig = Rig<adapters::PgFront>;
using RestRig = Rig<adapters::RestFront>;

std::string sql(std::string id, std::string more = "") {
    return "/* id=" + id + ",c=stock-view,t=a,d=900,cluster=1" + more +
           " */ SELECT content FROM kv WHERE name = 'a'";
}

TEST_CASE("pg: random commands are answered as the model of a connection has it") {
    enum class State { startup, ready, skipping };
    Dice dice(11);
    for (int round = 0; round < 25; ++round) {
        PgRig rig(8);
        Client client(rig.loop, rig.front.local());
        State state = State::startup;
        for (int burst = 0; burst < 8; ++burst) {
            std::string bytes, expected;
            std::vector<std::string> codes;
            auto command = [&](std::string message, std::string types, std::string code = "") {
                bytes += message;
                if (state == State::skipping) return;  // silence up to Sync
                expected += types;
                if (!code.empty()) codes.push_back(code);
            };
            if (state == State::startup) {
                command(pg::Writer().startup("backend", "store").take(), "RZ");
                state = State::ready;
            }
            for (std::size_t n = dice.below(5); n > 0; --n) {
                auto query = [&](std::string text) { return pg::Writer().query(text).take(); };
                switch (dice.below(13)) {
                    case 0:
                        command(query(""), "IZ");
                        break;
                    case 1:
                        command(query(" /* id=1 */ ; "), "IZ");
                        break;
                    case 2:
                        command(query(sql("s1")), "TDCZ");
                        break;
                    case 3:
                        command(query(sql("r1")), "EZ", "53300");
                        break;
                    case 4:
                        command(query(sql("f1")), "EZ", "08006");
                        break;
                    case 5:
                        command(query(sql("d1")), "EZ", "57014");
                        break;
                    case 6:
                        command(query(sql("s1", ",c2") + " "), "EZ", "42601");
                        break;
                    case 7:
                        command(query(sql("s1") + "; SELECT 2"), "EZ", "42601");
                        break;
                    case 8:
                        command(query("/* id=1,c=nope,d=9,cluster=1 */ SELECT 1"), "EZ", "22023");
                        break;
                    case 9:
                        command(query("/* id=1,c=stock-view,d=x,cluster=1 */ SELECT 1"), "EZ", "22023");
                        break;
                    case 10:
                        command(query("SET a = b"), "CZ");
                        break;
                    case 11:
                        command(pg::Writer().plain('P', "x").take(), "E", "0A000");
                        state = State::skipping;
                        break;
                    case 12:
                        command(pg::Writer().plain('F', "x").take(), "EZ", "0A000");
                        break;
                }
            }
            state = State::ready;
            command(pg::Writer().plain('S', "").take(), "Z");
            rig.send(client, bytes, dice);
            std::string seen;
            std::size_t at = 0;
            while (seen.size() < expected.size()) {
                std::string types = client.reply();
                seen += types;
                if (client.code.empty()) continue;
                // The codes come in their order; several may precede one ReadyForQuery only after a Parse.
                while (at < codes.size() && codes[at] != client.code) ++at;
                CHECK(at < codes.size());
            }
            REQUIRE(seen == expected);
            CHECK(!client.closed);
        }
        CHECK(rig.admission.open.empty());
    }
}

TEST_CASE("pg: what breaks the protocol ends the connection with an error, no more") {
    for (auto [bytes, code] :
         {std::pair{std::string("\0\0\0\3", 4), "08P01"},
          {std::string("\0\0\0\x8\0\2\0\0", 8), "0A000"},
          {pg::Writer().startup("u", "d").plain('y', "").take(), "08P01"},
          {pg::Writer().startup("u", "d").take() + std::string("Q\0\0\0\1", 5), "08P01"},
          {pg::Writer().startup("u", "d").take() + "Q\x3f\xff\xff\xff", "54000"},
          // what begins and does not end, or never begins, however long it waits
          {std::string(), "08P01"},
          {pg::Writer().startup("u", "d").take().substr(0, 11), "08P01"},
          {pg::Writer().startup("u", "d").query("SELECT 1").take().substr(0, 40), "08P01"},
          {std::string("\0\0\0\x8\x04\xd2\x16\x2f", 8), "08P01"},
          {std::string("\0\0\0\x8\x04\xd2\x16\x2f\0\0\0\x8\x04\xd2\x16\x2f"
                       "\0\0\0\x8\x04\xd2\x16\x2f",
                       24),
           "08P01"},
          // the header is enough, and the last words are read though more keeps coming
          {pg::Writer().startup("u", "d").query(std::string(9 << 20, 'x')).take(), "54000"}}) {
        PgRig rig(8, adapters::PgOptions{.client_timeout = 300ms});
        Client client(rig.loop, rig.front.local());
        client.send(bytes);
        REQUIRE(rig.loop.until([&] { return client.closed; }));
        CHECK(client.in.find(code) != std::string::npos);
        CHECK(rig.front.connections() == 0);
    }
}

TEST_CASE("pg: what a member could not read or would turn away is answered here") {
    PgRig rig(8);
    rig.admission.taken = {"taken"};
    rig.admission.room = 64 << 20;
    Client client(rig.loop, rig.front.local());
    client.send(pg::Writer().startup("u", "d").take());
    client.reply();
    const std::string read = "/* id=s1,c=stock-view,t=a,d=9,cluster=1 */ ";
    auto write = [](std::string key, std::string value) {
        return "/* id=s1,c=scan-write,t=a,d=9" + key +
               ",cluster=1 */ INSERT INTO kv (name, content) VALUES ('a', '" + value + "') RETURNING content";
    };
    for (auto [sql, code] : {
             std::pair{read + "SELECT nonsense", "42601"},
             {read + "SELECT content FROM kv WHERE name = ''", "42601"},
             {read + "SELECT content FROM kv WHERE name = '" + std::string(2000, 'a') + "'", "42601"},
             {read + "SELECT content FROM kv WHERE name = '\xff'", "22021"},
             {read + "SELECT content FROM kv WHERE name = 'a\x01'", "22021"},
             {read + "INSERT INTO kv (name, content) VALUES ('a', '\\x00') RETURNING content", "42601"},
             {write("", "\\x00"), "22023"},
             {write(",k=1", "\\x0"), "42601"},
             {write(",k=1", "\\xzz"), "42601"},
             {write(",k=1", "a\\b"), "42601"},
             {write(",k=1", "\\x" + std::string(2 * ((4 << 20) + 1), '0')), "42601"},
             {std::string("/* id=s1,id=s2,c=stock-view,cluster=1 */ SELECT content FROM kv WHERE name = 'a'"),
              "22023"},
             {std::string("/* id=s 1,c=stock-view,cluster=1 */ SELECT content FROM kv WHERE name = 'a'"),
              "22023"},
             {std::string("/* id=taken,c=stock-view,cluster=1 */ SELECT content FROM kv WHERE name = 'a'"),
              "22023"},
         }) {
        client.send(pg::Writer().query(sql).take());
        CHECK(client.reply() == "EZ");
        CHECK_MESSAGE(client.code == code, sql);
    }
    CHECK(rig.admission.count == 0);
    client.send(pg::Writer().query(write(",k=1", "\\x" + std::string(2 * (4 << 20), '0'))).take());
    CHECK(client.reply() == "TDCZ");
}

// In a crowd it was closed with its answer owed, and the intake kept a pointer to a session that was gone.
TEST_CASE("a client that sends much behind its request still gets its answer, however crowded the door is") {
    Rig<adapters::PgFront> rig(100);
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
    std::exchange(rig.admission.open, {}).begin()->second->served(answer);
    CHECK(client.reply() == "TDCZ");
}

TEST_CASE("pg: a client that reads nothing is closed, and one that leaves too much unfinished") {
    Dice dice(51);
    PgRig rig(8, adapters::PgOptions{.client_timeout = 300ms});
    {
        Client deaf(rig.loop, rig.front.local());
        deaf.connection->limit_unread(0);
        std::string many;
        for (int i = 0; i < 300000; ++i) many += "Q\0\0\0\5";
        deaf.send(pg::Writer().startup("u", "d").take());
        for (int i = 0; i < 40; ++i) deaf.send(pg::Writer().query("x").take() + many);
        REQUIRE(rig.loop.until([&] { return rig.front.connections() == 0; }));
    }
    {
        // One that reads slowly is waited for: the answer it is owed is whole in the end.
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
    for (auto& c : clients) no_memory += c->in.find("53200") != std::string::npos;
    CHECK(no_memory > 0);
}

// The model of a long answer: so much is with the client, and no more is taken in than it has room for.
TEST_CASE("pg: a long value is passed on as it comes, at its client's pace, and a broken one closes") {
    Dice dice(23);
    for (int round = 0; round < 12; ++round) {
        PgRig rig(8);
        Client client(rig.loop, rig.front.local());
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
        client.send(pg::Writer().query(sql("h1")).take());
        REQUIRE(rig.loop.until([&] { return rig.admission.open.size() == 1; }));
        CHECK(rig.admission.last.in_pieces);
        routing::RequestId id = rig.admission.open.begin()->first;
        routing::Responder* to = rig.admission.open.begin()->second;
        std::string value(100000 + dice.below(1000000), 'v');
        bool breaks = dice.below(3) == 0;
        to->began({}, value.size());
        std::size_t sent = 0, pauses = 0, stop = breaks ? dice.below(value.size()) : value.size();
        bool room = true;
        while (sent < stop) {
            std::size_t count = std::min(stop - sent, dice.below(40000) + 1);
            if (!room) {
                int before = rig.admission.resumed;
                REQUIRE(rig.loop.until([&] { return rig.admission.resumed > before; }));
                ++pauses;
            }
            room = to->piece(std::string_view(value).substr(sent, count));
            sent += count;
        }
        CHECK((pauses > 0 || stop < 100000));
        rig.admission.open.erase(id);
        if (breaks) {
            to->broken();
            REQUIRE(rig.loop.until([&] { return client.closed; }));
            CHECK(client.in.find("SELECT 1") == std::string::npos);  // no end: it can be told
            CHECK(rig.front.connections() == 0);
        } else {
            routing::Answer end;
            end.tag = "SELECT 1";
            to->served(end);
            CHECK(client.reply() == "TDCZ");
            CHECK(client.value == value);
            client.send(pg::Writer().query(sql("s2")).take());
            CHECK(client.reply() == "TDCZ");
            CHECK(client.value == "v");
        }
    }
}

TEST_CASE("pg: a client that leaves a long value unread is given up, and its request withdrawn") {
    Loop loop;
    NullLogger logger;
    FakeIntake admission{loop};
    adapters::Classes known = classes();
    adapters::PgFront front(loop.io, loopback(), 8, known, {.client_timeout = 10s, .reading = 20ms},
                            admission, logger);
    front.start();
    boost::asio::ip::tcp::socket mute(loop.io);  // reads nothing
    mute.connect(front.local());
    std::string bytes = pg::Writer().startup("u", "d").take() + pg::Writer().query(sql("h1")).take();
    boost::asio::write(mute, boost::asio::buffer(bytes));
    REQUIRE(loop.until([&] { return admission.open.size() == 1; }));
    routing::Responder* to = admission.open.begin()->second;
    to->began({}, 64 << 20);
    std::string piece(1 << 20, 'v');
    REQUIRE(loop.until([&] {
        if (admission.withdrawn == 0) to->piece(piece);
        return admission.withdrawn > 0;
    }));
    CHECK(front.connections() == 0);
}

TEST_CASE("pg: long statements are read as far as there is room for them, one after the other") {
    PgRig rig(8);
    rig.admission.room = 64 << 20;
    rig.front.limit_long(5 << 20);
    auto statement = [](std::string id, std::size_t size) {
        return pg::Writer()
            .query("/* id=" + id +
                   ",c=scan-write,t=a,d=900,k=1,cluster=1 */ INSERT INTO kv (name, content) VALUES ('a', '" +
                   pg::hex(std::string(size, 'v')) + "') RETURNING content")
            .take();
    };
    std::vector<std::unique_ptr<Client>> clients;
    std::string one = statement("s1", 1 << 20), two = statement("s2", 1 << 20);
    for (int i = 0; i < 2; ++i) {
        clients.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
        clients.back()->send(pg::Writer().startup("u", "d").take());
        clients.back()->reply();
    }
    clients[0]->send(one.substr(0, 1 << 20));  // it has the room, and is not whole yet
    rig.loop.settle();
    clients[1]->send(two);
    rig.loop.settle();
    CHECK(rig.admission.count == 0);
    clients[0]->send(one.substr(1 << 20));
    CHECK(clients[0]->reply() == "TDCZ");
    CHECK(clients[1]->reply() == "TDCZ");  // whose turn it is then
    CHECK(rig.admission.last.statement.size() + 6 == two.size());
    CHECK(!rig.admission.last.content);
    // What there can never be room for is told by its header, and one that does not go on gives its room
    // back.
    Client large(rig.loop, rig.front.local());
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
    rig.loop.settle();
    clients[0]->connection->close();
    clients[1]->send(two);
    CHECK(clients[1]->reply() == "TDCZ");
}

TEST_CASE("clients that ask once and stay leave room for others, long before the limit") {
    PgRig rig(100);
    rig.front.limit_served(3);
    Client busy(rig.loop, rig.front.local());
    busy.send(pg::Writer().startup("u", "d").query(sql("h1")).take());
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
        clients.back()->send(pg::Writer().startup("u", "d").query(sql("s1")).take());
        clients.back()->reply();
        CHECK(clients.back()->reply() == "TDCZ");  // the answer first, whoever gives way
    }
    REQUIRE(rig.loop.until([&] { return rig.front.connections() == 3; }));
    rig.loop.settle();
    CHECK(!busy.closed);
    for (int i = 0; i < 8; ++i) CHECK(clients[i]->closed == (i < 6));
}

TEST_CASE("at the limit silent connections displace each other, not who has been served") {
    PgRig rig(4);
    Client served(rig.loop, rig.front.local());
    served.send(pg::Writer().startup("u", "d").query(sql("s1")).take());
    served.reply();
    CHECK(served.reply() == "TDCZ");
    std::vector<std::unique_ptr<Client>> silent;
    for (int i = 0; i < 12; ++i) {
        silent.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
        for (int i = 0; i < 3; ++i) rig.loop.settle();  // they had their time to ask
    }
    CHECK(!served.closed);
    CHECK(silent.front()->closed);
    CHECK(rig.front.connections() <= 4);
}

TEST_CASE("pg: SSL is declined, a session key is told, a refusal says when to come again") {
    PgRig rig(8);
    Client client(rig.loop, rig.front.local());
    client.send(std::string("\0\0\0\x8\x04\xd2\x16\x2f", 8));
    REQUIRE(rig.loop.until([&] { return client.in == "N"; }));
    client.in.clear();
    client.send(pg::Writer().startup("u", "d").query(sql("r1")).take());
    client.reply();
    CHECK(client.reply() == "EZ");
    CHECK(client.detail == "250");
    client.send(
        pg::Writer()
            .query("/* id=s1,c=own-order,r=1,d=0,cluster=7 */ SELECT content FROM kv WHERE name = '00ff'")
            .take());
    CHECK(client.reply() == "TDCZ");
    CHECK(rig.admission.last.session == 255u);
    CHECK(rig.admission.last.is_retry);
    CHECK(rig.admission.last.client_timeout.count() == 0);
}

TEST_CASE_TEMPLATE("a client that goes away withdraws what it asked", R, PgRig, RestRig) {
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

TEST_CASE("at the limit the session that stood idle longest gives way, and a busy one never") {
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
    rig.front.close_idle();  // as at the end of the program: what is owed is still answered
    rig.loop.settle();
    CHECK(clients[5]->closed);
    CHECK(!clients[0]->closed);
    routing::ClientRequest item;
    item.id = "s";
    rig.admission.answer(rig.admission.open.begin()->first, item);
    CHECK(clients[0]->reply() == "TDCZ");
    CHECK(rig.loop.until([&] { return clients[0]->closed; }));
}

TEST_CASE("rest: random requests are answered as the model of a connection has it") {
    const std::string base = "/v1/clusters/1/kv";
    struct Kind {
        std::string method, target, id;
        int status;
    };
    const std::vector<Kind> kinds{{"GET", base + "?class=stock-view", "s", 200},
                                  {"GET", base + "?class=stock-view&limit=2&prefix=a%26b", "s", 200},
                                  {"HEAD", base + "?class=stock-view", "s", 200},
                                  {"GET", base + "/n?class=own-order&session=1", "s", 200},
                                  {"GET", base + "?class=stock-view", "r", 503},
                                  {"GET", base + "?class=stock-view", "f", 502},
                                  {"GET", base + "?class=stock-view", "d", 504},
                                  {"GET", base + "?class=stock-view&cursor=AAAA", "s", 400},
                                  {"GET", base + "?class=stock-view&cursor=", "s", 400},
                                  {"GET", base + "?class=stock-view&limit=0", "s", 400},
                                  {"GET", base + "?class=stock-view&limit=11", "s", 400},
                                  {"GET", base + "?class=stock-view&limit=2x", "s", 400},
                                  {"GET", base + "?class=stock-view&colour=red", "s", 400},
                                  {"GET", base + "?class=stock-view&class=stock-view", "s", 400},
                                  {"GET", base + "?class=scan-write", "s", 400},
                                  {"GET", base + "?class=own-order", "s", 400},
                                  {"GET", base + "?class=stock-view&wait_ms=-1", "s", 400},
                                  {"GET", base + "?class=stock-view&tenant=a*%2F", "s", 400},
                                  {"GET", base, "s", 400},
                                  {"GET", "/v1/%zz", "s", 400},
                                  {"GET", "/v1/clusters/x/kv?class=stock-view", "s", 404},
                                  {"GET", "/elsewhere", "s", 404},
                                  {"DELETE", base + "?class=stock-view", "s", 405},
                                  {"GET", "/health", "s", 200}};
    Dice dice(12);
    for (int round = 0; round < 25; ++round) {
        RestRig rig(8, adapters::RestOptions{.page_size = 2, .page_size_most = 10});
        Client client(rig.loop, rig.front.local());
        for (int burst = 0; burst < 8; ++burst) {
            std::vector<Kind> sent;
            std::string bytes;
            for (std::size_t n = dice.below(6) + 1; n > 0; --n) {
                const Kind& k = kinds[dice.below(kinds.size())];
                if (k.method == "HEAD" && n > 1) continue;  // the reader below wants to know of it
                sent.push_back(k);
                bytes += http::write_request(k.method, k.target, "h", {{"Request-Id", k.id}});
            }
            rig.send(client, bytes, dice);
            for (const Kind& k : sent) {
                if (k.method == "HEAD") {
                    REQUIRE(rig.loop.until([&] { return client.in.find("\r\n\r\n") != std::string::npos; }));
                    CHECK(client.in.rfind("HTTP/1.1 200 OK", 0) == 0);
                    rig.loop.settle();
                    CHECK(client.in.size() == client.in.find("\r\n\r\n") + 4);  // no body
                    client.in.clear();
                    continue;
                }
                auto r = client.response();
                CHECK_MESSAGE(r.status == k.status, k.target);
                if (r.status >= 400) {
                    CHECK(json::parse(client.body)["status"] == k.status);
                    CHECK(json::parse(client.body)["type"].get<std::string>().rfind("urn:indigovane:problem:",
                                                                                    0) == 0);
                }
                if (r.status == 503) CHECK(r.field("retry-after") == "1");
                if (r.status == 405) CHECK(r.field("allow"));
            }
        }
        CHECK(rig.admission.open.empty());
        CHECK(!client.closed);
    }
}

TEST_CASE("what the memory has no room for is turned away, and the connection kept") {
    PgRig rig(8);
    Client client(rig.loop, rig.front.local());
    rig.admission.room = 10;
    client.send(pg::Writer().startup("u", "d").query(sql("s1")).take());
    client.reply();
    CHECK(client.reply() == "EZ");
    CHECK(client.code == "53300");
    CHECK(rig.admission.count == 0);
    rig.admission.room = 1000;
    client.send(pg::Writer().query(sql("s1")).take());
    CHECK(client.reply() == "TDCZ");
    RestRig rest(8, adapters::RestOptions{});
    Client reader(rest.loop, rest.front.local());
    rest.admission.room = 0;
    CHECK(reader.get("/v1/clusters/1/kv/n?class=stock-view").status == 503);
}

TEST_CASE("rest: a page ends with its cursor, and the last one with none") {
    RestRig rig(8, adapters::RestOptions{.page_size = 2, .page_size_most = 10});
    Client client(rig.loop, rig.front.local());
    auto get = [&](std::string target) { return client.get(target, {{"Request-Id", "s"}}); };
    auto r = get("/v1/clusters/1/kv?class=stock-view&prefix=p+q");  // three rows are there, two fit
    std::string cursor = json::parse(client.body)["next"];
    std::string link(*r.field("link"));
    CHECK(link ==
          "</v1/clusters/1/kv?class=stock-view&prefix=p%20q&limit=2&cursor=" + cursor + ">; rel=\"next\"");
    CHECK(rig.admission.last.limit == 3);
    CHECK(get("/v1/clusters/1/kv?class=stock-view&cursor=" + cursor).status == 400);  // another query's
    CHECK(get(link.substr(1, link.find('>') - 1)).status == 200);
    CHECK(rig.admission.last.name == "x1");
    r = get("/v1/clusters/1/kv?class=stock-view&limit=10");
    CHECK(json::parse(client.body)["next"].is_null());
    CHECK(!r.field("link"));
}

TEST_CASE("rest: what can't be read is answered and the connection closed") {
    for (auto [bytes, status] :
         {std::pair{std::string("nonsense\r\n\r\n"), 400},
          {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(9000, 'a'), 431},
          {std::string("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n"), 413},
          {std::string("GET / HTTP/3.0\r\nHost: h\r\n\r\n"), 505},
          {std::string("GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), 200},
          {std::string("GET / HTTP/1.1\r\nHos"), 408}}) {
        RestRig rig(8, adapters::RestOptions{.half_request = 30ms});
        Client client(rig.loop, rig.front.local());
        client.send(bytes);
        CHECK(client.response().status == status);
        CHECK(rig.loop.until([&] { return client.closed; }));
        CHECK(rig.front.connections() == 0);
    }
}

}  // namespace
}  // namespace indigovane::testing
