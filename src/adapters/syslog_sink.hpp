// Sends log lines to a syslog collector over TCP, framed by octet counting (RFC 6587).
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string>

#include "transport/connection.hpp"

namespace indigovane::adapters {

// Never blocks. Lines that the collector does not receive in time are dropped, the oldest first. After a
// failure it connects again `retry` later.
class SyslogSink final : private transport::Connection::Handler {
  public:
    static constexpr std::size_t kQueued = 1000;  // maximum number of queued lines
    SyslogSink(boost::asio::io_context& io, const transport::SocketAddress& collector,
               std::chrono::milliseconds retry = std::chrono::milliseconds(1000));
    ~SyslogSink();

    void send(const std::string& line);
    // Lines dropped since the start.
    std::size_t dropped() const { return dropped_; }

  private:
    void connect();
    void send_queued();
    void on_connected() override;
    void on_data(transport::Buffer& in) override { in.consume(in.size()); }  // the protocol has no replies
    void on_written() override { send_queued(); }
    void on_closed(const transport::error_code& ec) override;

    boost::asio::io_context& io_;
    transport::SocketAddress collector_;
    std::chrono::milliseconds retry_delay_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<transport::Connection> connection_;
    std::deque<std::string> queue_;
    std::size_t dropped_ = 0;
};

}  // namespace indigovane::adapters
