// A client's socket that the test writes, reads and closes piece by piece, and a process's memory.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <string_view>

#include "support/loopback.hpp"

namespace indigovane::testing {

// Never blocks. What it is to send is sent by pump(), a limited number of bytes at a time.
class RawSocket {
  public:
    explicit RawSocket(const transport::SocketAddress& to)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        is_open_ = ::connect(socket_, to.data(), socklen_t(to.size())) == 0;
    }
    RawSocket(const RawSocket&) = delete;
    ~RawSocket() { close(); }

    void queue(std::string_view bytes) { queued_ += bytes; }
    // Sends and reads at most so many bytes.
    void pump(std::size_t max_sent, std::size_t max_read) {
        if (!is_open_) return;
        send_some(max_sent);
        std::string scratch(max_read, '\0');
        ssize_t count = max_read > 0 ? ::recv(socket_, scratch.data(), max_read, MSG_DONTWAIT) : -1;
        if (count > 0) received_.append(scratch, 0, std::size_t(count));
        if (count == 0 && max_read > 0) is_open_ = false;
    }
    std::size_t unsent() const { return queued_.size() - sent_; }
    const std::string& received() const { return received_; }
    bool is_open() const { return is_open_; }
    void close() {
        if (socket_ >= 0) ::close(socket_);
        socket_ = -1;
        is_open_ = false;
    }
    // Ends the connection by a reset, so that what is unread on either side is dropped.
    void reset() {
        linger at_once{1, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

  private:
    void send_some(std::size_t max_bytes) {
        ssize_t count = ::send(socket_, queued_.data() + sent_, std::min(unsent(), max_bytes),
                               MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) sent_ += std::size_t(count);
    }

    int socket_;
    bool is_open_ = false;
    std::string queued_, received_;
    std::size_t sent_ = 0;  // of `queued_`
};

// A figure of /proc/PID/status in KiB, such as VmRSS or VmHWM (the peak).
inline std::size_t memory_kib(pid_t process, const std::string& figure) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(figure + ":")) return std::size_t(std::stoul(line.substr(figure.size() + 1)));
    return 0;
}

// The sanitizers keep freed memory and shadow memory: a process's size shows nothing under them.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryIsMeasured = false;
#else
constexpr bool kMemoryIsMeasured = true;
#endif

}  // namespace indigovane::testing
