#include "adapters/door.hpp"

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
// descriptors last: at the limit the session that has stood between requests longest gives way. Its client
// may open another. When every session is busy, what comes waits in the kernel's queue.
void Door::take(boost::asio::ip::tcp::socket socket) {
    auto session = open(std::move(socket));
    sessions_.insert(session);
    touch(*session);
    if (retiring_) session->retire();
    if (sessions_.size() < most_) return;
    std::shared_ptr<Session> oldest;
    for (const auto& s : sessions_)
        if (s != session && s->between_requests() && (!oldest || s->used < oldest->used)) oldest = s;
    if (oldest) {
        oldest->close();
        leave(oldest);
    } else {
        listener_.pause();
    }
}

void Door::leave(const std::shared_ptr<Session>& session) {
    sessions_.erase(session);
    if (sessions_.size() < most_) listener_.resume();
}

}  // namespace indigovane::adapters
