#include "adapters/peer_link.hpp"

#include <algorithm>

namespace indigovane::adapters {

namespace asio = boost::asio;
namespace peer = protocol::peer;
using asio::ip::udp;

namespace {
// Datagrams get lost. If both are lost, the peers find the primary with a health check of their own.
constexpr int kSendsPerPrimary = 2;
}  // namespace

PeerLink::PeerLink(asio::io_context& io, PeerOptions options, PrimaryHandler on_primary)
    : options_(std::move(options)), on_primary_(std::move(on_primary)), socket_(io), timer_(io) {
    socket_.open(options_.listen.protocol());
    socket_.bind(options_.listen);
    socket_.non_blocking(true);
    receive();
}

void PeerLink::receive() {
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](const boost::system::error_code& ec, std::size_t length) {
                                   if (ec == asio::error::operation_aborted) return;
                                   // An error may come from an earlier send to a peer that does not listen.
                                   // Receiving continues.
                                   if (!ec) process_datagram(length);
                                   receive();
                               });
}

void PeerLink::process_datagram(std::size_t length) {
    if (std::find(options_.peers.begin(), options_.peers.end(), sender_) == options_.peers.end()) {
        ++counts_.foreign;
        return;
    }
    auto message = peer::read({buffer_.data(), length});
    if (!message || message->cluster != options_.cluster) {
        ++(message ? counts_.foreign : counts_.malformed);
        return;
    }
    LastMessage& last = last_messages_[sender_];
    if (last.incarnation == message->incarnation && message->number <= last.number) {
        ++counts_.old;
        return;
    }
    last = {message->incarnation, message->number};
    ++counts_.accepted;
    for (const peer::Primary& primary : message->primaries) on_primary_(primary);
}

void PeerLink::announce(peer::Primary primary) {
    std::uint32_t group = primary.group;
    pending_[group] = {std::move(primary), 0, std::chrono::steady_clock::now() + options_.gather};
    schedule_send();
}

void PeerLink::schedule_send() {
    if (pending_.empty() || std::exchange(is_timer_set_, true)) return;
    auto next_send = std::min_element(pending_.begin(), pending_.end(), [](const auto& a, const auto& b) {
                         return a.second.next_send < b.second.next_send;
                     })->second.next_send;
    timer_.expires_at(next_send);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec) return;
        is_timer_set_ = false;
        send();
        schedule_send();
    });
}

void PeerLink::send() {
    peer::Message message{options_.cluster, options_.incarnation, 0, {}};
    auto now = std::chrono::steady_clock::now();
    for (auto it = pending_.begin(); it != pending_.end();) {
        PendingPrimary& pending = it->second;
        if (pending.next_send <= now) {
            message.primaries.push_back(pending.primary);
            pending.next_send = now + options_.again;
            ++pending.sends;
        }
        it = pending.sends >= kSendsPerPrimary ? pending_.erase(it) : std::next(it);
    }
    while (!message.primaries.empty()) {
        message.number = ++sent_number_;
        std::string bytes = peer::write(message);
        for (const udp::endpoint& address : options_.peers) {
            boost::system::error_code ec;
            socket_.send_to(asio::buffer(bytes), address, 0, ec);
            ++(ec ? counts_.dropped : counts_.sent);
        }
    }
}

}  // namespace indigovane::adapters
