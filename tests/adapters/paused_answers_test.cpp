// Hosts whose answers pause, through a complete pooler. An answer that its host goes on with was cut off
// after a pause of 150 ms although its client still waited; one that came byte by byte had no end at all.
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using Millis = std::chrono::milliseconds;

// How a host writes its answers to requests: the first `pause_at` bytes at once, the rest after `pause`.
struct AnswerScript {
    std::size_t pause_at = std::size_t(-1);
    Millis pause{0};
    bool goes_on = true;        // false: the rest never comes
    bool byte_by_byte = false;  // the rest comes as single bytes, with `pause` before each
    std::size_t piece =
        std::size_t(-1);  // the rest comes in pieces of that many bytes, with `pause` before each
};

template <typename BaseHost>
class PausingHost : public BaseHost {
  public:
    using BaseHost::BaseHost;
    AnswerScript script;

  protected:
    using Peer = typename BaseHost::Peer;
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        const int queries = this->host_.queries;
        std::string answer;
        bool has_message = BaseHost::take(peer, in, answer);
        if (this->host_.queries == queries || answer.size() <= script.pause_at) {
            out += answer;
            return has_message;
        }
        peer.connection->write(answer.substr(0, script.pause_at));
        if (script.goes_on) write_later(peer.connection, answer.substr(script.pause_at));
        return has_message;
    }

  private:
    void write_later(const std::shared_ptr<transport::Connection>& connection, std::string rest) {
        auto timer = std::make_shared<boost::asio::steady_timer>(this->loop_.io, script.pause);
        timer->async_wait([this, timer, connection, rest](const boost::system::error_code& ec) {
            if (ec || !connection->open()) return;
            std::size_t count = script.byte_by_byte ? 1 : std::min(rest.size(), script.piece);
            connection->write(rest.substr(0, count));
            if (rest.size() > count) write_later(connection, rest.substr(count));
        });
    }
};

using PausingPgHost = PausingHost<PgHost>;
using PausingRestHost = PausingHost<RestHost>;

template <typename Backend, typename StandInHost>
struct PausingDeployment : Deployment<Backend, StandInHost> {
    explicit PausingDeployment(const policy::Settings& settings = testing::settings())
        : Deployment<Backend, StandInHost>(64, settings), client(this->loop, this->pg.local()) {
        client.send(pg::Writer().startup("backend", "store").take());
        client.reply();
    }
    void set_value(std::size_t bytes) {
        for (Host& host : this->hosts) host.rows["r"] = std::string(bytes, 'v');
    }
    void set_script(const AnswerScript& script) {
        for (auto& server : this->servers) server->script = script;
    }
    std::string request(Millis timeout, bool write = false) {
        std::string id = std::to_string(++ids);
        std::string head =
            "/* id=" + id + ",t=vilaine,cluster=3,d=" + std::to_string(timeout.count()) + ",c=";
        auto begin = std::chrono::steady_clock::now();
        client.send(pg::Writer()
                        .query(write ? head + "scan-write,k=" + id +
                                           " */ INSERT INTO kv (name, content) VALUES ('r', '\\x9f03') "
                                           "RETURNING content"
                                     : head + "stock-view */ SELECT content FROM kv WHERE name = 'r'")
                        .take());
        std::string messages = client.reply();
        time = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - begin);
        return messages;
    }
    int queries() const { return this->hosts[0].queries + this->hosts[1].queries + this->hosts[2].queries; }
    Client client;
    int ids = 0;
    Millis time{};  // of the last request
};

using PausingPgDeployment = PausingDeployment<adapters::PgBackend, PausingPgHost>;
using PausingRestDeployment = PausingDeployment<adapters::RestBackend, PausingRestHost>;

constexpr std::size_t kLongValue = 65536;  // its row is streamed
constexpr std::size_t kShortValue = 1024;
constexpr Millis kTimeout{800};
// A request is lost if it is answered later than this after its time (docs/acceptance.md).
constexpr Millis kLatest{500};

}  // namespace

