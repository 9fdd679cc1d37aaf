// The part that fronts share: a listener, the sessions that came in by it, and a limit to their number.
#pragma once

#include <map>
#include <memory>

#include "adapters/session.hpp"
#include "transport/lingering.hpp"
#include "transport/listener.hpp"

namespace indigovane::adapters {

class ClientListener : public routing::Front {
  public:
    ClientListener(boost::asio::io_context& io, const transport::ListenAt& at, std::size_t most);
    // So many sessions that have been served may stay open, busy or not. Beyond that the one between requests
    // for longest is closed: clients may hold only so many connections, too, and those that ask once and stay
    // would leave the others none.
    void limit_served(std::size_t most) { served_most_ = most; }
    // What clients leave unread or send unfinished may take so many bytes, all together.
    void limit_bytes(std::size_t bytes) { bytes_most_ = bytes; }
    ~ClientListener() override;
    void start() override;
    void stop_accepting() override;
    void close_idle() override;
    void fail_checks() override { refusing_ = true; }
    void resume_service() override;
    int listening_socket() override { return listener_.socket(); }
    std::size_t hand_over(const std::function<void(routing::ClientHandover)>& to) override;
    void take_over(routing::ClientHandover handover) override;
    std::size_t connections() const override { return sessions_.size(); }
    std::string address() const override;
    transport::SocketAddress local() const { return listener_.local(); }

    void touch(Session& session);                         // it has had a request, or the answer to one
    void leave(const std::shared_ptr<Session>& session);  // the session is over
    bool refusing() const { return refusing_; }
    // Long messages may take so many bytes, all together. What there is no room for waits unread: the time of
    // a request counts from its last byte.
    void limit_long(std::size_t bytes) { long_most_ = bytes; }
    std::size_t long_most() const { return long_most_; }
    bool grant(Session& session, std::size_t bytes);  // false: it is told when there may be room
    void take_back(Session& session);
    // Whether a session is to close between requests: one that has just come has a moment to ask first.
    bool retires(const Session& session) const;
    // Whether the sessions hold too much and this one has a large part in it.
    bool crowded(Session& session);
    static constexpr std::size_t kLingering = 16;  // connections that outlast their session
    void linger(const std::shared_ptr<transport::Connection>& connection);
    std::size_t lingering() const override { return lingering_.count() + retired_.count(); }

  protected:
    virtual std::shared_ptr<Session> open() = 0;

  private:
    void take(boost::asio::ip::tcp::socket socket);
    void take_in(std::shared_ptr<Session> session, boost::asio::ip::tcp::socket socket,
                 std::string_view read);
    void evict_idle_session(const Session& newcomer);

    boost::asio::io_context& io_;
    transport::Listener listener_;
    std::size_t most_;
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions_;  // by their last use, the oldest first
    std::uint64_t uses_ = 0;
    std::size_t served_most_ = std::size_t(-1), served_ = 0;
    std::size_t bytes_most_ = 16 << 20, bytes_ = 0;
    transport::LingeringConnections lingering_{kLingering};
    transport::LingeringConnections retired_{std::size_t(-1)};  // nobody new wants their descriptors
    void sweep();

    std::size_t long_most_ = 32 << 20, long_ = 0;
    std::map<Session*, std::weak_ptr<Session>> waiting_;  // for room
    bool retiring_ = false, refusing_ = false;
    boost::asio::steady_timer sweeper_;
};

}  // namespace indigovane::adapters
