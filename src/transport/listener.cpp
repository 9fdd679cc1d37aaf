#include "transport/listener.hpp"

#include <boost/asio/coroutine.hpp>
#include <boost/asio/yield.hpp>

#include "transport/shortage.hpp"

namespace indigovane::transport {

namespace {
constexpr auto kRetryAfter = std::chrono::milliseconds(20);
constexpr auto kOpenWithin = std::chrono::seconds(5);
constexpr int kAtOnce = 16;  // connections accepted in one go

// One connection has ended before it was accepted, or the call was interrupted: others may stand behind it
// (accept(2), "Error handling").
bool concerns_one_connection(const error_code& ec) {
    return ec == asio::error::connection_aborted || ec == asio::error::interrupted ||
           ec == boost::system::errc::protocol_error;
}
}  // namespace

// Waits until the socket is ready and then accepts until nothing is left. Asio's own asynchronous accept
// waits for another edge after a connection that was aborted, which hides those behind it.
struct Listener::Accept : asio::coroutine {
    Listener* listener;

    explicit Accept(Listener* l) : listener(l) {}

    void operator()(error_code ec = {}) {
        if (ec == asio::error::operation_aborted) return;
        reenter(this) {
            while (listener->acceptor_.is_open() && !listener->paused_) {
                yield listener->acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, Accept(*this));
                ec = listener->accept_some();
                if (!ec) continue;
                // Out of descriptors or memory: try again shortly rather than spin.
                listener->retry_.expires_after(kRetryAfter);
                yield listener->retry_.async_wait(Accept(*this));
            }
            listener->accepting_ = false;
        }
    }
};

// Takes one connection that waits. would_block: none does. Any other error: the next may fail as well.
error_code Listener::accept_one() {
    error_code ec;
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (!ec) on_accept_(std::move(socket));
    return concerns_one_connection(ec) ? error_code{} : ec;
}

// Takes what waits, up to a bound that leaves others on the loop their turn.
error_code Listener::accept_some() {
    for (int i = 0; i < kAtOnce && acceptor_.is_open() && !paused_; ++i) {
        error_code ec = accept_one();
        if (ec == asio::error::would_block) return {};
        if (ec) return ec;
    }
    return {};
}

Listener::Listener(asio::io_context& io, const ListenAt& where, AcceptHandler on_accept)
    : io_(io),
      strand_(asio::make_strand(io)),
      acceptor_(strand_),
      retry_(strand_),
      on_accept_(std::move(on_accept)) {
    const SocketAddress& at = where.at;
    if (where.inherited >= 0) {
        acceptor_.assign(at.protocol(), where.inherited);
        make_nonblocking();
        return;
    }
    open_patiently(at);
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    if (where.shared)
        acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor_.bind(at);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    make_nonblocking();
}

// A machine that is short of descriptors or memory for a moment fails no start. Nothing else runs yet that
// this could hold up.
void Listener::open_patiently(const SocketAddress& at) {
    auto give_up = std::chrono::steady_clock::now() + kOpenWithin;
    error_code ec;
    for (;;) {
        acceptor_.open(at.protocol(), ec);
        if (!ec || !is_shortage(ec) || std::chrono::steady_clock::now() > give_up) break;
        retry_.expires_after(kRetryAfter);
        retry_.wait();
    }
    if (ec) throw boost::system::system_error(ec, "socket");
}

// Without the option a blocking wait follows a connection that was aborted.
void Listener::make_nonblocking() {
    acceptor_.non_blocking(true);
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
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
    constexpr int kMaxFailures = 64;  // for want of descriptors or memory; what is left is reset unread
    for (int failures = 0; acceptor_.is_open() && failures < kMaxFailures;) {
        error_code ec = accept_one();
        if (ec == asio::error::would_block) return;
        if (ec) ++failures;
    }
}

void Listener::close() {
    error_code ec;
    acceptor_.close(ec);
    retry_.cancel(ec);
}

}  // namespace indigovane::transport

#include <boost/asio/unyield.hpp>
