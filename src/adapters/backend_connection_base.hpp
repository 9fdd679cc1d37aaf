// What links of every wire have in common: one connection, its owner, and what a break says of the job.
#pragma once

#include <boost/asio/post.hpp>

#include "routing/interfaces.hpp"
#include "transport/connection.hpp"
#include "transport/shortage.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::adapters {

class BackendConnectionBase : public routing::BackendConnection,
                              protected transport::Connection::Handler,
                              public std::enable_shared_from_this<BackendConnectionBase> {
  public:
    BackendConnectionBase(boost::asio::io_context& io, Owner& owner, std::size_t unread)
        : owner_(&owner), connection_(std::make_shared<transport::Connection>(io)) {
        connection_->limit_unread(unread);
    }
    ~BackendConnectionBase() override { connection_->close(); }

    void connect(boost::asio::io_context& io, const std::string& address, routing::Duration timeout) {
        if (auto to = transport::parse_socket_address(address)) {
            connection_->connect(*to, timeout, *this);
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
        end(state_ == State::starting && transport::is_shortage(ec) ? End::unopened : broken());
    }
    // What a break at this moment says of the job.
    virtual End broken() const {
        if (state_ == State::starting) return End::unreachable;
        if (state_ == State::awaiting_answer && !connection_->all_written()) return End::unwritten;
        return End::written;
    }
    void end(End how) {
        connection_->close();
        if (Owner* owner = std::exchange(owner_, nullptr)) owner->on_end(*this, how);
    }
    void came_up() {
        state_ = State::idle;
        connection_->established();
        owner_->on_ready(*this);
    }
    void send_request(std::string bytes) {
        state_ = State::awaiting_answer;
        connection_->write(std::move(bytes));
    }
    void answer(routing::AttemptResult result) {
        // What is left of a request that was answered early would be taken for a part of the next one.
        if (!connection_->all_written()) result.reusable = false;
        state_ = State::idle;
        owner_->on_result(*this, std::move(result));
    }

    Owner* owner_;  // none: the link is closed
    std::shared_ptr<transport::Connection> connection_;
    State state_ = State::starting;
};

}  // namespace indigovane::adapters
