#include "transport/connection.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/coroutine.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/yield.hpp>
#include <cerrno>

namespace indigovane::transport {

namespace {
// Maximum number of bytes that are discarded from a closing connection.
constexpr std::size_t kMaxDiscardedBytes = 1 << 18;
// Time limit for writing the queued bytes of a closing connection, and again for discarding its input.
constexpr auto kLingerTimeout = std::chrono::milliseconds(1000);
// Time limit for the other side to close after this side has shut down its sending direction.
constexpr auto kRemoteCloseTimeout = std::chrono::milliseconds(300);
// A client that has gone must be detected within 100 ms.
constexpr auto kHangupCheckInterval = std::chrono::milliseconds(40);
// Maximum capacity in bytes that an empty write buffer keeps.
constexpr std::size_t kRetainedWriteBytes = 4096;

// Whether the call only has to be repeated: it was interrupted, or the socket was not ready.
bool is_transient(const error_code& ec) {
    return ec == asio::error::would_block || ec == asio::error::interrupted;
}

// What the next read from the socket would return: no data yet, bytes, or the end of the stream or an error.
enum class Peek { nothing, bytes, end };
// Looks at the kernel's receive buffer and leaves its content there.
Peek peek(int socket) {
    char byte = 0;
    ssize_t count = 0;
    do {
        count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    } while (count < 0 && errno == EINTR);
    if (count > 0) return Peek::bytes;
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? Peek::nothing : Peek::end;
}
}  // namespace

struct Connection::Reader : asio::coroutine {
    std::shared_ptr<Connection> self;
    bool must_connect;

    Reader(std::shared_ptr<Connection> connection, bool connects)
        : self(std::move(connection)), must_connect(connects) {}

    void operator()(error_code ec = {}) {
        Connection& connection = *self;
        std::size_t count = 0;
        if (connection.state_ == State::closed) return;
        reenter(this) {
            if (must_connect) {
                yield connection.socket_.async_connect(connection.peer_, Reader(*this));
                if (ec) {
                    connection.fail(ec);
                    return;
                }
                connection.state_ = State::open;
                connection.socket_.set_option(asio::ip::tcp::no_delay(true), ec);
                connection.socket_.non_blocking(true, ec);
                if (connection.handler_) connection.handler_->on_connected();
            }
            while (connection.state_ == State::open && !connection.close_when_written_) {
                if (connection.is_delivery_scheduled_) break;  // deliver_unread() starts another reader
                // Backpressure: resume() starts another reader.
                if (!connection.may_read()) {
                    connection.is_reading_ = false;
                    connection.schedule_hangup_check();
                    return;
                }
                connection.is_reading_ = true;
                // Waits for readiness before it reserves buffer space: the handler may consume bytes while
                // the read is pending, and that moves the buffer's content.
                yield connection.socket_.async_wait(asio::ip::tcp::socket::wait_read, Reader(*this));
                if (connection.close_when_written_) return;
                if (connection.is_delivery_scheduled_) break;
                if (!ec && !connection.may_read()) continue;  // limited while the read was awaited
                if (!ec) {
                    Buffer::Span free = connection.in_.prepare(connection.read_size_);
                    count = connection.socket_.read_some(
                        asio::buffer(free.data, connection.readable_bytes(free.size)), ec);
                }
                if (is_transient(ec)) continue;
                if (ec) {
                    connection.fail(ec);
                    return;
                }
                connection.in_.commit(count);
                if (connection.handler_) connection.handler_->on_data(connection.in_);
            }
            connection.is_reading_ = false;
        }
    }
};

// Writes until the kernel accepts no more bytes, and only then waits. Accepted bytes are counted in the same
// call, so all_written() is always up to date. The handler is never called from within write(): the end of a
// write is posted to the strand.
struct Connection::Writer : asio::coroutine {
    std::shared_ptr<Connection> self;
    error_code failure{};
    // Whether this coroutine runs from the event loop, after write() has returned.
    bool posted = false;

    explicit Writer(std::shared_ptr<Connection> connection) : self(std::move(connection)) {}

