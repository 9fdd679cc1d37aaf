#include "adapters/peer_link.hpp"

#include <algorithm>

namespace indigovane::adapters {

namespace asio = boost::asio;
namespace peer = protocol::peer;
using asio::ip::udp;

namespace {
constexpr int kSendsPerPrimary = 2;  // datagrams get lost; one that is lost twice costs a health check
}

PeerLink::PeerLink(asio::io_context& io, PeerOptions options, PrimaryHandler on_primary)
    : options_(std::move(options)), on_primary_(std::move(on_primary)), socket_(io), timer_(io) {
    socket_.open(options_.listen.protocol());
    socket_.bind(options_.listen);
    socket_.non_blocking(true);
    receive();
}

void PeerLink::receive() {
    socket_.async_receive_from(asio::buffer(buffer_), from_,
                               [this](const boost::system::error_code& ec, std::size_t length) {
                                   if (ec == asio::error::operation_aborted) return;
                                   // An error of an earlier send (nobody listens there) ends nothing.
                                   if (!ec) take(length);
                                   receive();
                               });
}

void PeerLink::take(std::size_t length) {
    if (std::find(options_.peers.begin(), options_.peers.end(), from_) == options_.peers.end()) {
        ++counts_.foreign;
        return;
    }
    auto message = peer::read({buffer_.data(), length});
    if (!message || message->cluster != options_.cluster) {
        ++(message ? counts_.foreign : counts_.malformed);
        return;
    }
    LastMessage& last = last_messages_[from_];
    if (last.incarnation == message->incarnation && message->number <= last.number) {
        ++counts_.old;
        return;
    }
    last = {message->incarnation, message->number};
    ++counts_.accepted;
    for (const peer::Primary& p : message->primaries) on_primary_(p);
}

void PeerLink::announce(peer::Primary primary) {
    std::uint32_t group = primary.group;
    pending_[group] = {std::move(primary), 0, std::chrono::steady_clock::now() + options_.gather};
    schedule_send();
}

void PeerLink::schedule_send() {
    if (pending_.empty() || std::exchange(armed_, true)) return;
    auto next = std::min_element(pending_.begin(), pending_.end(), [](const auto& a, const auto& b) {
                    return a.second.next < b.second.next;
                })->second.next;
    timer_.expires_at(next);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec) return;
        armed_ = false;
        send();
        schedule_send();
    });
}

void PeerLink::send() {
    peer::Message message{options_.cluster, options_.incarnation, 0, {}};
    auto now = std::chrono::steady_clock::now();
    for (auto it = pending_.begin(); it != pending_.end();) {
        PendingPrimary& pending = it->second;
        if (pending.next <= now) {
            message.primaries.push_back(pending.primary);
            pending.next = now + options_.again;
            ++pending.sends;
        }
        it = pending.sends >= kSendsPerPrimary ? pending_.erase(it) : std::next(it);
    }
    while (!message.primaries.empty()) {
        message.number = ++number_;
        std::string bytes = peer::write(message);
        for (const udp::endpoint& to : options_.peers) {
            boost::system::error_code ec;
            socket_.send_to(asio::buffer(bytes), to, 0, ec);
            ++(ec ? counts_.dropped : counts_.sent);
        }
    }
}

}  // namespace indigovane::adapters
