// Sends log lines to a syslog collector over TCP, framed by octet counting (RFC 6587).
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string>

#include "transport/connection.hpp"

namespace indigovane::adapters {

// Never in the way of serving: what a collector does not take in time is dropped, the oldest first.
class SyslogSink final : private transport::Connection::Handler {
  public:
    static constexpr std::size_t kQueued = 1000;  // lines
    SyslogSink(boost::asio::io_context& io, const transport::SocketAddress& collector,
               std::chrono::milliseconds retry = std::chrono::milliseconds(1000));
    ~SyslogSink();

    void send(const std::string& line);
    std::size_t dropped() const { return dropped_; }

  private:
    void connect();
    void send_queued();
    void on_connected() override;
    void on_data(transport::Buffer& in) override { in.consume(in.size()); }  // nothing is to be said back
    void on_written() override { send_queued(); }
    void on_closed(const transport::error_code& ec) override;

    boost::asio::io_context& io_;
    transport::SocketAddress collector_;
    std::chrono::milliseconds retry_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<transport::Connection> connection_;
    std::deque<std::string> queue_;
    std::size_t dropped_ = 0;
};

}  // namespace indigovane::adapters
