// Datagrams between poolers, where the settings permit them. Thin: what is worth telling and what is to be
// believed is decided in `routing`. Nothing here waits, and nothing of it is in a request's way.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <vector>

#include "protocol/peer.hpp"

namespace indigovane::adapters {

struct PeerOptions {
    boost::asio::ip::udp::endpoint listen;
    std::vector<boost::asio::ip::udp::endpoint> peers;  // a datagram from anywhere else is foreign
    std::uint32_t cluster = 0;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds again{250};  // each primary is sent twice, since datagrams get lost
    std::chrono::milliseconds gather{20};  // at most so often to each: what comes meanwhile goes together
};

struct PeerCounts {
    std::uint64_t sent = 0, dropped = 0;                              // dropped: the socket had no room
    std::uint64_t accepted = 0, malformed = 0, foreign = 0, old = 0;  // old: doubled, or overtaken by a newer
};

class PeerLink {
  public:
    using PrimaryHandler = std::function<void(const protocol::peer::Primary&)>;
    // Throws boost::system::system_error where the address can't be had.
    PeerLink(boost::asio::io_context& io, PeerOptions options, PrimaryHandler on_primary);

    void announce(protocol::peer::Primary primary);  // of a group the newest alone is kept
    boost::asio::ip::udp::endpoint local() const { return socket_.local_endpoint(); }
    const PeerCounts& counts() const { return counts_; }

  private:
    void receive();
    void take(std::size_t length);
    void schedule_send();
    void send();

    struct PendingPrimary {
        protocol::peer::Primary primary;
        int sends = 0;  // so far
        std::chrono::steady_clock::time_point next;
    };
    struct LastMessage {
        std::uint64_t incarnation = 0;
        std::uint32_t number = 0;
    };

    PeerOptions options_;
    PrimaryHandler on_primary_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer timer_;
    bool armed_ = false;
    std::array<char, protocol::peer::kMaxDatagramBytes + 1>
        buffer_{};  // one more: so that a longer one is seen as such
    boost::asio::ip::udp::endpoint from_;
    std::map<std::uint32_t, PendingPrimary> pending_;  // by group
    std::map<boost::asio::ip::udp::endpoint, LastMessage>
        last_messages_;  // by sender, of which there are as many as peers
    std::uint32_t number_ = 0;
    PeerCounts counts_;
};

}  // namespace indigovane::adapters
