// The PostgreSQL front: random commands checked against a model of a connection, and statements that it
// answers without a host.
#include <string>
#include <utility>
#include <vector>

#include "adapters/scripted_front.hpp"

namespace indigovane::testing {
namespace {

// Predicts a connection's answers from its state: startup, ready, or skipping messages up to Sync.
class ConnectionModel {
  public:
    explicit ConnectionModel(Dice& dice) : dice_(dice) {}

    // Generates random commands, followed by Sync.
    void next_burst() {
        bytes.clear();
        expected.clear();
        codes.clear();
        if (state_ == State::startup) {
            command(pg::Writer().startup("backend", "store").take(), "RZ");
            state_ = State::ready;
        }
        for (std::size_t n = dice_.below(5); n > 0; --n) random_command();
        state_ = State::ready;
        command(pg::Writer().plain('S', "").take(), "Z");
    }

    std::string bytes;               // the commands as sent
    std::string expected;            // types of the messages of their answers
    std::vector<std::string> codes;  // SQLSTATEs of the answers, in order

  private:
    enum class State { startup, ready, skipping };

    void command(const std::string& message, const std::string& types, const std::string& code = "") {
        bytes += message;
        if (state_ == State::skipping) return;  // no answer up to Sync
        expected += types;
        if (!code.empty()) codes.push_back(code);
    }
    void query(const std::string& text, const std::string& types, const std::string& code = "") {
        command(pg::Writer().query(text).take(), types, code);
    }
    void random_command() {
        switch (dice_.below(13)) {
            case 0:
                query("", "IZ");
                break;
            case 1:
                query(" /* id=1 */ ; ", "IZ");
                break;
            case 2:
                query(sql("s1"), "TDCZ");
                break;
            case 3:
                query(sql("r1"), "EZ", "53300");
                break;
            case 4:
                query(sql("f1"), "EZ", "08006");
                break;
            case 5:
                query(sql("d1"), "EZ", "57014");
                break;
            case 6:
                query(sql("s1", ",c2") + " ", "EZ", "42601");
                break;
            case 7:
                query(sql("s1") + "; SELECT 2", "EZ", "42601");
                break;
            case 8:
                query("/* id=1,c=nope,d=9,cluster=1 */ SELECT 1", "EZ", "22023");
                break;
            case 9:
                query("/* id=1,c=stock-view,d=x,cluster=1 */ SELECT 1", "EZ", "22023");
                break;
            case 10:
                query("SET a = b", "CZ");
                break;
            case 11:
                command(pg::Writer().plain('P', "x").take(), "E", "0A000");
                state_ = State::skipping;
                break;
            case 12:
                command(pg::Writer().plain('F', "x").take(), "EZ", "0A000");
                break;
        }
    }

    Dice& dice_;
    State state_ = State::startup;
};

void check_answers(Client& client, const ConnectionModel& model) {
    std::string received;
    std::size_t at = 0;
    while (received.size() < model.expected.size()) {
        received += client.reply();
        if (client.code.empty()) continue;
        // The codes arrive in order. Only after a Parse can several precede one ReadyForQuery.
        while (at < model.codes.size() && model.codes[at] != client.code) ++at;
        CHECK(at < model.codes.size());
    }
    REQUIRE(received == model.expected);
}

TEST_CASE("pg: random commands are answered as the model of a connection predicts") {
    Dice dice(11);
    for (int round = 0; round < 25; ++round) {
        ScriptedPgFront fixture(8);
        Client client(fixture.loop, fixture.front.local());
        ConnectionModel model(dice);
        for (int burst = 0; burst < 8; ++burst) {
            model.next_burst();
            fixture.send(client, model.bytes, dice);
            check_answers(client, model);
            CHECK(!client.closed);
        }
        CHECK(fixture.admission.open.empty());
    }
}

TEST_CASE("pg: a protocol violation is answered with an error and closes the connection") {
    for (auto [bytes, code] :
         {std::pair{std::string("\0\0\0\3", 4), "08P01"},
          {std::string("\0\0\0\x8\0\2\0\0", 8), "0A000"},
          {pg::Writer().startup("u", "d").plain('y', "").take(), "08P01"},
          {pg::Writer().startup("u", "d").take() + std::string("Q\0\0\0\1", 5), "08P01"},
          {pg::Writer().startup("u", "d").take() + "Q\x3f\xff\xff\xff", "54000"},
          // incomplete or absent until the client timeout
          {std::string(), "08P01"},
          {pg::Writer().startup("u", "d").take().substr(0, 11), "08P01"},
          {pg::Writer().startup("u", "d").query("SELECT 1").take().substr(0, 40), "08P01"},
          {std::string("\0\0\0\x8\x04\xd2\x16\x2f", 8), "08P01"},
          {std::string("\0\0\0\x8\x04\xd2\x16\x2f\0\0\0\x8\x04\xd2\x16\x2f"
                       "\0\0\0\x8\x04\xd2\x16\x2f",
                       24),
           "08P01"},
          // too long by its header: the error is delivered although more bytes follow
          {pg::Writer().startup("u", "d").query(std::string(9 << 20, 'x')).take(), "54000"}}) {
        ScriptedPgFront fixture(8, adapters::PgOptions{.client_timeout = 300ms});
        Client client(fixture.loop, fixture.front.local());
        client.send(bytes);
        REQUIRE(fixture.loop.until([&] { return client.closed; }));
        CHECK(client.in.find(code) != std::string::npos);
        CHECK(fixture.front.connections() == 0);
    }
}

TEST_CASE("pg: a statement that a host could not read or would reject is answered by the pooler") {
    ScriptedPgFront fixture(8);
    fixture.admission.open_ids = {"taken"};
    fixture.admission.capacity = 64 << 20;
    Client client(fixture.loop, fixture.front.local());
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
    CHECK(fixture.admission.count == 0);
    client.send(pg::Writer().query(write(",k=1", "\\x" + std::string(2 * (4 << 20), '0'))).take());
    CHECK(client.reply() == "TDCZ");
}

TEST_CASE("pg: SSL is declined, a session key is read, and a rejection carries the time until a retry") {
    ScriptedPgFront fixture(8);
    Client client(fixture.loop, fixture.front.local());
    client.send(std::string("\0\0\0\x8\x04\xd2\x16\x2f", 8));
    REQUIRE(fixture.loop.until([&] { return client.in == "N"; }));
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
    CHECK(fixture.admission.last.session == 255u);
    CHECK(fixture.admission.last.is_retry);
    CHECK(fixture.admission.last.client_timeout.count() == 0);
}

}  // namespace
}  // namespace indigovane::testing
