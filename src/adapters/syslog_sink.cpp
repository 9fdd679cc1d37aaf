#include "adapters/syslog_sink.hpp"

#include "protocol/syslog.hpp"

namespace indigovane::adapters {

namespace syslog = protocol::syslog;

SyslogSink::SyslogSink(boost::asio::io_context& io, const transport::SocketAddress& collector,
                       std::chrono::milliseconds retry)
    : io_(io), collector_(collector), retry_delay_(retry), timer_(io) {
    connect();
}

SyslogSink::~SyslogSink() {
    connection_->close();
}

void SyslogSink::connect() {
    connection_ = std::make_shared<transport::Connection>(io_);
    connection_->connect(collector_, std::chrono::seconds(2), *this);
}

void SyslogSink::send(const std::string& line) {
    queue_.push_back(line);
    if (queue_.size() > kQueued) {
        queue_.pop_front();
        ++dropped_;
    }
    send_queued();
}

void SyslogSink::send_queued() {
    if (!connection_->open() || !connection_->all_written()) return;
    std::string bytes;
    while (!queue_.empty() && bytes.size() < 16384) {
        bytes += syslog::frame(queue_.front());
        queue_.pop_front();
    }
    if (!bytes.empty()) connection_->write(std::move(bytes));
}

void SyslogSink::on_connected() {
    connection_->established();
    send_queued();
}

void SyslogSink::on_closed(const transport::error_code&) {
    timer_.expires_after(retry_delay_);
    timer_.async_wait([this](const transport::error_code& ec) {
        if (!ec) connect();
    });
}

}  // namespace indigovane::adapters