    void operator()(error_code ec = {}) {
        Connection& connection = *self;
        if (connection.state_ == State::closed) return;
        reenter(this) {
            for (;;) {
                while (!failure && connection.write_some(failure)) {
                }
                if (failure == asio::error::would_block) {
                    failure = {};
                    posted = true;
                    yield connection.socket_.async_wait(asio::ip::tcp::socket::wait_write, Writer(*this));
                    failure = ec;
                    continue;
                }
                if (posted) break;
                posted = true;
                yield asio::post(connection.strand_, Writer(*this));
            }
            if (failure) return connection.fail(failure);
            connection.has_active_writer_ = false;
            if (connection.close_when_written_) return connection.half_close();
            if (connection.handler_) connection.handler_->on_written();
        }
    }
};

// Reads and drops input until the end of the stream or the byte limit, then closes the connection.
struct Connection::InputDiscarder : asio::coroutine {
    std::shared_ptr<Connection> self;
    std::size_t remaining = kMaxDiscardedBytes;

    explicit InputDiscarder(std::shared_ptr<Connection> connection) : self(std::move(connection)) {}

    void operator()(error_code ec = {}) {
        Connection& connection = *self;
        if (connection.state_ == State::closed) return;
        char scratch[8192];
        reenter(this) {
            while (!ec && remaining > 0) {
                yield connection.socket_.async_wait(asio::ip::tcp::socket::wait_read, InputDiscarder(*this));
                if (!ec)
                    remaining -= std::min(remaining, connection.socket_.read_some(asio::buffer(scratch), ec));
                if (is_transient(ec)) ec = {};
            }
            connection.close();
        }
    }
};

// Waits, without reading, until the other side has closed as well. Unread input hides the end of the stream;
// the connection is then closed by its timer.
struct Connection::EndOfStreamWait : asio::coroutine {
    std::shared_ptr<Connection> self;

    explicit EndOfStreamWait(std::shared_ptr<Connection> connection) : self(std::move(connection)) {}

    void operator()(error_code ec = {}) {
        Connection& connection = *self;
        if (connection.state_ == State::closed) return;
        reenter(this) {
            yield connection.socket_.async_wait(asio::ip::tcp::socket::wait_read, EndOfStreamWait(*this));
            if (ec || peek(connection.socket_.native_handle()) != Peek::bytes) connection.close();
        }
    }
};

Connection::Connection(asio::io_context& io)
    : strand_(asio::make_strand(io)), turn_(LoopTurn::of(io)), socket_(strand_), timer_(strand_) {}

void Connection::adopt(asio::ip::tcp::socket socket, Handler& handler, std::string_view read) {
    handler_ = &handler;
    state_ = State::open;
    error_code ec;
    auto protocol = socket.local_endpoint(ec).protocol();
    socket_.assign(protocol, socket.release(), ec);
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    if (!read.empty()) {
        std::copy(read.begin(), read.end(), in_.prepare(read.size()).data);
        in_.commit(read.size());
        asio::post(strand_, [self = shared_from_this()] {
            if (self->state_ == State::open && self->handler_) self->handler_->on_data(self->in_);
        });
    }
    asio::post(strand_, Reader(shared_from_this(), false));
}

int Connection::release() {
    if (state_ != State::open || !all_written() || close_when_written_) return -1;
    state_ = State::closed;
    handler_ = nullptr;
    error_code ec;
    timer_.cancel(ec);
    int descriptor = socket_.release(ec);
    return ec ? -1 : descriptor;
}

void Connection::connect(const SocketAddress& to, std::chrono::microseconds timeout, Handler& handler) {
    handler_ = &handler;
    peer_ = to;
    state_ = State::connecting;
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        auto self = weak.lock();
        if (self && !ec && !self->is_established_) self->fail(asio::error::timed_out);
    });
    asio::post(strand_, Reader(shared_from_this(), true));
}

void Connection::established() {
    is_established_ = true;
    timer_.cancel();
}

bool Connection::readable() {
    return arrived_bytes() > 0;
}

std::size_t Connection::arrived_bytes() {
    error_code ec;
    return state_ == State::open ? in_.size() + socket_.available(ec) : 0;
}

