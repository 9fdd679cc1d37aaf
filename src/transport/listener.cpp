#include "transport/listener.hpp"

#include <boost/asio/coroutine.hpp>
#include <boost/asio/yield.hpp>

namespace indigovane::transport {

struct Listener::Accept : asio::coroutine {
    Listener* listener;

    explicit Accept(Listener* l) : listener(l) {}

    void operator()(error_code ec = {},
                    asio::ip::tcp::socket socket = asio::ip::tcp::socket(asio::system_executor())) {
        if (ec == asio::error::operation_aborted) return;
        reenter(this) {
            while (listener->acceptor_.is_open() && !listener->paused_) {
                yield listener->acceptor_.async_accept(
                    listener->io_, [again = *this](error_code e, asio::ip::tcp::socket s) mutable {
                        again(e, std::move(s));
                    });
                if (!ec) {
                    listener->taker_(std::move(socket));
                } else {
                    // Out of descriptors, most likely: try again shortly rather than spin.
                    listener->retry_.expires_after(std::chrono::milliseconds(20));
                    yield listener->retry_.async_wait([again = *this](error_code e) mutable { again(e); });
                }
            }
            listener->accepting_ = false;
        }
    }
};

Listener::Listener(asio::io_context& io, const ListenAt& where, Taker taker)
    : io_(io), strand_(asio::make_strand(io)), acceptor_(strand_), retry_(strand_), taker_(std::move(taker)) {
    const Endpoint& at = where.at;
    if (where.inherited >= 0) {
        acceptor_.assign(at.protocol(), where.inherited);
        acceptor_.non_blocking(true);
        return;
    }
    acceptor_.open(at.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    if (where.shared)
        acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor_.bind(at);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
}

void Listener::start() {
    accepting_ = true;
    Accept accept(this);
    accept();
}

void Listener::pause() {
    paused_ = true;
}

void Listener::resume() {
    if (!paused_) return;
    paused_ = false;
    if (!accepting_ && acceptor_.is_open()) start();
}

void Listener::drain() {
    while (acceptor_.is_open()) {
        error_code ec;
        asio::ip::tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (ec) return;
        taker_(std::move(socket));
    }
}

void Listener::close() {
    error_code ec;
    acceptor_.close(ec);
    retry_.cancel(ec);
}

}  // namespace indigovane::transport

#include <boost/asio/unyield.hpp>
