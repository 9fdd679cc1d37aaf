// Accepts connections, as long as whoever takes them has room.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "transport/connection.hpp"

namespace indigovane::transport {

class Listener {
  public:
    using Taker = std::function<void(asio::ip::tcp::socket)>;

    // Throws boost::system::system_error when the address can't be had.
    Listener(asio::io_context& io, const Endpoint& at, Taker taker);

    void start();
    void pause();  // what comes meanwhile waits in the kernel's queue
    void resume();
    void drain();  // takes in at once what the kernel has queued
    void close();
    Endpoint local() const { return acceptor_.local_endpoint(); }

  private:
    struct Accept;

    asio::io_context& io_;
    Strand strand_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    Taker taker_;
    bool paused_ = false, accepting_ = false;
};

}  // namespace indigovane::transport
