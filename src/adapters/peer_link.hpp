// Sends and receives the datagrams between poolers, if the settings permit them. `routing` decides what is
// announced and whether a received announcement is acted on. No call blocks, and no request depends on a
// datagram.
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
    std::vector<boost::asio::ip::udp::endpoint> peers;  // datagrams from other addresses count as foreign
    std::uint32_t cluster = 0;      // protocol::peer::cluster_number() of the cluster's name
    std::uint64_t incarnation = 0;  // a new one for each start of this process
    // Delay before a primary is sent the second time. Each is sent twice, since datagrams get lost.
    std::chrono::milliseconds again{250};
    // Shortest delay before the first send. A newer primary of the same group replaces the older one
    // meanwhile; all primaries that are due at the same time share datagrams.
    std::chrono::milliseconds gather{20};
};

// Numbers of datagrams since the start.
struct PeerCounts {
    std::uint64_t sent = 0, dropped = 0;  // dropped: the send failed, for example for lack of buffer space
    // foreign: from an unknown address or another cluster; old: a duplicate, or received after a newer one.
    std::uint64_t accepted = 0, malformed = 0, foreign = 0, old = 0;
};

// Used by the event loop's thread only.
class PeerLink {
  public:
    using PrimaryHandler = std::function<void(const protocol::peer::Primary&)>;
    // Throws boost::system::system_error if the socket cannot be bound to `options.listen`. `on_primary` is
    // called for each primary of an accepted datagram.
    PeerLink(boost::asio::io_context& io, PeerOptions options, PrimaryHandler on_primary);

    // Sends the primary to all peers. It replaces a pending announcement for the same group.
    void announce(protocol::peer::Primary primary);
    boost::asio::ip::udp::endpoint local() const { return socket_.local_endpoint(); }
    const PeerCounts& counts() const { return counts_; }

  private:
    void receive();
    void process_datagram(std::size_t length);
    void schedule_send();
    void send();

    struct PendingPrimary {
        protocol::peer::Primary primary;
        int sends = 0;  // how often it has been sent
        std::chrono::steady_clock::time_point next_send;
    };
    struct LastMessage {
        std::uint64_t incarnation = 0;
        std::uint32_t number = 0;
    };

    PeerOptions options_;
    PrimaryHandler on_primary_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer timer_;
    bool is_timer_set_ = false;
    // One byte longer than the largest datagram, so that a longer one is recognized instead of truncated to a
    // valid one.
    std::array<char, protocol::peer::kMaxDatagramBytes + 1> buffer_{};
    boost::asio::ip::udp::endpoint sender_;
    std::map<std::uint32_t, PendingPrimary> pending_;  // by group
    // By sender. Bounded, since only datagrams of the peers are accepted.
    std::map<boost::asio::ip::udp::endpoint, LastMessage> last_messages_;
    std::uint32_t sent_number_ = 0;  // of the latest datagram sent
    PeerCounts counts_;
};

}  // namespace indigovane::adapters
