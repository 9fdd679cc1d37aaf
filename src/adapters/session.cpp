#include "adapters/session.hpp"

#include "adapters/client_listener.hpp"

namespace indigovane::adapters {

namespace {
// The answer with the longest value that is not sent in pieces. A client that has received all answers before
// it gets it whatever the other clients do: the kernel's buffers take it.
constexpr std::size_t kMaxWholeAnswerBytes = 72 * 1024;
// Unread bytes with which a session is handed over to another process. What is more is served here first.
constexpr std::size_t kMaxUnreadHandedOver = 16384;
}  // namespace

Session::Session(boost::asio::io_context& io, ClientListener& client_listener,
                 routing::RequestAdmission& admission, Limits limits)
    : client_listener_(client_listener),
      admission_(admission),
      limits_(limits),
      connection_(std::make_shared<transport::Connection>(io)),
      timer_(io) {
    connection_->limit_unread(limits.unread_bytes);
    connection_->watch_for_hangup();
}

Session::~Session() {
    connection_->detach();
}

void Session::begin(boost::asio::ip::tcp::socket socket, std::string_view received_bytes) {
    connection_->adopt(std::move(socket), *this, received_bytes);
    update_timeout();
}

void Session::record_memory() {
    std::size_t bytes = connection_->memory_bytes();
    client_listener_.memory().record(memory, bytes - std::min(bytes, granted_bytes));
}

std::size_t Session::unread_limit() const {
    if (is_held_back()) return 1;
    const ClientMemory& budget = client_listener_.memory();
    return budget.is_over_limit() ? std::min(limits_.unread_bytes, budget.share()) : limits_.unread_bytes;
}

bool Session::has_memory_for_answer(std::size_t bytes) {
    return client_listener_.memory().admits_answer(bytes) ||
           (bytes <= kMaxWholeAnswerBytes && connection_->delivered());
}

bool Session::is_idle() {
    return state_ == State::idle && !connection_->readable() && connection_->delivered();
}

std::string Session::peer_address() const {
    transport::SocketAddress at = connection_->remote();
    return at.address().to_string() + ":" + std::to_string(at.port());
}

void Session::close_if_retiring() {
    // Asked first, also while a request is served: what arrives after that is not read.
    bool is_last = is_last_answer();
    if (is_last && state_ == State::idle) close_gracefully();
}

bool Session::is_last_answer() {
    if (!client_listener_.is_retiring(*this)) return false;
    std::uint64_t consumed = input_ ? input_->consumed() : 0;
    if (!owed_until_) {
        owed_until_ = consumed + connection_->arrived_bytes();
        connection_->limit_stream(*owed_until_);
    }
    if (owed_input_ == OwedInput::last_message && consumed >= *owed_until_) {
        owed_input_ = OwedInput::none;
        owed_until_ = connection_->stream_position();
        connection_->limit_stream(*owed_until_);
    }
    return consumed >= *owed_until_;
}

// The message in which the owed bytes of a retired session end is read on. One that began among the bytes
// that were read together with its end is not: it could be followed by another one of that kind, without an
// end, and a message that has not been read completely is owed no answer.
void Session::on_incomplete_message() {
    if (!owed_until_ || connection_->stream_position() < *owed_until_) return;
    if (owed_input_ == OwedInput::none) owed_until_ = input_->consumed();
    if (owed_input_ != OwedInput::arrived) return;
    owed_input_ = OwedInput::last_message;
    connection_->limit_stream(transport::Connection::kNoStreamLimit);
}

void Session::resume_service() {
    owed_until_.reset();
    owed_input_ = OwedInput::arrived;
    connection_->limit_stream(transport::Connection::kNoStreamLimit);
    resume_reading();
}

bool Session::is_failing_checks() const {
    return client_listener_.is_failing_checks();
}

void Session::end_with(routing::RequestAdmission::Departure departure) {
    if (state_ == State::serving) admission_.withdraw(request_id_, departure);
    state_ = State::closed;
    timer_.cancel();
    connection_->close();
}

std::optional<routing::ClientHandover> Session::release() {
    if (state_ != State::idle || is_skipping_message() || connection_->unread().size() > kMaxUnreadHandedOver)
        return std::nullopt;
    routing::ClientHandover handover{-1, wire_state(), std::string(connection_->unread()), wire_note()};
    handover.socket = connection_->release();
    if (handover.socket < 0) return std::nullopt;
    state_ = State::closed;
    timer_.cancel();
    return handover;
}

void Session::on_data(transport::Buffer& in) {
    auto self = shared_from_this();
    input_ = &in;
    arrivals_.record(in.consumed() + in.size(), in.consumed(), std::chrono::steady_clock::now());
    process_input();
}

void Session::on_written() {
    auto self = shared_from_this();
    has_progressed_ = true;
    if (is_streaming_) {
        update_timeout();
        return admission_.resume(request_id_);
    }
    process_input();
}

void Session::on_closed(const transport::error_code&) {
    auto self = shared_from_this();
    end_with(routing::RequestAdmission::Departure::client_left);
    client_listener_.remove_session(self);
}

bool Session::may_process_message() {
    return input_ && !input_->empty() && state_ == State::idle && !is_held_back() &&
           connection_->unwritten() <= limits_.unwritten_bytes && !awaits_handover() && !is_last_answer();
}

// Whether the next message is left to the process to which the listener hands its sessions over. A session
// that took it would be busy again at each moment in which sessions are handed over.
bool Session::awaits_handover() const {
    return client_listener_.is_handing_over() && !is_skipping_message() &&
           connection_->unread().size() <= kMaxUnreadHandedOver;
}

// Whether nothing more is read from this client and answered to it until it has read what it was sent.
// Clients that send much and read nothing would otherwise fill the memory, each within its own limits.
bool Session::is_held_back() const {
    const ClientMemory& budget = client_listener_.memory();
    return budget.is_over_limit() && connection_->unwritten() > budget.share();
}

void Session::process_input() {
    if (is_processing_) return;
    is_processing_ = true;
    bool has_yielded = false, is_complete = true;
    while (!has_yielded && may_process_message() && (is_complete = process_next_message(*input_))) {
        has_progressed_ = has_received_message_ = true;
        has_yielded = !input_->empty() && connection_->must_yield();
    }
    is_processing_ = false;
    if (!is_complete && state_ == State::idle) on_incomplete_message();
    if (state_ == State::closed) return;
    record_memory();
    // A session that serves a request, or has yet to look at what it has read, is not closed. It reads no
    // further, and this is checked again afterwards.
    bool may_close = state_ == State::idle && !has_yielded && connection_->unwritten() == 0;
    if (may_close && client_listener_.memory().is_over_share(memory)) on_memory_limit();
    if (state_ == State::closed) return;
    if (granted_bytes == 0) connection_->limit_unread(unread_limit());
    update_timeout();
    close_if_retiring();
    if (state_ != State::closed) connection_->resume();
}

void Session::resume_reading() {
    auto self = shared_from_this();
    process_input();
}

bool Session::reserve_long_message(std::size_t length) {
    if (granted_bytes > 0) return true;
    // Memory for two copies: the message in the read buffer, and the statement that waits to be sent.
    if (!client_listener_.grant_capacity(*this, 2 * length)) return false;
    long_message_since_ = std::chrono::steady_clock::now();
    has_progressed_ = true;
    input_->reserve(length + 4096);  // one read may go beyond the message's end
    connection_->limit_unread(length);
    return true;
}

// The client's timeout counts from the arrival of the request's last byte. Otherwise a request that waited
// unread behind others could be answered after its client has given up.
void Session::submit(routing::ClientRequest client_request, std::size_t unread) {
    auto now = std::chrono::steady_clock::now();
    auto waited =
        std::chrono::duration_cast<routing::Duration>(now - arrivals_.at(input_->consumed() + unread, now));
    client_request.client_timeout =
        std::max(routing::Duration::zero(), client_request.client_timeout - waited);
    client_listener_.mark_used(*this);
    has_received_message_ = has_progressed_ = true;
    state_ = State::serving;
    request_id_ = admission_.accept(std::move(client_request), *this);
}

bool Session::stream_response(std::string bytes) {
    is_streaming_ = true;
    connection_->write(std::move(bytes));
    if (state_ != State::serving) return false;
    record_memory();
    update_timeout();
    return connection_->unwritten() < limits_.streamed_bytes;
}

void Session::abort_response() {
    auto self = shared_from_this();
    state_ = State::closed;
    timer_.cancel();
    connection_->close();
    client_listener_.remove_session(self);
}

void Session::finish_response(std::string bytes) {
    auto self = shared_from_this();
    is_streaming_ = false;
    if (granted_bytes > 0) {
        connection_->limit_unread(unread_limit());
        client_listener_.release_capacity(*this);
    }
    state_ = State::idle;
    connection_->write(std::move(bytes));
    process_input();
    if (state_ == State::idle) client_listener_.mark_used(*this);
}

void Session::close_gracefully(transport::Connection::LateInput crossing) {
    if (state_ == State::closed) return;
    auto self = shared_from_this();
    if (state_ == State::serving)
        admission_.withdraw(request_id_, routing::RequestAdmission::Departure::closed_here);
    state_ = State::closed;
    timer_.cancel();
    connection_->close_after_writing(crossing);
    client_listener_.linger(connection_);
    client_listener_.remove_session(self);
}

// Closes clients that occupy a connection and its memory without being served: those that send nothing, those
// that send an incomplete message, and those that don't read their answers. A complete message received, or
// everything written, counts as progress.
void Session::update_timeout() {
    bool waits = (state_ == State::idle && (is_awaiting_first_message() || (input_ && !input_->empty()) ||
                                            connection_->unwritten() > 0)) ||
                 (is_streaming_ && connection_->unwritten() > 0);
    if (waits && is_timer_running_ && !std::exchange(has_progressed_, false)) return;
    if (is_timer_running_) timer_.cancel();
    ++timer_generation_;
    is_timer_running_ = waits;
    if (!waits) return;
    sent_at_timer_start_ = connection_->sent();
    unread_at_timer_start_ = input_ ? input_->size() : 0;
    timer_.expires_after(is_streaming_ ? limits_.read_timeout : limits_.client_timeout);
    timer_.async_wait([weak = weak_from_this(), number = timer_generation_](const transport::error_code& ec) {
        auto self = weak.lock();
        if (!self || ec || number != self->timer_generation_ ||
            (self->state_ != State::idle && !self->is_streaming_))
            return;
        if (self->granted_bytes > 0 && self->input_->size() > self->unread_at_timer_start_ &&
            std::chrono::steady_clock::now() <
                self->long_message_since_ + kLongMessageTimeout) {  // it sends slowly
            self->has_progressed_ = true;
            return self->update_timeout();
        }
        if (self->connection_->unwritten() == 0) return self->on_client_timeout();
        if (self->connection_->sent() > self->sent_at_timer_start_) {  // it reads slowly
            self->has_progressed_ = true;
            return self->update_timeout();
        }
        self->close();
        self->client_listener_.remove_session(self);
    });
}

}  // namespace indigovane::adapters
