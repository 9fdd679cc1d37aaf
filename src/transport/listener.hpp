// Accepts TCP connections. Accepting can be paused while the handler has no capacity.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "transport/connection.hpp"

namespace indigovane::transport {

// Where to listen: an address, or an inherited socket that already listens there.
struct ListenAt {
    ListenAt(const SocketAddress& socket_address) : address(socket_address) {}
    ListenAt(const SocketAddress& socket_address, bool may_be_shared, int socket = -1)
        : address(socket_address), is_shared(may_be_shared), inherited_socket(socket) {}
    SocketAddress address;
    // Whether other processes may listen on the same address (SO_REUSEPORT).
    bool is_shared = false;
    // Descriptor of a listening socket, which the listener then owns; -1: the listener opens one.
    int inherited_socket = -1;
};

class Listener {
  public:
    using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;

    // Throws boost::system::system_error if it cannot listen on the address.
    Listener(asio::io_context& io, const ListenAt& where, AcceptHandler on_accept);

    void start();
    // Stops accepting. New connections wait in the kernel's queue until resume().
    void pause();
    void resume();
    // Accepts the connections that wait in the kernel's queue, without returning to the event loop, and no
    // more than that queue holds: clients may connect faster than connections are accepted.
    void drain();
    void close();
    // The descriptor of the listening socket, which the listener still owns.
    int socket() { return acceptor_.native_handle(); }
    SocketAddress local() const { return acceptor_.local_endpoint(); }

  private:
    struct AcceptLoop;
    void open_with_retries(const SocketAddress& address);
    void make_nonblocking();
    error_code accept_one();
    error_code accept_some();

    asio::io_context& io_;
    LoopTurn& turn_;
    Strand strand_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    AcceptHandler on_accept_;
    bool is_paused_ = false, is_accepting_ = false;
};

}  // namespace indigovane::transport
