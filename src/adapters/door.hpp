// The part that fronts share: a listener, the sessions that came in by it, and a limit to their number.
#pragma once

#include <memory>
#include <unordered_set>

#include "routing/interfaces.hpp"
#include "transport/connection.hpp"
#include "transport/listener.hpp"

namespace indigovane::adapters {

class Session : public std::enable_shared_from_this<Session> {
  public:
    virtual ~Session() = default;
    virtual bool between_requests() = 0;  // nothing is owed to this client, and nothing of it is unread
    virtual void retire() = 0;            // close as soon as that is so
    virtual void close() = 0;             // at once
    std::uint64_t used = 0;               // when it last had a request, as a count
};

class Door : public routing::Front {
  public:
    Door(boost::asio::io_context& io, const transport::Endpoint& at, std::size_t most);
    ~Door() override;
    void start() override;
    void stop_accepting() override;
    void close_idle() override;
    std::size_t connections() const override { return sessions_.size(); }
    transport::Endpoint local() const { return listener_.local(); }

    void touch(Session& session) { session.used = ++uses_; }
    void leave(const std::shared_ptr<Session>& session);  // the session is over

  protected:
    virtual std::shared_ptr<Session> open(boost::asio::ip::tcp::socket socket) = 0;

  private:
    void take(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    transport::Listener listener_;
    std::size_t most_;
    std::unordered_set<std::shared_ptr<Session>> sessions_;
    std::uint64_t uses_ = 0;
    bool retiring_ = false;
};

}  // namespace indigovane::adapters
