#include "adapters/client_listener.hpp"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

namespace indigovane::adapters {

ClientListener::ClientListener(boost::asio::io_context& io, const transport::ListenAt& at,
                               std::size_t max_connections)
    : io_(io),
      listener_(io, at, [this](auto socket) { accept_socket(std::move(socket)); }),
      max_connections_(max_connections),
      memory_(max_connections),
      capacity_timer_(io),
      retirement_timer_(io) {}

ClientListener::~ClientListener() {
    for (const auto& [sequence, session] : sessions_) session->close();
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
    is_retiring_ = true;
    bool was_handing_over = std::exchange(is_handing_over_, false);
    if (was_handing_over)  // no session may wait for a successor that is lost
        for (const auto& session : open_sessions()) session->resume_reading();
    close_retiring_sessions();
}

std::vector<std::shared_ptr<Session>> ClientListener::open_sessions() const {
    std::vector<std::shared_ptr<Session>> sessions;
    for (const auto& [sequence, session] : sessions_) sessions.push_back(session);
    return sessions;
}

void ClientListener::resume_service() {
    is_retiring_ = is_failing_checks_ = false;
    retirement_timer_.cancel();
    for (const auto& session : open_sessions()) session->resume_service();
}

// A new connection gets time for its first request, which may already be on its way when the listener
// retires.
bool ClientListener::is_retiring(const Session& session) const {
    constexpr auto kFirstRequestGrace = std::chrono::milliseconds(300);
    if (!is_retiring_) return false;
    return session.has_been_served ||
           std::chrono::steady_clock::now() >= session.accepted_at + kFirstRequestGrace;
}

void ClientListener::close_retiring_sessions() {
    constexpr auto kSweepInterval = std::chrono::milliseconds(20);
    for (const auto& session : open_sessions()) session->close_if_retiring();
    retirement_timer_.expires_after(kSweepInterval);
    retirement_timer_.async_wait([this](const transport::error_code& ec) {
        if (!ec && is_retiring_) close_retiring_sessions();
    });
}

void ClientListener::accept_socket(boost::asio::ip::tcp::socket socket) {
    add_session(create_session(), std::move(socket), {});
}

// Moves connections to another process during an upgrade. They stay open, so that no request that is on its
// way meets a closed connection.
std::size_t ClientListener::hand_over(const std::function<void(routing::ClientHandover)>& to) {
    is_handing_over_ = true;
    std::size_t handed_over = 0;
    for (const auto& session : open_sessions())
        if (auto handover = session->release()) {
            remove_session(session);
            to(std::move(*handover));
            ++handed_over;
        }
    return handed_over;
}

void ClientListener::take_over(routing::ClientHandover handover) {
    is_handing_over_ = false;  // until hand_over() is called again
    auto session = create_session();
    session->restore(handover.state, handover.note);
    transport::error_code ec;
    boost::asio::ip::tcp::socket socket(io_);
    socket.assign(local().protocol(), handover.socket, ec);
    if (ec) {
        ::close(handover.socket);
        return;
    }
    add_session(std::move(session), std::move(socket), handover.read);
}

void ClientListener::add_session(std::shared_ptr<Session> session, boost::asio::ip::tcp::socket socket,
                                 std::string_view received_bytes) {
    session->last_use_sequence = ++last_use_sequence_;
    session->accepted_at = std::chrono::steady_clock::now();
    sessions_.emplace(session->last_use_sequence, session);
    session->begin(std::move(socket), received_bytes);
    if (sessions_.size() >= max_connections_) evict_idle_session(*session);
}

void ClientListener::mark_used(Session& session) {
    auto node = sessions_.extract(session.last_use_sequence);
    if (node.empty()) return;
    node.key() = session.last_use_sequence = ++last_use_sequence_;
    sessions_.insert(std::move(node));
    if (!std::exchange(session.has_been_served, true)) ++served_sessions_;
    if (served_sessions_ <= max_served_sessions_) return;
    for (const auto& [sequence, other] : sessions_)
        if (other->has_been_served && other.get() != &session && other->is_idle()) {
            std::shared_ptr(other)->evict();
            return;
        }
}

// Closes one idle session at the connection limit. A connection in the kernel's queue may already carry a
// request, so new ones are accepted as long as an idle session can be closed; its client may connect again.
// The order: first a session that had time to send a request and has not, so that clients which only connect
// displace each other; then one that has been served; last a new one, whose first request may be on its way.
// Among equals it is the session unused for longest. While every session is busy, accepting is paused and new
// connections wait in the kernel's queue.
void ClientListener::evict_idle_session(const Session& newcomer) {
    constexpr auto kFirstRequestTime = std::chrono::milliseconds(50);
    auto overdue_since = std::chrono::steady_clock::now() - kFirstRequestTime;
    auto eviction_rank = [&](const Session& session) {
        return session.has_been_served ? 1 : session.accepted_at <= overdue_since ? 0 : 2;
    };
    std::shared_ptr<Session> candidate;
    for (const auto& [sequence, session] : sessions_)
        if (session.get() != &newcomer &&
            (!candidate || eviction_rank(*session) < eviction_rank(*candidate)) && session->is_idle()) {
            candidate = session;
            if (eviction_rank(*session) == 0) break;
        }
    if (candidate)
        candidate->evict();
    else
        listener_.pause();
}

bool ClientListener::grant_capacity(Session& session, std::size_t bytes) {
    if (granted_long_bytes_ + bytes > max_long_bytes_) {
        waiting_for_capacity_.try_emplace(
            &session, CapacityWait{session.weak_from_this(), std::chrono::steady_clock::now()});
        schedule_capacity_timeout();
        return false;
    }
    waiting_for_capacity_.erase(&session);
    granted_long_bytes_ += session.granted_bytes = bytes;
    return true;
}

void ClientListener::release_capacity(Session& session) {
    waiting_for_capacity_.erase(&session);
    if (session.granted_bytes == 0) return;
    granted_long_bytes_ -= std::exchange(session.granted_bytes, 0);
    boost::asio::post(io_, [this, waiting = waiting_for_capacity_] {
        for (auto& [key, wait] : waiting)
            if (auto other = wait.session.lock(); other && waiting_for_capacity_.count(key))
                other->resume_reading();
    });
}

// One timer serves all waits; it looks at them more often than each needs.
void ClientListener::schedule_capacity_timeout() {
    if (std::exchange(is_capacity_timer_set_, true)) return;
    capacity_timer_.expires_after(kMaxCapacityWait / 6);
    capacity_timer_.async_wait([this](const transport::error_code& ec) {
        if (ec) return;  // the listener may be gone
        is_capacity_timer_set_ = false;
        end_capacity_waits();
        if (!waiting_for_capacity_.empty()) schedule_capacity_timeout();
    });
}

void ClientListener::end_capacity_waits() {
    auto begun_before = std::chrono::steady_clock::now() - kMaxCapacityWait;
    std::vector<std::shared_ptr<Session>> expired;
    for (const auto& [key, wait] : waiting_for_capacity_)
        if (auto session = wait.session.lock(); session && wait.begin <= begun_before)
            expired.push_back(std::move(session));
    for (const auto& session : expired) {
        waiting_for_capacity_.erase(session.get());
        session->on_capacity_timeout();
    }
}

void ClientListener::remove_session(const std::shared_ptr<Session>& session) {
    release_capacity(*session);
    if (sessions_.erase(session->last_use_sequence) > 0) {
        served_sessions_ -= session->has_been_served;
    }
    memory_.remove(session->memory);
    if (sessions_.size() < max_connections_) listener_.resume();
}

void ClientListener::linger(const std::shared_ptr<transport::Connection>& connection) {
    (is_retiring_ ? lingering_after_drain_ : lingering_).add(connection);
}

}  // namespace indigovane::adapters
