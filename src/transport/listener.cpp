#include "transport/listener.hpp"

#include <boost/asio/coroutine.hpp>
#include <boost/asio/yield.hpp>

#include "transport/shortage.hpp"

namespace indigovane::transport {

namespace {
// Delay before the next try when the machine is short of descriptors or memory.
constexpr auto kRetryDelay = std::chrono::milliseconds(20);
// How long the constructor tries to open a socket.
constexpr auto kOpenTimeout = std::chrono::seconds(5);

// Whether the error concerns only one connection, which ended before it was accepted, or an interrupted call.
// More connections may wait in the queue (accept(2), "Error handling").
bool concerns_one_connection(const error_code& ec) {
    return ec == asio::error::connection_aborted || ec == asio::error::interrupted ||
           ec == boost::system::errc::protocol_error;
}
}  // namespace

// Waits until the socket is ready and then accepts until the queue is empty. Asio's asynchronous accept waits
// for another readiness event after an aborted connection and so misses the connections queued behind it.
struct Listener::AcceptLoop : asio::coroutine {
    Listener* listener;

    explicit AcceptLoop(Listener* owner) : listener(owner) {}

    void operator()(error_code ec = {}) {
        if (ec == asio::error::operation_aborted) return;
        reenter(this) {
            while (listener->acceptor_.is_open() && !listener->is_paused_) {
                yield listener->acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, AcceptLoop(*this));
                ec = listener->accept_some();
                if (!ec) continue;
                // Out of descriptors or memory: retries after a delay, to avoid a busy loop.
                listener->retry_timer_.expires_after(kRetryDelay);
                yield listener->retry_timer_.async_wait(AcceptLoop(*this));
            }
            listener->is_accepting_ = false;
        }
    }
};

// Accepts one waiting connection. Returns would_block if there is none. After any other error the next accept
// may fail as well.
error_code Listener::accept_one() {
    error_code ec;
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (!ec) on_accept_(std::move(socket));
    return concerns_one_connection(ec) ? error_code{} : ec;
}

// Accepts waiting connections for as long as this handler may run in the present turn of the loop.
error_code Listener::accept_some() {
    error_code ec;
    do ec = accept_one();
    while (!ec && acceptor_.is_open() && !is_paused_ && turn_.may_continue());
    return ec == asio::error::would_block ? error_code{} : ec;
}

Listener::Listener(asio::io_context& io, const ListenAt& where, AcceptHandler on_accept)
    : io_(io),
      turn_(LoopTurn::of(io)),
      strand_(asio::make_strand(io)),
      acceptor_(strand_),
      retry_timer_(strand_),
      on_accept_(std::move(on_accept)) {
    const SocketAddress& address = where.address;
    if (where.inherited_socket >= 0) {
        acceptor_.assign(address.protocol(), where.inherited_socket);
        make_nonblocking();
        return;
    }
    open_with_retries(address);
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    if (where.is_shared)
        acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor_.bind(address);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    make_nonblocking();
}

// A temporary shortage of descriptors or memory must not make the start fail. Blocking is fine here: nothing
// else runs yet.
void Listener::open_with_retries(const SocketAddress& address) {
    auto deadline = std::chrono::steady_clock::now() + kOpenTimeout;
    error_code ec;
    for (;;) {
        acceptor_.open(address.protocol(), ec);
        if (!ec || !is_shortage(ec) || std::chrono::steady_clock::now() > deadline) break;
        retry_timer_.expires_after(kRetryDelay);
        retry_timer_.wait();
    }
    if (ec) throw boost::system::system_error(ec, "socket");
}

// Without enable_connection_aborted, Asio would wait, blocking, for the next connection after an aborted one.
void Listener::make_nonblocking() {
    acceptor_.non_blocking(true);
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
}

void Listener::start() {
    is_accepting_ = true;
    AcceptLoop accept_loop(this);
    accept_loop();
}

void Listener::pause() {
    is_paused_ = true;
}

void Listener::resume() {
    if (!is_paused_) return;
    is_paused_ = false;
    if (!is_accepting_ && acceptor_.is_open()) start();
}

void Listener::drain() {
    // Limit for failures from a shortage of descriptors or memory. Connections that remain in the queue are
    // reset unread.
    constexpr int kMaxFailures = 64;
    int failures = 0;
    for (int i = 0; i < asio::socket_base::max_listen_connections && acceptor_.is_open(); ++i) {
        error_code ec = accept_one();
        if (ec == asio::error::would_block) return;
        if (ec && ++failures == kMaxFailures) return;
    }
}

void Listener::close() {
    error_code ec;
    acceptor_.close(ec);
    retry_timer_.cancel(ec);
}

}  // namespace indigovane::transport

#include <boost/asio/unyield.hpp>