std::size_t Connection::readable_bytes(std::size_t free_bytes) const {
    std::uint64_t left = stream_limit_ - std::min(stream_limit_, stream_position());
    return std::size_t(std::min<std::uint64_t>(free_bytes, left));
}

bool Connection::is_idle() {
    if (state_ != State::open || !in_.empty()) return false;
    return peek(socket_.native_handle()) == Peek::nothing;
}

// Makes one write call with the queued bytes. Returns false if none remain, or if the call failed with
// `ec`.
bool Connection::write_some(error_code& ec) {
    if (writing_.empty()) {
        if (out_.empty()) return false;
        std::swap(out_, writing_);
    }
    std::size_t count =
        socket_.write_some(asio::buffer(writing_.data() + written_, writing_.size() - written_), ec);
    if (ec == asio::error::interrupted) ec = {};
    written_ += count;
    sent_ += count;
    if (written_ == writing_.size()) {
        written_ = 0;
        writing_.clear();
        if (writing_.capacity() > kRetainedWriteBytes) writing_.shrink_to_fit();
    }
    return !ec;
}

bool Connection::delivered() {
    int unacknowledged = 0;
    if (!all_written()) return false;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

void Connection::write(std::string bytes) {
    if (state_ == State::closed || close_when_written_) return;
    if (out_.empty())
        out_ = std::move(bytes);
    else
        out_ += bytes;
    if (has_active_writer_ || state_ != State::open) return;
    has_active_writer_ = true;
    Writer writer(shared_from_this());
    writer();
}

void Connection::resume() {
    if (state_ != State::open || is_reading_ || !may_read()) return;
    is_reading_ = true;
    asio::post(strand_, Reader(shared_from_this(), false));
}

bool Connection::must_yield() {
    if (turn_.may_continue()) return false;
    if (!std::exchange(is_delivery_scheduled_, true))
        asio::post(strand_, [self = shared_from_this()] { self->deliver_unread(); });
    return true;
}

void Connection::deliver_unread() {
    is_delivery_scheduled_ = false;
    if (state_ != State::open || !handler_) return;
    handler_->on_data(in_);
    if (state_ != State::open || is_reading_ || close_when_written_) return;
    Reader reader(shared_from_this(), false);
    reader();
}

void Connection::close_after_writing(LateInput late_input) {
    if (state_ == State::closed || close_when_written_) return;
    handler_ = nullptr;
    close_when_written_ = true;
    late_input_ = late_input;
    if (all_written() && !has_active_writer_) return half_close();
    // Guards against a client that never reads.
    timer_.expires_after(kLingerTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& ec) {
        if (!ec) self->close();
    });
}

void Connection::half_close() {
    error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) return close();
    bool discards_input = late_input_ == LateInput::discard;
    if (discards_input) in_.consume(in_.size());
    timer_.expires_after(discards_input ? kLingerTimeout : kRemoteCloseTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& timer_ec) {
        if (!timer_ec) self->close();
    });
    if (discards_input) {
        InputDiscarder discarder(shared_from_this());
        discarder();
    } else {
        EndOfStreamWait wait(shared_from_this());
        wait();
    }
}

// A read would return the unread bytes before the end of the stream. poll() reports the end at once.
bool Connection::hung_up() {
    pollfd poll_entry{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&poll_entry, 1, 0) > 0 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Connection::schedule_hangup_check() {
    if (!watches_hangup_ || std::exchange(is_hangup_check_scheduled_, true)) return;
    timer_.expires_after(kHangupCheckInterval);
    timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        auto self = weak.lock();
        if (!self || ec) return;
        self->is_hangup_check_scheduled_ = false;
        if (self->state_ != State::open || self->is_reading_ || self->close_when_written_) return;
        if (self->hung_up()) return self->fail(asio::error::eof);
        self->schedule_hangup_check();
    });
}

void Connection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    handler_ = nullptr;
    error_code ec;
    timer_.cancel(ec);
    socket_.close(ec);
}

void Connection::fail(const error_code& ec) {
    if (state_ == State::closed) return;
    Handler* handler = handler_;
    close();
    if (handler) handler->on_closed(ec);
}

}  // namespace indigovane::transport

#include <boost/asio/unyield.hpp>
