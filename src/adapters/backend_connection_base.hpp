// The part of a backend connection that is the same for every protocol: the TCP connection, its owner, the
// bounds of an answer, and what the loss of the connection says about the task in flight.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "adapters/answer_memory.hpp"
#include "routing/answer_bounds.hpp"
#include "routing/interfaces.hpp"
#include "transport/connection.hpp"

namespace indigovane::adapters {

// Created by std::make_shared: the callbacks use shared_from_this(). Runs on the event loop's thread.
class BackendConnectionBase : public routing::BackendConnection,
                              protected transport::Connection::Handler,
                              public std::enable_shared_from_this<BackendConnectionBase> {
  public:
    // `unread_limit`: bytes received and not consumed at which reading stops.
    BackendConnectionBase(boost::asio::io_context& io, Owner& owner, std::size_t unread_limit,
                          std::shared_ptr<AnswerMemory> answer_memory);
    ~BackendConnectionBase() override;

    // `address`: "host:port". One that cannot be parsed ends the connection as unreachable, from the event
    // loop.
    void connect(boost::asio::io_context& io, const std::string& address, routing::Duration timeout);
    bool may_be_reused() override { return connection_->is_idle(); }
    void close() override;

  protected:
    enum class State { starting, idle, awaiting_answer };

    void on_closed(const transport::error_code& ec) override;
    // How the connection ends for its owner if it is lost in its present state.
    virtual End end_reason_if_lost() const;
    // Closes the connection and tells the owner, at most once.
    void end(End reason);
    // The host's protocol is ready for the first task.
    void on_established();
    void send_request(std::string bytes);
    // Passes the result of the task in flight to the owner.
    void complete_task(routing::AttemptResult result);

    // Records what the incomplete answer occupies. False: all answers together use too much memory, and this
    // attempt has been given up for it, which says nothing about the host. `evidence`: what the answer has
    // shown of the attempt's execution.
    bool has_answer_memory(policy::Execution evidence);
    // Bytes of the answer have come, and more are to come. Pauses are reported to the owner from now on.
    void note_incomplete_answer();
    // What is missing of the answer is not waited for: the owner takes no more of it now.
    void ignore_pauses() { is_answer_incomplete_ = false; }

    Owner* owner_;  // null once the connection is closed
    std::shared_ptr<transport::Connection> connection_;
    State state_ = State::starting;
    routing::AnswerSize answer_size_;  // of the startup or of the answer in progress

  private:
    std::shared_ptr<AnswerMemory> answer_memory_;
    AnswerMemory::Account answer_account_;

    void start_pause_timer(routing::Duration time);
    void check_pause();

    boost::asio::steady_timer pause_timer_;
    std::chrono::steady_clock::time_point last_bytes_at_;
    bool is_answer_incomplete_ = false;  // and its next bytes are waited for
    bool is_pause_timer_set_ = false;
};

}  // namespace indigovane::adapters
