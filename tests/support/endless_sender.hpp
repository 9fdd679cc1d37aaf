// A peer that sends without an end. It has threads of its own, so that the test's event loop stays free.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <string>
#include <thread>
#include <vector>

#include "support/loopback.hpp"

namespace indigovane::testing {

// Sends `chunk` again and again on one connected socket, until it is closed or `stop` is set. Sends go on
// where a time limit of the socket cut the last one off.
inline void send_without_end(int socket, const std::string& chunk, const std::atomic<bool>& stop) {
    for (std::size_t sent = 0; !stop;) {
        ssize_t count = ::send(socket, chunk.data() + sent, chunk.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN) return;
        if (count > 0) sent = (sent + std::size_t(count)) % chunk.size();
    }
}

// Listens on loopback. On each connection it answers the first message with `welcome` (if that is not empty)
// and the next one with `opening`, and then with `chunk` without an end.
class EndlessServer {
  public:
    EndlessServer(std::string welcome, std::string opening, std::string chunk)
        : welcome_(std::move(welcome)), opening_(std::move(opening)), chunk_(std::move(chunk)) {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at);
        ::listen(listener_, 128);
        socklen_t size = sizeof at;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        acceptor_ = std::thread([this] { accept_all(); });
    }
    ~EndlessServer() {
        stop_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();  // adds no further thread from here on
        for (std::thread& thread : threads_) thread.join();
        ::close(listener_);
    }
    const std::string& address() const { return address_; }
    // Connections on which it has begun to send without an end.
    int begun() const { return begun_; }

  private:
    void accept_all() {
        for (;;) {
            int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) return;
            timeval limit{0, 100000};  // so that threads notice `stop_`
            ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
            threads_.emplace_back([this, socket] { serve(socket); });
        }
    }
    void serve(int socket) {
        if (welcome_.empty() ||
            (receive(socket) && ::send(socket, welcome_.data(), welcome_.size(), MSG_NOSIGNAL) > 0)) {
            if (receive(socket)) {
                ++begun_;
                ::send(socket, opening_.data(), opening_.size(), MSG_NOSIGNAL);
                send_without_end(socket, chunk_, stop_);
            }
        }
        ::close(socket);
    }
    bool receive(int socket) {
        std::string scratch(65536, '\0');
        while (!stop_) {
            ssize_t count = ::recv(socket, scratch.data(), scratch.size(), 0);
            if (count >= 0) return count > 0;
        }
        return false;
    }

    std::string welcome_, opening_, chunk_, address_;
    int listener_ = -1;
    std::atomic<bool> stop_{false};
    std::atomic<int> begun_{0};
    std::thread acceptor_;
    std::vector<std::thread> threads_;  // one for each connection; added by `acceptor_`
};

// Clients that send `chunk` without an end, each on a connection of its own, after `hello`. Another thread of
// each reads what comes: a client that reads nothing would soon be unable to send.
class EndlessClients {
  public:
    EndlessClients(const transport::SocketAddress& to, std::size_t count, const std::string& hello,
                   const std::string& chunk) {
        for (std::size_t i = 0; i < count; ++i)
            threads_.emplace_back([this, to, hello, chunk] { run(to, hello, chunk); });
    }
    ~EndlessClients() {
        stop_ = true;
        for (std::thread& thread : threads_) thread.join();
    }
    int begun() const { return begun_; }

  private:
    void run(const transport::SocketAddress& to, const std::string& hello, const std::string& chunk) {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval limit{0, 100000};
        ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        if (::connect(socket, to.data(), socklen_t(to.size())) == 0 &&
            ::send(socket, hello.data(), hello.size(), MSG_NOSIGNAL) > 0) {
            ++begun_;
            std::thread reader([socket] {
                std::string scratch(65536, '\0');
                while (::recv(socket, scratch.data(), scratch.size(), 0) > 0) {
                }
            });
            send_without_end(socket, chunk, stop_);
            ::shutdown(socket, SHUT_RDWR);
            reader.join();
        }
        ::close(socket);
    }
    std::atomic<bool> stop_{false};
    std::atomic<int> begun_{0};
    std::vector<std::thread> threads_;
};

}  // namespace indigovane::testing
