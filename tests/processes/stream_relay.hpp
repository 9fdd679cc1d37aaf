// A relay between a pooler and a host that injects faults into their connections.
#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "support/event_loop.hpp"
#include "support/loopback.hpp"
#include "transport/listener.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::testing {

// Faults of the connections between one pooler and one host.
struct LinkFault {
    bool blocks_responses = false;      // host to pooler
    bool blocks_requests = false;       // pooler to host
    bool reset = false;                 // connections are reset, new ones at once
    std::chrono::milliseconds slow{0};  // delay of each piece, each way
    std::size_t trickle = 0;            // bytes at a time, each way; 0: all available
};

class StreamRelay {
  public:
    StreamRelay(Loop& loop, std::string to) : loop_(loop), to_(*transport::parse_socket_address(to)) {
        listener_ = std::make_unique<transport::Listener>(loop.io, loopback(), [this](auto socket) {
            ++opened_;
            auto pair = std::make_shared<Pair>(*this, std::move(socket));
            pairs_.insert(pair);
            pair->begin();
        });
        listener_->start();
    }
    ~StreamRelay() {
        listener_->close();
        auto pairs = pairs_;  // closing takes each out of the set
        for (auto& p : pairs) p->close();
    }
    std::string address() const { return text(listener_->local()); }
    std::size_t opened() const { return opened_; }
    // Blocked bytes are forwarded once the fault ends: a real network retransmits them.
    void set(LinkFault way) {
        way_ = way;
        auto pairs = pairs_;
        for (auto& p : pairs) way.reset ? p->close() : p->forward();
    }

  private:
    using Tcp = boost::asio::ip::tcp;
    struct Pair : std::enable_shared_from_this<Pair> {
        Pair(StreamRelay& r, Tcp::socket s) : relay(r), near(std::move(s)), far(r.loop_.io) {}
        void begin() {
            if (relay.way_.reset) return close();
            far.async_connect(relay.to_, [self = shared_from_this()](const auto& ec) {
                if (ec) return self->close();
                self->up = true;
                self->forward();
            });
            read(near, there, in_near);
        }
        void read(Tcp::socket& from, std::string& into, std::array<char, 16384>& buffer) {
            from.async_read_some(boost::asio::buffer(buffer), [self = shared_from_this(), &from, &into,
                                                               &buffer](const auto& ec, std::size_t n) {
                if (ec) return self->close();
                into.append(buffer.data(), n);
                self->forward();
                self->read(from, into, buffer);
            });
        }
        void forward() {
            if (!up || closed) return;
            if (!std::exchange(reading_far, true)) read(far, back, in_far);
            const LinkFault& w = relay.way_;
            if (!w.blocks_requests) pass(far, there, writing_requests);
            if (!w.blocks_responses) pass(near, back, writing_responses);
        }
        // With `trickle` the next piece is sent when the one before is written.
        void pass(Tcp::socket& to, std::string& bytes, bool& writing) {
            if (bytes.empty() || writing) return;
            std::size_t n = writing = relay.way_.trickle;
            if (n == 0) n = bytes.size();
            auto piece = std::make_shared<std::string>(bytes.substr(0, n));
            bytes.erase(0, piece->size());
            auto timer = std::make_shared<boost::asio::steady_timer>(relay.loop_.io, relay.way_.slow);
            timer->async_wait([self = shared_from_this(), &to, &writing, piece, timer](const auto&) {
                if (self->closed) return;
                boost::asio::async_write(to, boost::asio::buffer(*piece),
                                         [self, &writing, piece](const auto&, std::size_t) {
                                             if (std::exchange(writing, false)) self->forward();
                                         });
            });
        }
        void close() {
            if (std::exchange(closed, true)) return;
            boost::system::error_code ec;
            near.set_option(boost::asio::socket_base::linger(true, 0), ec);  // a reset
            near.close(ec);
            far.close(ec);
            relay.pairs_.erase(shared_from_this());
        }
        StreamRelay& relay;
        Tcp::socket near, far;
        std::string there, back;
        std::array<char, 16384> in_near{}, in_far{};
        bool up = false, closed = false, reading_far = false;
        bool writing_requests = false, writing_responses = false;
    };
    Loop& loop_;
    transport::SocketAddress to_;
    LinkFault way_;
    std::size_t opened_ = 0;
    std::set<std::shared_ptr<Pair>> pairs_;
    std::unique_ptr<transport::Listener> listener_;
};

}  // namespace indigovane::testing
