// Accepts connections, as long as their handler has capacity.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "transport/connection.hpp"

namespace indigovane::transport {

// Where to listen: an address, or a socket that listens there already and was handed over.
struct ListenAt {
    ListenAt(const SocketAddress& e) : at(e) {}
    ListenAt(const SocketAddress& e, bool s, int fd = -1) : at(e), shared(s), inherited(fd) {}
    SocketAddress at;
    bool shared = false;  // other processes may listen there as well
    int inherited = -1;   // the socket; the listener owns it from then on
};

class Listener {
  public:
    using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;

    // Throws boost::system::system_error when the address can't be had.
    Listener(asio::io_context& io, const ListenAt& at, AcceptHandler on_accept);

    void start();
    void pause();  // what comes meanwhile waits in the kernel's queue
    void resume();
    void drain();  // takes in at once what the kernel has queued
    void close();
    int socket() { return acceptor_.native_handle(); }
    SocketAddress local() const { return acceptor_.local_endpoint(); }

  private:
    struct Accept;
    void open_patiently(const SocketAddress& at);
    void make_nonblocking();
    error_code accept_one();
    error_code accept_some();

    asio::io_context& io_;
    Strand strand_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    AcceptHandler on_accept_;
    bool paused_ = false, accepting_ = false;
};

}  // namespace indigovane::transport
