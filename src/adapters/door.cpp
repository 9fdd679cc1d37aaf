#include "adapters/door.hpp"

#include <utility>
#include <vector>

namespace indigovane::adapters {

Door::Door(boost::asio::io_context& io, const transport::Endpoint& at, std::size_t most)
    : io_(io), listener_(io, at, [this](auto socket) { take(std::move(socket)); }), most_(most) {}

Door::~Door() {
    for (const auto& session : sessions_) session->close();
}

void Door::start() {
    listener_.start();
}

std::string Door::address() const {
    return local().address().to_string() + ":" + std::to_string(local().port());
}

void Door::stop_accepting() {
    listener_.drain();
    listener_.close();
}

void Door::close_idle() {
    retiring_ = true;
    std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
    for (const auto& session : all) session->retire();
}

// A connection that the machine has accepted may carry a request already, so none is left to wait while the
// descriptors last: at the limit a session between requests gives way, first of those that have never asked
// anything, then of the others, the longest idle before all. So clients that only connect displace each other
// and not those who are served. The client may open another. When every session is busy, what comes waits in
// the kernel's queue.
void Door::take(boost::asio::ip::tcp::socket socket) {
    auto session = open(std::move(socket));
    sessions_.insert(session);
    touch(*session);
    if (retiring_) session->retire();
    if (sessions_.size() < most_) return;
    std::shared_ptr<Session> oldest;
    auto rank = [](const Session& s) { return std::pair(s.has_asked, s.used); };
    for (const auto& s : sessions_)
        if (s != session && (!oldest || rank(*s) < rank(*oldest)) && s->between_requests()) oldest = s;
    if (oldest) {
        oldest->close();
        leave(oldest);
    } else {
        listener_.pause();
    }
}

void Door::leave(const std::shared_ptr<Session>& session) {
    if (sessions_.erase(session) > 0) bytes_ -= session->counted;
    session->counted = 0;
    if (sessions_.size() < most_) listener_.resume();
}

bool Door::crowded(Session& session) {
    constexpr std::size_t small = 16384;
    std::size_t held = session.held();
    bytes_ += held - session.counted;
    session.counted = held;
    return bytes_ > bytes_most_ && held > small;
}

std::shared_ptr<void> Door::linger() const {
    constexpr long most = 16;
    return lingering_.use_count() <= most ? lingering_ : nullptr;
}

}  // namespace indigovane::adapters
