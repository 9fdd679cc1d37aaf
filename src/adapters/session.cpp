#include "adapters/session.hpp"

#include "adapters/door.hpp"

namespace indigovane::adapters {

Session::Session(boost::asio::io_context& io, Door& door, routing::Intake& intake, Limits limits)
    : door_(door),
      intake_(intake),
      limits_(limits),
      connection_(std::make_shared<transport::Connection>(io)),
      timer_(io) {
    connection_->limit_unread(limits.unread);
}

Session::~Session() {
    connection_->detach();
}

void Session::begin(boost::asio::ip::tcp::socket socket) {
    connection_->adopt(std::move(socket), *this);
}

bool Session::between_requests() {
    return state_ == State::between && !connection_->readable() && connection_->all_written();
}

void Session::retire() {
    retiring_ = true;
    maybe_retire();
}

void Session::close() {
    if (state_ == State::asked) intake_.withdraw(request_);
    state_ = State::over;
    timer_.cancel();
    connection_->close();
}

void Session::on_data(transport::Buffer& in) {
    auto self = shared_from_this();
    in_ = &in;
    work();
}

void Session::on_written() {
    auto self = shared_from_this();
    work();
}

void Session::on_closed(const transport::error_code&) {
    auto self = shared_from_this();
    close();
    door_.leave(self);
}

void Session::work() {
    if (working_) return;
    working_ = true;
    while (in_ && !in_->empty() && state_ == State::between &&
           connection_->unwritten() <= limits_.unwritten && step(*in_)) {
    }
    working_ = false;
    if (state_ == State::over) return;
    watch_half_request();
    maybe_retire();
    if (state_ != State::over) connection_->resume();
}

void Session::ask(routing::Item item) {
    door_.touch(*this);
    state_ = State::asked;
    request_ = intake_.accept(std::move(item), *this);
}

void Session::answered(std::string bytes) {
    auto self = shared_from_this();
    state_ = State::between;
    connection_->write(std::move(bytes));
    work();
}

void Session::leave() {
    if (state_ == State::over) return;
    state_ = State::over;
    timer_.cancel();
    connection_->close_after_writing();
    door_.leave(shared_from_this());
}

void Session::maybe_retire() {
    if (retiring_ && state_ == State::between && !connection_->readable()) leave();
}

void Session::watch_half_request() {
    if (limits_.half_request.count() == 0) return;
    bool half = state_ == State::between && in_ && !in_->empty() && connection_->unwritten() == 0;
    if (half == half_) return;
    half_ = half;
    timer_.cancel();
    if (!half) return;
    timer_.expires_after(limits_.half_request);
    timer_.async_wait([weak = weak_from_this()](const transport::error_code& ec) {
        auto self = weak.lock();
        if (self && !ec && self->half_ && self->state_ == State::between) self->on_half_request();
    });
}

}  // namespace indigovane::adapters
