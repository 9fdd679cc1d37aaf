#include "adapters/client_listener.hpp"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

namespace indigovane::adapters {

ClientListener::ClientListener(boost::asio::io_context& io, const transport::ListenAt& at, std::size_t most)
    : io_(io),
      listener_(io, at, [this](auto socket) { take(std::move(socket)); }),
      most_(most),
      sweeper_(io) {}

ClientListener::~ClientListener() {
    for (const auto& [use, session] : sessions_) session->close();
}

void ClientListener::start() {
    listener_.start();
}

std::string ClientListener::address() const {
    return local().address().to_string() + ":" + std::to_string(local().port());
}

void ClientListener::stop_accepting() {
    listener_.drain();
    listener_.close();
}

void ClientListener::close_idle() {
    retiring_ = true;
    sweep();
}

void ClientListener::resume_service() {
    retiring_ = refusing_ = false;
    sweeper_.cancel();
}

// A connection whose first request is on its way would be closed in its face otherwise.
bool ClientListener::retires(const Session& session) const {
    constexpr auto kFirstRequestGrace = std::chrono::milliseconds(300);
    auto now = std::chrono::steady_clock::now();
    return retiring_ && (session.served || now >= session.came + kFirstRequestGrace);
}

void ClientListener::sweep() {
    constexpr auto kSweepInterval = std::chrono::milliseconds(20);
    std::vector<std::shared_ptr<Session>> all;
    for (const auto& [use, session] : sessions_) all.push_back(session);
    for (const auto& session : all) session->retire();
    sweeper_.expires_after(kSweepInterval);
    sweeper_.async_wait([this](const transport::error_code& ec) {
        if (!ec && retiring_) sweep();
    });
}

void ClientListener::take(boost::asio::ip::tcp::socket socket) {
    take_in(open(), std::move(socket), {});
}

// Guards clients in an upgrade: a connection goes on in the other process as if nothing had happened, and no
// request that is under way on it meets a closing.
std::size_t ClientListener::hand_over(const std::function<void(routing::ClientHandover)>& to) {
    std::vector<std::shared_ptr<Session>> all;
    for (const auto& [use, session] : sessions_) all.push_back(session);
    std::size_t handed = 0;
    for (const auto& session : all)
        if (auto handover = session->release()) {
            leave(session);
            to(std::move(*handover));
            ++handed;
        }
    return handed;
}

void ClientListener::take_over(routing::ClientHandover handover) {
    auto session = open();
    session->restore(handover.state, handover.note);
    transport::error_code ec;
    boost::asio::ip::tcp::socket socket(io_);
    socket.assign(local().protocol(), handover.socket, ec);
    if (ec) {
        ::close(handover.socket);
        return;
    }
    take_in(std::move(session), std::move(socket), handover.read);
}

void ClientListener::take_in(std::shared_ptr<Session> session, boost::asio::ip::tcp::socket socket,
                             std::string_view read) {
    session->used = ++uses_;
    session->came = std::chrono::steady_clock::now();
    sessions_.emplace(session->used, session);
    session->begin(std::move(socket), read);
    if (sessions_.size() >= most_) evict_idle_session(*session);
}

void ClientListener::touch(Session& session) {
    auto node = sessions_.extract(session.used);
    if (node.empty()) return;
    node.key() = session.used = ++uses_;
    sessions_.insert(std::move(node));
    if (!std::exchange(session.served, true)) ++served_;
    if (served_ <= served_most_) return;
    for (const auto& [use, other] : sessions_)
        if (other->served && other.get() != &session && other->between_requests()) {
            std::shared_ptr(other)->give_way();
            return;
        }
}

// A connection that the machine has accepted may carry a request already, so none is left to wait while the
// descriptors last: at the limit a session between requests gives way. Its client may open another. First one
// that had time to ask and has not, so that clients which only connect displace each other; a newcomer last,
// since its first request is on its way. Of its kind the one unused for longest. When every session is busy,
// what comes waits in the kernel's queue.
void ClientListener::evict_idle_session(const Session& newcomer) {
    constexpr auto kFirstRequestTime = std::chrono::milliseconds(50);
    auto overdue_since = std::chrono::steady_clock::now() - kFirstRequestTime;
    auto kind = [&](const Session& s) { return s.served ? 1 : s.came <= overdue_since ? 0 : 2; };
    std::shared_ptr<Session> first;
    for (const auto& [use, s] : sessions_)
        if (s.get() != &newcomer && (!first || kind(*s) < kind(*first)) && s->between_requests()) {
            first = s;
            if (kind(*s) == 0) break;
        }
    if (first)
        first->give_way();
    else
        listener_.pause();
}

bool ClientListener::grant(Session& session, std::size_t bytes) {
    if (long_ + bytes > long_most_) {
        waiting_[&session] = session.weak_from_this();
        return false;
    }
    waiting_.erase(&session);
    long_ += session.granted = bytes;
    return true;
}

void ClientListener::take_back(Session& session) {
    waiting_.erase(&session);
    if (session.granted == 0) return;
    long_ -= std::exchange(session.granted, 0);
    boost::asio::post(io_, [this, waiting = waiting_] {
        for (auto& [key, weak] : waiting)
            if (auto other = weak.lock(); other && waiting_.count(key)) other->try_again();
    });
}

void ClientListener::leave(const std::shared_ptr<Session>& session) {
    take_back(*session);
    if (sessions_.erase(session->used) > 0) {
        bytes_ -= session->counted;
        served_ -= session->served;
    }
    session->counted = 0;
    if (sessions_.size() < most_) listener_.resume();
}

bool ClientListener::crowded(Session& session) {
    constexpr std::size_t kSmallSessionBytes = 16384;
    std::size_t bytes = session.memory_bytes() - std::min(session.memory_bytes(), session.granted);
    bytes_ += bytes - session.counted;
    session.counted = bytes;
    return bytes_ > bytes_most_ && bytes > kSmallSessionBytes;
}

void ClientListener::linger(const std::shared_ptr<transport::Connection>& connection) {
    (retiring_ ? retired_ : lingering_).add(connection);
}

}  // namespace indigovane::adapters
