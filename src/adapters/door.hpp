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
    // What clients leave unread or send unfinished may take so many bytes, all together.
    void limit_bytes(std::size_t bytes) { bytes_most_ = bytes; }
    ~Door() override;
    void start() override;
    void stop_accepting() override;
    void close_idle() override;
    std::size_t connections() const override { return sessions_.size(); }
    std::string address() const override;
    transport::Endpoint local() const { return listener_.local(); }

    void touch(Session& session) { session.used = ++uses_; }
    void leave(const std::shared_ptr<Session>& session);  // the session is over
    // Whether the sessions hold too much and this one has a large part in it.
    bool crowded(Session& session);
    // A token for a connection that lingers after its session; none when too many do.
    std::shared_ptr<void> linger() const;

  protected:
    virtual std::shared_ptr<Session> open(boost::asio::ip::tcp::socket socket) = 0;

  private:
    void take(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    transport::Listener listener_;
    std::size_t most_;
    std::unordered_set<std::shared_ptr<Session>> sessions_;
    std::uint64_t uses_ = 0;
    std::size_t bytes_most_ = 16 << 20, bytes_ = 0;
    std::shared_ptr<int> lingering_ = std::make_shared<int>(0);  // as many others hold it as linger
    bool retiring_ = false;
};

}  // namespace indigovane::adapters
