// The bounds of one turn of the event loop. Without them a peer that sends without a pause keeps the loop
// from its deadlines and from all other peers.
#include "transport/loop_turn.hpp"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "doctest/doctest.h"
#include "support/event_loop.hpp"
#include "support/loopback.hpp"
#include "transport/channel.hpp"

namespace indigovane::testing {
namespace {

namespace asio = boost::asio;
using transport::LoopTurn;

// Uses the processor for `time`.
void spend(std::chrono::microseconds time) {
    auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
    }
}

TEST_CASE("loop turn: it ends although a handler is always ready") {
    asio::io_context io;
    int runs = 0;
    std::function<void()> again = [&] {
        ++runs;
        asio::post(io, again);
    };
    asio::post(io, again);
    LoopTurn::Report report = LoopTurn::of(io).run(io);
    CHECK(runs > 1);
    CHECK(report.handlers == std::size_t(runs));
    CHECK(report.time >= LoopTurn::kMaxTurn);
}

TEST_CASE("loop turn: it ends when no handler is ready, and waits no longer than it may") {
    asio::io_context io;
    auto keeps_running = asio::make_work_guard(io);
    int runs = 0;
    for (int i = 0; i < 3; ++i) asio::post(io, [&] { ++runs; });
    CHECK(LoopTurn::of(io).run(io).handlers == 3);
    CHECK(runs == 3);
    CHECK(LoopTurn::of(io).run(io, 1ms).handlers == 0);
}

TEST_CASE("loop turn: a handler may go on for its share, which begins anew with each handler") {
    asio::io_context io;
    LoopTurn& turn = LoopTurn::of(io);
    std::vector<bool> answers;
    auto handler = [&] {
        answers.push_back(turn.may_continue());
        spend(std::chrono::duration_cast<std::chrono::microseconds>(LoopTurn::kMaxHandler) + 1us);
        answers.push_back(turn.may_continue());
    };
    asio::post(io, handler);
    asio::post(io, handler);
    turn.run(io);
    CHECK(answers == std::vector<bool>{true, false, true, false});
}

// Handles its input byte by byte, and yields whenever it has to.
struct SlowReader : transport::Connection::Handler {
    explicit SlowReader(Loop& loop) : connection(std::make_shared<transport::Connection>(loop.io)) {}
    ~SlowReader() { connection->detach(); }
    void on_data(transport::Buffer& in) override {
        ++calls;
        while (!in.empty()) {
            in.consume(1);
            ++received;
            spend(20us);
            if (connection->must_yield()) return;
        }
    }
    void on_closed(const transport::error_code&) override { received_at_close = received; }
    std::shared_ptr<transport::Connection> connection;
    std::size_t received = 0, calls = 0;
    std::optional<std::size_t> received_at_close;
};

struct ConnectedPair {
    explicit ConnectedPair(Loop& loop) : client(loop.io), acceptor(loop.io, loopback()), server(loop.io) {
        client.connect(acceptor.local_endpoint());
        acceptor.accept(server);
    }
    asio::ip::tcp::socket client;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket server;
};

TEST_CASE("loop turn: a connection that yields gets all its bytes before the end of the stream") {
    Loop loop;
    ConnectedPair pair(loop);
    SlowReader reader(loop);
    constexpr std::size_t kBytes = 3000;
    asio::write(pair.client, asio::buffer(std::string(kBytes, 'x')));
    pair.client.close();
    reader.connection->adopt(std::move(pair.server), reader);
    REQUIRE(loop.until([&] { return reader.received_at_close.has_value(); }));
    CHECK(reader.received_at_close == kBytes);
    CHECK(reader.calls > 10);
}

TEST_CASE("loop turn: a connection that reads up to its limit goes on after it has yielded") {
    Loop loop;
    ConnectedPair pair(loop);
    SlowReader reader(loop);
    reader.connection->limit_unread(1000);
    constexpr std::size_t kBytes = 10000;
    asio::write(pair.client, asio::buffer(std::string(kBytes, 'x')));
    reader.connection->adopt(std::move(pair.server), reader);
    CHECK(loop.until([&] { return reader.received == kBytes; }));
}

struct SlowChannelReader : transport::Channel::Handler {
    void on_message(transport::Channel&, std::string_view, transport::Descriptor) override {
        ++received;
        spend(100us);
    }
    void on_closed(transport::Channel&) override {}
    int received = 0;
};

TEST_CASE("loop turn: a process that sends messages without a pause over a channel leaves turns to others") {
    asio::io_context io;
    int sockets[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets) == 0);
    transport::Descriptor sender(sockets[1]);
    constexpr int kMessages = 200;
    for (int i = 0; i < kMessages; ++i) REQUIRE(::send(sender.get(), "message", 7, 0) == 7);
    SlowChannelReader reader;
    auto channel = std::make_shared<transport::Channel>(io, transport::Descriptor(sockets[0]), reader);
    channel->start();
    bool other_ran = false;
    int received_before_other = 0;
    asio::post(io, [&] {
        asio::post(io, [&] {
            other_ran = true;
            received_before_other = reader.received;
        });
    });
    while (!other_ran || reader.received < kMessages) LoopTurn::of(io).run(io);
    CHECK(received_before_other < kMessages / 2);
    channel->close();
}

}  // namespace
}  // namespace indigovane::testing
