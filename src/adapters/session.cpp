#include "adapters/session.hpp"

#include "adapters/client_listener.hpp"

namespace indigovane::adapters {

Session::Session(boost::asio::io_context& io, ClientListener& client_listener,
                 routing::RequestAdmission& admission, Limits limits)
    : client_listener_(client_listener),
      admission_(admission),
      limits_(limits),
      connection_(std::make_shared<transport::Connection>(io)),
      timer_(io) {
    connection_->limit_unread(limits.unread);
    connection_->watch_for_hangup();
}

Session::~Session() {
    connection_->detach();
}

void Session::begin(boost::asio::ip::tcp::socket socket, std::string_view read) {
    connection_->adopt(std::move(socket), *this, read);
    watch();
}

std::size_t Session::memory_bytes() const {
    return connection_->unwritten() + (in_ ? in_->capacity() : 0);
}

bool Session::between_requests() {
    return state_ == State::between && !connection_->readable() && connection_->delivered();
}

std::string Session::peer() const {
    transport::SocketAddress at = connection_->remote();
    return at.address().to_string() + ":" + std::to_string(at.port());
}

void Session::retire() {
    if (retiring() && state_ == State::between && !connection_->readable()) leave();
}

bool Session::retiring() const {
    return client_listener_.retires(*this);
}

bool Session::refusing() const {
    return client_listener_.refusing();
}

void Session::end_with(routing::RequestAdmission::Departure departure) {
    if (state_ == State::serving) admission_.withdraw(request_, departure);
    state_ = State::over;
    timer_.cancel();
    connection_->close();
}

std::optional<routing::ClientHandover> Session::release() {
    constexpr std::size_t kMaxUnreadHandedOver = 16384;  // bytes; a longer request is read to its end here
    if (state_ != State::between || connection_->unread().size() > kMaxUnreadHandedOver) return std::nullopt;
    routing::ClientHandover handover{-1, wire_state(), std::string(connection_->unread()), wire_note()};
    handover.socket = connection_->release();
    if (handover.socket < 0) return std::nullopt;
    state_ = State::over;
    timer_.cancel();
    return handover;
}

void Session::on_data(transport::Buffer& in) {
    auto self = shared_from_this();
    in_ = &in;
    arrivals_.record(in.consumed() + in.size(), in.consumed(), std::chrono::steady_clock::now());
    work();
}

void Session::on_written() {
    auto self = shared_from_this();
    progress_ = true;
    if (passing_on_) {
        watch();
        return admission_.resume(request_);
    }
    work();
}

void Session::on_closed(const transport::error_code&) {
    auto self = shared_from_this();
    end_with(routing::RequestAdmission::Departure::client_left);
    client_listener_.leave(self);
}

void Session::work() {
    if (working_) return;
    working_ = true;
    while (in_ && !in_->empty() && state_ == State::between &&
           connection_->unwritten() <= limits_.unwritten && step(*in_))
        progress_ = has_begun_ = true;
    working_ = false;
    // Not while an answer is owed: what is unread behind its request is bounded, and looked at again after
    // it.
    bool crowded = state_ != State::over && client_listener_.crowded(*this);
    if (crowded && state_ == State::between && connection_->unwritten() == 0) on_no_memory();
    if (state_ == State::over) return;
    watch();
    retire();
    if (state_ != State::over) connection_->resume();
}

void Session::try_again() {
    auto self = shared_from_this();
    work();
}

bool Session::expect(std::size_t length) {
    if (granted > 0) return true;
    // Once as it is read, once as it waits to be sent on.
    if (!client_listener_.grant(*this, 2 * length)) return false;
    expected_since_ = std::chrono::steady_clock::now();
    progress_ = true;
    in_->reserve(length + 4096);  // and what is read beyond it
    connection_->limit_unread(length);
    return true;
}

// Guards against answering a request that waited behind others when its client has given it up: its time
// counts from its last byte, whenever its turn comes.
void Session::submit(routing::ClientRequest item, std::size_t unread) {
    auto now = std::chrono::steady_clock::now();
    auto waited =
        std::chrono::duration_cast<routing::Duration>(now - arrivals_.at(in_->consumed() + unread, now));
    item.client_timeout = std::max(routing::Duration::zero(), item.client_timeout - waited);
    client_listener_.touch(*this);
    has_begun_ = progress_ = true;
    state_ = State::serving;
    request_ = admission_.accept(std::move(item), *this);
}

bool Session::pass_on(std::string bytes) {
    passing_on_ = true;
    connection_->write(std::move(bytes));
    if (state_ != State::serving) return false;
    watch();
    return connection_->unwritten() < limits_.pieces;
}

void Session::break_off() {
    auto self = shared_from_this();
    state_ = State::over;
    timer_.cancel();
    connection_->close();
    client_listener_.leave(self);
}

void Session::answered(std::string bytes) {
    auto self = shared_from_this();
    passing_on_ = false;
    if (granted > 0) {
        connection_->limit_unread(limits_.unread);
        client_listener_.take_back(*this);
    }
    state_ = State::between;
    connection_->write(std::move(bytes));
    work();
    if (state_ == State::between) client_listener_.touch(*this);
}

void Session::leave(transport::Connection::LateInput crossing) {
    if (state_ == State::over) return;
    auto self = shared_from_this();
    if (state_ == State::serving)
        admission_.withdraw(request_, routing::RequestAdmission::Departure::closed_here);
    state_ = State::over;
    timer_.cancel();
    connection_->close_after_writing(crossing);
    client_listener_.linger(connection_);
    client_listener_.leave(self);
}

// Guards against clients that hold a connection and its memory without ever being served: silent ones, those
// that begin and don't end, and those that don't read. Each whole message, and all being read, is progress.
void Session::watch() {
    bool waits = (state_ == State::between &&
                  (unfinished() || (in_ && !in_->empty()) || connection_->unwritten() > 0)) ||
                 (passing_on_ && connection_->unwritten() > 0);
    if (waits && watching_ && !std::exchange(progress_, false)) return;
    if (watching_) timer_.cancel();
    ++watches_;
    watching_ = waits;
    if (!waits) return;
    sent_ = connection_->sent();
    seen_ = in_ ? in_->size() : 0;
    timer_.expires_after(passing_on_ ? limits_.reading : limits_.client_timeout);
    timer_.async_wait([weak = weak_from_this(), number = watches_](const transport::error_code& ec) {
        auto self = weak.lock();
        if (!self || ec || number != self->watches_ || (self->state_ != State::between && !self->passing_on_))
            return;
        if (self->granted > 0 && self->in_->size() > self->seen_ &&
            std::chrono::steady_clock::now() < self->expected_since_ + kLongest) {  // it writes, if slowly
            self->progress_ = true;
            return self->watch();
        }
        if (self->connection_->unwritten() == 0) return self->on_impatient();
        if (self->connection_->sent() > self->sent_) {  // it reads, if slowly
            self->progress_ = true;
            return self->watch();
        }
        self->close();
        self->client_listener_.leave(self);
    });
}

}  // namespace indigovane::adapters
