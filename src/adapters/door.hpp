// The part that fronts share: a listener, the sessions that came in by it, and a limit to their number.
#pragma once

#include <memory>
#include <unordered_set>

#include "adapters/session.hpp"
#include "transport/listener.hpp"

namespace indigovane::adapters {

class Door : public routing::Front {
  public:
    Door(boost::asio::io_context& io, const transport::Endpoint& at, std::size_t most);
    ~Door() override;
    void start() override;
    void stop_accepting() override;
    void close_idle() override;
    std::size_t connections() const override { return sessions_.size(); }
    std::string address() const override;
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