// The pause is as long as TCP takes to send a lost segment again.
TEST_CASE("paused answers: a long value is delivered whole, wherever its answer pauses") {
    PausingPgDeployment d;
    d.set_value(kLongValue);
    REQUIRE(d.request(kTimeout) == "TDCZ");
    const std::size_t before_value = 40, after_value = 50 + kLongValue;
    for (std::size_t at : {before_value, kLongValue / 2, after_value}) {
        d.set_script({.pause_at = at, .pause = 200ms});
        CHECK(d.request(kTimeout) == "TDCZ");
        CHECK(d.client.value.size() == kLongValue);
        CHECK(d.time <= kTimeout);
    }
}

TEST_CASE_TEMPLATE("paused answers: a read is served although every answer pauses", Pooler,
                   PausingPgDeployment, PausingRestDeployment) {
    Pooler d;
    d.set_value(kShortValue);
    REQUIRE(d.request(kTimeout) == "TDCZ");
    d.set_script({.pause_at = 50, .pause = 200ms});
    for (int i = 0; i < 4; ++i) {
        CHECK(d.request(kTimeout) == "TDCZ");
        CHECK(d.time <= kTimeout);
    }
}

TEST_CASE_TEMPLATE("paused answers: a write that must not run twice is waited for and sent once", Pooler,
                   PausingPgDeployment, PausingRestDeployment) {
    policy::Settings settings = testing::settings();
    settings.classes[2].idempotency = policy::Idempotency::not_idempotent;
    Pooler d(settings);
    d.set_script({.pause_at = 50, .pause = 400ms});
    CHECK(d.request(kTimeout, true) == "TDCZ");
    CHECK(d.hosts[0].executed_writes.size() + std::size_t(d.hosts[0].queries) >= 1);
    CHECK(d.queries() == 1);
}

// Without it a read would wait for its whole time for a host that hangs within its answer.
TEST_CASE_TEMPLATE("paused answers: a read is retried elsewhere after a first short pause", Pooler,
                   PausingPgDeployment, PausingRestDeployment) {
    Pooler d;
    d.set_value(kShortValue);
    REQUIRE(d.request(kTimeout) == "TDCZ");
    for (std::size_t hanging : {1, 2}) {
        d.set_script({});
        d.servers[hanging]->script = {.pause_at = 50, .goes_on = false};
        for (int i = 0; i < 6; ++i) {
            CHECK(d.request(kTimeout) == "TDCZ");
            CHECK(d.time <= kTimeout / 2);
        }
    }
}

// A response that has started has no deadline while its host goes on with it, but one that hardly does has an
// end.
TEST_CASE(
    "paused answers: a long value that stops, or comes at a trickle, is ended some seconds after its time") {
    constexpr Millis kLookInterval{5000};
    PausingPgDeployment d;
    d.set_value(kLongValue);
    REQUIRE(d.request(kTimeout) == "TDCZ");
    for (bool byte_by_byte : {false, true}) {
        d.set_script(
            {.pause_at = 10000, .pause = 20ms, .goes_on = byte_by_byte, .byte_by_byte = byte_by_byte});
        Client client(d.loop, d.pg.local());
        client.send(pg::Writer().startup("backend", "store").take());
        client.reply();
        auto begin = std::chrono::steady_clock::now();
        client.send(pg::Writer()
                        .query("/* id=" + std::to_string(++d.ids) +
                               ",t=vilaine,cluster=3,d=" + std::to_string(kTimeout.count()) +
                               ",c=stock-view */ SELECT content FROM kv WHERE name = 'r'")
                        .take());
        REQUIRE(d.loop.until([&] { return client.closed; }));  // so that the client can tell
        auto time = std::chrono::steady_clock::now() - begin;
        CHECK(time >= kTimeout);
        CHECK(time <= kTimeout + kLookInterval + kLatest);
    }
}

// Guards against a limit that cuts off what a slow host is still sending.
TEST_CASE(
    "paused answers: a long value that its host goes on with after the request's time is delivered whole") {
    PausingPgDeployment d;
    d.set_value(kLongValue);
    REQUIRE(d.request(kTimeout) == "TDCZ");
    d.set_script({.pause_at = 1000, .pause = 100ms, .piece = 2000});
    CHECK(d.request(kTimeout) == "TDCZ");
    CHECK(d.client.value.size() == kLongValue);
    CHECK(d.time > 3 * kTimeout);
}

}  // namespace indigovane::testing
