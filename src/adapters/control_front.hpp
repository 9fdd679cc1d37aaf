// The operators' control address. A connection carries one call, a line, and its answer, a line that begins
// with +OK or -ERR.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "routing/interfaces.hpp"
#include "transport/lingering.hpp"
#include "transport/listener.hpp"

namespace indigovane::adapters {

/// The calls that operators may make. Each is idempotent: repeating it changes nothing.
class Operations {
  public:
    struct Reply {
        bool ok = false;
        std::string text;
        /// If set, `text` is not sent: the function is called with a callback, whose text is the answer.
        std::function<void(std::function<void(std::string text)>)> later = {};
    };
    virtual Reply check() = 0;
    virtual Reply set_down(const std::string& uid) = 0;
    virtual Reply set_up(const std::string& uid) = 0;
    virtual Reply drain(bool on) = 0;
    /// The shapes with the highest recent cost, at most `max_shapes`: a JSON array in one line.
    virtual Reply shapes(std::size_t max_shapes) = 0;
    /// The health of the sites with its evidence, and a site's failover plan: JSON in one line each.
    virtual Reply site_status() { return {false, "sites are not watched: no sites file is configured"}; }
    virtual Reply site_plan(const std::string&) {
        return {false, "sites are not watched: no sites file is configured"};
    }
    virtual Reply site_drain(const std::string&, bool) {
        return {false, "sites are not watched: no sites file is configured"};
    }

  protected:
    ~Operations() = default;
};

struct ControlLimits {
    /// Connections whose call is unanswered. At this number a new one closes the oldest.
    std::size_t callers = 32;
    /// Connections that have been answered and that the caller has not closed yet.
    std::size_t lingering = 16;
    /// Length of a call in bytes.
    std::size_t line = 256;
    /// Time from the connection's start to the answer.
    std::chrono::milliseconds client_timeout{5000};

    /// Descriptors needed: all connections, and one more.
    std::size_t sockets() const { return callers + lingering + 1; }
};

class ControlFront {
  public:
    ControlFront(boost::asio::io_context& io, const transport::SocketAddress& at, ControlLimits limits,
                 Operations& operations, routing::Logger& logger);
    ~ControlFront();
    void start() { listener_.start(); }
    void close();
    std::size_t callers() const { return callers_.size(); }
    transport::SocketAddress local() const { return listener_.local(); }

  private:
    class Caller;
    void accept_socket(boost::asio::ip::tcp::socket socket);
    void remove_caller(std::uint64_t number);
    Operations::Reply answer(std::string_view line);
    Operations::Reply answer_site_call(const std::string& argument);

    boost::asio::io_context& io_;
    ControlLimits limits_;
    transport::LingeringConnections lingering_;
    Operations& operations_;
    routing::Logger& logger_;
    std::map<std::uint64_t, std::shared_ptr<Caller>> callers_;  // by their number, the oldest first
    std::uint64_t last_caller_number_ = 0;
    transport::Listener listener_;
};

}  // namespace indigovane::adapters
