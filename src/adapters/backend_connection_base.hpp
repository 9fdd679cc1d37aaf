// The part of a backend connection that is the same for every protocol: the TCP connection, its owner, and
// what the loss of the connection says about the task in flight.
#pragma once

#include <boost/asio/post.hpp>

#include "routing/interfaces.hpp"
#include "transport/connection.hpp"
#include "transport/shortage.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::adapters {

// Created by std::make_shared: the callbacks use shared_from_this(). Runs on the event loop's thread.
class BackendConnectionBase : public routing::BackendConnection,
                              protected transport::Connection::Handler,
                              public std::enable_shared_from_this<BackendConnectionBase> {
  public:
    // `unread_limit`: bytes received and not consumed at which reading stops.
    BackendConnectionBase(boost::asio::io_context& io, Owner& owner, std::size_t unread_limit)
        : owner_(&owner), connection_(std::make_shared<transport::Connection>(io)) {
        connection_->limit_unread(unread_limit);
    }
    ~BackendConnectionBase() override { connection_->close(); }

    // `address`: "host:port". One that cannot be parsed ends the connection as unreachable, from the event
    // loop.
    void connect(boost::asio::io_context& io, const std::string& address, routing::Duration timeout) {
        if (auto socket_address = transport::parse_socket_address(address)) {
            connection_->connect(*socket_address, timeout, *this);
            return;
        }
        boost::asio::post(io, [weak = weak_from_this()] {
            if (auto self = weak.lock()) self->end(End::unreachable);
        });
    }
    bool may_be_reused() override { return connection_->is_idle(); }
    void close() override {
        owner_ = nullptr;
        connection_->close();
    }

  protected:
    enum class State { starting, idle, awaiting_answer };

    void on_closed(const transport::error_code& ec) override {
        auto self = shared_from_this();
        end(state_ == State::starting && transport::is_shortage(ec) ? End::unopened : end_reason_if_lost());
    }
    // How the connection ends for its owner if it is lost in its present state.
    virtual End end_reason_if_lost() const {
        if (state_ == State::starting) return End::unreachable;
        if (state_ == State::awaiting_answer && !connection_->all_written()) return End::unwritten;
        return End::written;
    }
    // Closes the connection and tells the owner, at most once.
    void end(End reason) {
        connection_->close();
        if (Owner* owner = std::exchange(owner_, nullptr)) owner->on_end(*this, reason);
    }
    // The host's protocol is ready for the first task.
    void on_established() {
        state_ = State::idle;
        connection_->established();
        owner_->on_ready(*this);
    }
    void send_request(std::string bytes) {
        state_ = State::awaiting_answer;
        connection_->write(std::move(bytes));
    }
    // Passes the result of the task in flight to the owner.
    void complete_task(routing::AttemptResult result) {
        // The host would take the unwritten rest of a request that it answered early for part of the next
        // request.
        if (!connection_->all_written()) result.reusable = false;
        state_ = State::idle;
        owner_->on_result(*this, std::move(result));
    }

    Owner* owner_;  // null once the connection is closed
    std::shared_ptr<transport::Connection> connection_;
    State state_ = State::starting;
};

}  // namespace indigovane::adapters
