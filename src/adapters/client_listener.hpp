// The part that all fronts share: a listener, the sessions of its connections and their limits.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "adapters/client_memory.hpp"
#include "adapters/session.hpp"
#include "transport/lingering.hpp"
#include "transport/listener.hpp"

namespace indigovane::adapters {

class ClientListener : public routing::Front {
  public:
    ClientListener(boost::asio::io_context& io, const transport::ListenAt& at, std::size_t max_connections);
    /// Limits the number of open sessions that have had a request, idle or not. Beyond it the session that
    /// has been idle for longest is closed. The number of connections is limited, and without this clients
    /// that send one request and stay connected would leave none to others.
    void limit_served_sessions(std::size_t max_sessions) { max_served_sessions_ = max_sessions; }
    /// Limits the sum of bytes in all sessions' buffers, unread and unwritten, without those that are
    /// reserved for long messages.
    void limit_buffered_bytes(std::size_t bytes) { memory_.set_limit(bytes); }
    ~ClientListener() override;
    void start() override;
    void stop_accepting() override;
    void close_idle() override;
    void fail_checks() override { is_failing_checks_ = true; }
    void resume_service() override;
    int listening_socket() override { return listener_.socket(); }
    std::size_t hand_over(const std::function<void(routing::ClientHandover)>& to) override;
    void take_over(routing::ClientHandover handover) override;
    std::size_t connections() const override { return sessions_.size(); }
    std::string address() const override;
    transport::SocketAddress local() const { return listener_.local(); }

    /// Records that the session has had a request or its answer; may close another session.
    void mark_used(Session& session);
    /// Removes a closed session.
    void remove_session(const std::shared_ptr<Session>& session);
    /// Whether health checks are to fail, so that load balancers send clients elsewhere.
    bool is_failing_checks() const { return is_failing_checks_; }
    /// A long message waits this long for capacity, then its request is rejected. The client may have sent it
    /// completely, so that its time has begun, and a final answer may be 500 ms late.
    static constexpr auto kMaxCapacityWait = std::chrono::milliseconds(300);
    /// Limits the sum of bytes reserved for long messages. A message beyond it waits unread, for
    /// kMaxCapacityWait at most; its request's time counts from its last byte.
    void limit_long_message_bytes(std::size_t bytes) { max_long_bytes_ = bytes; }
    std::size_t max_long_bytes() const { return max_long_bytes_; }
    /// Reserves bytes for a long message. Returns false if they exceed the limit; the session's
    /// resume_reading() is called when there may be capacity, or on_capacity_timeout() after
    /// kMaxCapacityWait.
    bool grant_capacity(Session& session, std::size_t bytes);
    /// Returns the bytes that were reserved for the session's long message.
    void release_capacity(Session& session);
    /// Whether the session is to close when no answer is owed to its client. A new one first has some time to
    /// send a request.
    bool is_retiring(const Session& session) const;
    /// Whether sessions are handed over to another process as soon as no request of theirs is served.
    bool is_handing_over() const { return is_handing_over_; }
    /// What bounds the memory of the sessions.
    ClientMemory& memory() { return memory_; }
    /// The sum of the bytes in all sessions' buffers, without those reserved for long messages.
    std::size_t buffered_bytes() const { return memory_.sum(); }
    /// Number of half-closed connections that are kept after the end of their session, unless the listener
    /// is retiring.
    static constexpr std::size_t kLingering = 16;
    /// Keeps a half-closed connection until the client closes it too or its time is up.
    void linger(const std::shared_ptr<transport::Connection>& connection);
    std::size_t lingering() const override { return lingering_.count() + lingering_after_drain_.count(); }

  protected:
    virtual std::shared_ptr<Session> create_session() = 0;

  private:
    void accept_socket(boost::asio::ip::tcp::socket socket);
    void add_session(std::shared_ptr<Session> session, boost::asio::ip::tcp::socket socket,
                     std::string_view received_bytes);
    void evict_idle_session(const Session& newcomer);

    boost::asio::io_context& io_;
    transport::Listener listener_;
    std::size_t max_connections_;
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions_;  // by their last use, the oldest first
    std::uint64_t last_use_sequence_ = 0;
    std::size_t max_served_sessions_ = std::size_t(-1), served_sessions_ = 0;
    ClientMemory memory_;
    transport::LingeringConnections lingering_{kLingering};
    // Not limited: a retiring listener needs no descriptors for new clients.
    transport::LingeringConnections lingering_after_drain_{std::size_t(-1)};
    void close_retiring_sessions();
    std::vector<std::shared_ptr<Session>> open_sessions() const;

    std::size_t max_long_bytes_ = 32 << 20, granted_long_bytes_ = 0;
    struct CapacityWait {
        std::weak_ptr<Session> session;
        std::chrono::steady_clock::time_point begin;
    };
    void end_capacity_waits();
    void schedule_capacity_timeout();

    std::map<Session*, CapacityWait> waiting_for_capacity_;  // each for a long message
    boost::asio::steady_timer capacity_timer_;
    bool is_capacity_timer_set_ = false;
    bool is_retiring_ = false, is_failing_checks_ = false, is_handing_over_ = false;
    boost::asio::steady_timer retirement_timer_;
};

}  // namespace indigovane::adapters
