#include "adapters/backend_connection_base.hpp"

#include <boost/asio/post.hpp>

#include "transport/shortage.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::adapters {

using std::chrono::steady_clock;

BackendConnectionBase::BackendConnectionBase(boost::asio::io_context& io, Owner& owner,
                                             std::size_t unread_limit,
                                             std::shared_ptr<AnswerMemory> answer_memory)
    : owner_(&owner),
      connection_(std::make_shared<transport::Connection>(io)),
      answer_memory_(std::move(answer_memory)),
      pause_timer_(io) {
    connection_->limit_unread(unread_limit);
}

BackendConnectionBase::~BackendConnectionBase() {
    answer_memory_->record(answer_account_, 0);
    connection_->close();
}

bool BackendConnectionBase::has_answer_memory(policy::Execution evidence) {
    answer_memory_->record(answer_account_, connection_->memory_bytes() + answer_size_.data());
    if (!answer_memory_->must_give_up(answer_account_)) return true;
    routing::AttemptResult result = routing::result_without_answer(policy::AttemptStatus::cancelled);
    result.evidence = evidence;
    result.reusable = false;
    complete_task(std::move(result));
    return false;
}

void BackendConnectionBase::connect(boost::asio::io_context& io, const std::string& address,
                                    routing::Duration timeout) {
    if (auto socket_address = transport::parse_socket_address(address)) {
        connection_->connect(*socket_address, timeout, *this);
        return;
    }
    boost::asio::post(io, [weak = weak_from_this()] {
        if (auto self = weak.lock()) self->end(End::unreachable);
    });
}

void BackendConnectionBase::close() {
    owner_ = nullptr;
    answer_memory_->record(answer_account_, 0);
    connection_->close();
}

void BackendConnectionBase::on_closed(const transport::error_code& ec) {
    auto self = shared_from_this();
    end(state_ == State::starting && transport::is_shortage(ec) ? End::unopened : end_reason_if_lost());
}

BackendConnectionBase::End BackendConnectionBase::end_reason_if_lost() const {
    if (state_ == State::starting) return End::unreachable;
    if (state_ == State::awaiting_answer && !connection_->all_written()) return End::unwritten;
    return End::written;
}

void BackendConnectionBase::end(End reason) {
    connection_->close();
    if (Owner* owner = std::exchange(owner_, nullptr)) owner->on_end(*this, reason);
}

void BackendConnectionBase::on_established() {
    state_ = State::idle;
    connection_->established();
    owner_->on_ready(*this);
}

void BackendConnectionBase::send_request(std::string bytes) {
    state_ = State::awaiting_answer;
    answer_size_ = {};
    is_answer_incomplete_ = false;
    connection_->write(std::move(bytes));
}

void BackendConnectionBase::complete_task(routing::AttemptResult result) {
    // The host would take the unwritten rest of a request that it answered early for part of the next
    // request.
    if (!connection_->all_written()) result.reusable = false;
    state_ = State::idle;
    answer_memory_->record(answer_account_, 0);
    owner_->on_result(*this, std::move(result));
}

// One timer runs for all pauses of a connection: setting it anew for each read would cost more than a look at
// the clock when it expires.
void BackendConnectionBase::note_incomplete_answer() {
    last_bytes_at_ = steady_clock::now();
    is_answer_incomplete_ = true;
    if (!std::exchange(is_pause_timer_set_, true)) start_pause_timer(routing::kAnswerPause);
}

void BackendConnectionBase::start_pause_timer(routing::Duration time) {
    is_pause_timer_set_ = true;
    pause_timer_.expires_after(time);
    pause_timer_.async_wait([weak = weak_from_this()](const transport::error_code& ec) {
        if (auto self = weak.lock(); self && !ec) self->check_pause();
    });
}

void BackendConnectionBase::check_pause() {
    is_pause_timer_set_ = false;
    if (!owner_ || state_ != State::awaiting_answer || !is_answer_incomplete_) return;
    auto pause = std::chrono::duration_cast<routing::Duration>(steady_clock::now() - last_bytes_at_);
    if (pause < routing::kAnswerPause) return start_pause_timer(routing::kAnswerPause - pause);
    start_pause_timer(routing::kAnswerPause);
    owner_->on_pause(*this, pause);
}

}  // namespace indigovane::adapters
