#include "adapters/peer_link.hpp"

#include <algorithm>

namespace indigovane::adapters {

namespace asio = boost::asio;
namespace peer = protocol::peer;
using asio::ip::udp;

namespace {
constexpr int kTold = 2;  // so often: what is lost twice is found out by each for itself, as ever
}

PeerLink::PeerLink(asio::io_context& io, PeerOptions options, Hear hear)
    : options_(std::move(options)), hear_(std::move(hear)), socket_(io), timer_(io) {
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
    Heard& heard = heard_[from_];
    if (heard.incarnation == message->incarnation && message->number <= heard.number) {
        ++counts_.old;
        return;
    }
    heard = {message->incarnation, message->number};
    ++counts_.taken;
    for (const peer::Primary& p : message->primaries) hear_(p);
}

void PeerLink::tell(peer::Primary primary) {
    std::uint32_t group = primary.group;
    news_[group] = {std::move(primary), 0, std::chrono::steady_clock::now() + options_.gather};
    pump();
}

void PeerLink::pump() {
    if (news_.empty() || std::exchange(armed_, true)) return;
    auto next = std::min_element(news_.begin(), news_.end(), [](const auto& a, const auto& b) {
                    return a.second.next < b.second.next;
                })->second.next;
    timer_.expires_at(next);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec) return;
        armed_ = false;
        send();
        pump();
    });
}

void PeerLink::send() {
    peer::Message message{options_.cluster, options_.incarnation, 0, {}};
    auto now = std::chrono::steady_clock::now();
    for (auto it = news_.begin(); it != news_.end();) {
        StoreEvent& news = it->second;
        if (news.next <= now) {
            message.primaries.push_back(news.primary);
            news.next = now + options_.again;
            ++news.times;
        }
        it = news.times >= kTold ? news_.erase(it) : std::next(it);
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
