// The operators' address: one line a connection, answered by one line that begins with +OK or -ERR.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "routing/interfaces.hpp"
#include "transport/lingering.hpp"
#include "transport/listener.hpp"

namespace indigovane::adapters {

// What operators may call. Each call may be made again: it then changes nothing more.
class Operations {
  public:
    struct Reply {
        bool ok = false;
        std::string text;
        // Set: the call is answered once this calls back, with what it then says.
        std::function<void(std::function<void(std::string text)>)> later = {};
    };
    virtual Reply check() = 0;
    virtual Reply set_down(const std::string& uid) = 0;
    virtual Reply set_up(const std::string& uid) = 0;
    virtual Reply drain(bool on) = 0;
    // The shapes that cost most lately, so many at most: a JSON array in one line.
    virtual Reply shapes(std::size_t most) = 0;
    // What a site is held to be, with the evidence: JSON in one line; of its plan, likewise.
    virtual Reply site_status() { return {false, "sites are not watched"}; }
    virtual Reply site_plan(const std::string&) { return {false, "sites are not watched"}; }
    virtual Reply site_drain(const std::string&, bool) { return {false, "sites are not watched"}; }

  protected:
    ~Operations() = default;
};

struct ControlLimits {
    std::size_t callers = 32;    // at once; beyond that the one waited for longest gives way
    std::size_t lingering = 16;  // connections that have their answer and are not closed by the caller yet
    std::size_t line = 256;      // bytes
    std::chrono::milliseconds client_timeout{5000};  // with a caller that has not sent its whole line

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
    void take(boost::asio::ip::tcp::socket socket);
    void leave(std::uint64_t number);
    Operations::Reply answer(std::string_view line);
    Operations::Reply site(const std::string& argument);

    boost::asio::io_context& io_;
    ControlLimits limits_;
    transport::LingeringConnections lingering_;
    Operations& operations_;
    routing::Logger& logger_;
    std::map<std::uint64_t, std::shared_ptr<Caller>> callers_;  // by their coming
    std::uint64_t came_ = 0;
    transport::Listener listener_;
};

}  // namespace indigovane::adapters
