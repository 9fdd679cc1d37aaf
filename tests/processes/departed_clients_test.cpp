// Clients of real processes that close their connection while requests of theirs are unread, queued or in
// flight. What a client that has left had asked for is not begun any more, and a request that may have run is
// not run again when its id comes a second time, here or at the other process of an upgrade.
#include "processes/raw_socket.hpp"
#include "processes/single_pooler.hpp"

namespace indigovane::testing {
namespace {

// An attempt that begins later than this after its client closed is a lost request (docs/acceptance.md).
constexpr Millis kLatestAttempt{100};

std::string hello() {
    return pg::Writer().startup("backend", "store").take();
}
std::string read_of(const std::string& id, const std::string& request_class = "page") {
    return pg::Writer()
        .query("/* id=" + id + ",c=" + request_class +
               ",d=2000,cluster=3 */ SELECT content FROM kv WHERE name = 'a1'")
        .take();
}
std::string write_of(const std::string& id) {
    return pg::Writer()
        .query("/* id=" + id +
               ",c=order,d=2000,cluster=3 */ INSERT INTO kv (name, content) VALUES ('a1', 'v') RETURNING "
               "content")
        .take();
}

int times_sent(const SinglePooler& d, const std::string& id) {
    int count = 0;
    for (const Host& host : d.hosts)
        for (const std::string& statement : host.asked) count += statement.find(id) != std::string::npos;
    return count;
}

enum class Close { close, reset };

// How many statements reached a host later than kLatestAttempt after the client had closed.
int late_attempts(std::size_t sent_ahead, Close how, bool may_cancel) {
    SinglePooler d({.may_cancel = may_cancel});
    for (Host& host : d.hosts) host.duration_by_prefix["SELECT"] = 15ms;
    RawSocket client(d.address());
    client.queue(hello());
    for (std::size_t i = 0; i < sent_ahead; ++i) client.queue(read_of(d.next_id()));
    auto stop = std::chrono::steady_clock::now() + 200ms;
    while (std::chrono::steady_clock::now() < stop) {
        client.pump(1 << 20, 0);  // reads no answer
        d.wait(1ms);
    }
    int sent = 0;
    for (Host& host : d.hosts) sent += host.queries;
    CHECK(sent > 0);
    how == Close::reset ? client.reset() : client.close();
    auto closed = std::chrono::steady_clock::now();
    d.wait(1500ms);
    int late = 0;
    for (Host& host : d.hosts)
        for (auto time : host.query_times) late += time > closed + kLatestAttempt;
    return late;
}

// Sends a write whose host takes long, leaves, and sends the same id on a new connection after `pause`.
int times_sent_after_return(const std::string& message, const std::string& id, Millis pause,
                            bool may_cancel) {
    SinglePooler d({.may_cancel = may_cancel});
    for (Host& host : d.hosts) host.duration_by_prefix["INSERT"] = host.duration_by_prefix["SELECT"] = 200ms;
    RawSocket first(d.address());
    first.queue(hello() + message);
    for (int i = 0; i < 50 && times_sent(d, id) == 0; ++i) {
        first.pump(1 << 20, 1 << 16);
        d.wait(2ms);
    }
    REQUIRE(times_sent(d, id) == 1);
    first.close();
    d.wait(pause);
    auto second = d.client();
    second->send(message);
    second->reply();
    return times_sent(d, id);
}

}  // namespace

TEST_CASE("departed clients: no request of a client that has closed is begun") {
    for (Close how : {Close::close, Close::reset})
        for (bool may_cancel : {true, false})
            for (std::size_t sent_ahead : {5u, 100u, 1500u, 8000u}) {
                CAPTURE(sent_ahead);
                CAPTURE(may_cancel);
                CAPTURE((how == Close::reset));
                CHECK(late_attempts(sent_ahead, how, may_cancel) == 0);
            }
}

TEST_CASE("departed clients: a write that may have run is not sent again under its id") {
    for (bool may_cancel : {true, false})
        for (Millis pause : {5ms, 60ms, 400ms}) {
            CAPTURE(pause.count());
            CAPTURE(may_cancel);
            CHECK(times_sent_after_return(write_of("00000000000000aa"), "00000000000000aa", pause,
                                          may_cancel) == 1);
        }
}

TEST_CASE(
    "departed clients: a write in flight at the old process of an upgrade does not run at the new one") {
    for (Millis pause : {5ms, 60ms, 400ms}) {
        CAPTURE(pause.count());
        SinglePooler d({});
        for (Host& host : d.hosts) host.duration_by_prefix["INSERT"] = 200ms;
        const std::string id = "00000000000000bb";
        auto before = std::make_unique<RawSocket>(d.address());
        before->queue(hello() + write_of(id));
        for (int i = 0; i < 50 && times_sent(d, id) == 0; ++i) {
            before->pump(1 << 20, 1 << 16);
            d.wait(2ms);
        }
        REQUIRE(times_sent(d, id) == 1);
        auto successor = d.start_process("successor");
        d.process->send(SIGTERM);
        before->close();
        d.wait(pause);
        auto after = d.client();
        after->send(write_of(id));
        after->reply();
        CHECK(times_sent(d, id) == 1);
        // Another one is served there.
        after->send(write_of("00000000000000cc"));
        CHECK(after->reply() == "TDCZ");
    }
}

}  // namespace indigovane::testing
