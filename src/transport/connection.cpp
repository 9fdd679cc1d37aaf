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
constexpr std::size_t kLingerBytes = 1 << 18;                  // thrown away at most
constexpr auto kLingerTime = std::chrono::milliseconds(1000);  // to write what is left; to discard
constexpr auto kAwaitEnd = std::chrono::milliseconds(300);     // for the other side's end, after our own
constexpr auto kHangupEvery =
    std::chrono::milliseconds(40);                   // a client that has gone is to be seen in 100 ms
constexpr std::size_t kRetainedWriteBuffer = 16384;  // bytes of an empty write buffer that stay allocated

// An interrupted call, or one for which nothing was there yet, is made again.
bool transient(const error_code& ec) {
    return ec == asio::error::would_block || ec == asio::error::interrupted;
}

// What stands next in the kernel's buffer, without reading it.
enum class Peek { nothing, bytes, end };
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
    bool connect;

    Reader(std::shared_ptr<Connection> c, bool connecting) : self(std::move(c)), connect(connecting) {}

    void operator()(error_code ec = {}) {
        Connection& connection = *self;
        std::size_t count = 0;
        if (connection.state_ == State::closed) return;
        reenter(this) {
            if (connect) {
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
                if (connection.in_.size() >=
                    connection.limit_) {  // backpressure: resume() starts another reader
                    connection.reading_ = false;
                    connection.await_hangup();
                    return;
                }
                connection.reading_ = true;
                // Waits for readiness without reserving a part of the buffer: the handler consumes from it,
                // and so moves it, while a read is pending.
                yield connection.socket_.async_wait(asio::ip::tcp::socket::wait_read, Reader(*this));
                if (connection.close_when_written_) return;
                if (!ec) {
                    Buffer::Span free = connection.in_.prepare(connection.read_size_);
                    count = connection.socket_.read_some(asio::buffer(free.data, free.size), ec);
                }
                if (transient(ec)) continue;
                if (ec) {
                    connection.fail(ec);
                    return;
                }
                connection.in_.commit(count);
                if (connection.handler_) connection.handler_->on_data(connection.in_);
            }
            connection.reading_ = false;
        }
    }
};

// Writes until the kernel takes no more, and only then waits. What the kernel has taken is counted in the
// same call, so that all_written() tells at any moment whether the other side may have all of it. The handler
// never hears of it from within write(): ends are posted.
struct Connection::Writer : asio::coroutine {
    std::shared_ptr<Connection> self;
    error_code failure{};
    bool posted = false;  // write() has returned

    explicit Writer(std::shared_ptr<Connection> c) : self(std::move(c)) {}

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
            connection.writer_busy_ = false;
            if (connection.close_when_written_) return connection.half_close();
            if (connection.handler_) connection.handler_->on_written();
        }
    }
};

struct Connection::Discard : asio::coroutine {
    std::shared_ptr<Connection> self;
    std::size_t left = kLingerBytes;

    explicit Discard(std::shared_ptr<Connection> c) : self(std::move(c)) {}

    void operator()(error_code ec = {}) {
        Connection& connection = *self;
        if (connection.state_ == State::closed) return;
        char scratch[8192];
        reenter(this) {
            while (!ec && left > 0) {
                yield connection.socket_.async_wait(asio::ip::tcp::socket::wait_read, Discard(*this));
                if (!ec) left -= std::min(left, connection.socket_.read_some(asio::buffer(scratch), ec));
                if (transient(ec)) ec = {};
            }
            connection.close();
        }
    }
};

// Until the other side has closed as well, with nothing read. What has crossed hides its end: the timer,
// then.
struct Connection::AwaitEnd : asio::coroutine {
    std::shared_ptr<Connection> self;

    explicit AwaitEnd(std::shared_ptr<Connection> c) : self(std::move(c)) {}

    void operator()(error_code ec = {}) {
        Connection& connection = *self;
        if (connection.state_ == State::closed) return;
        reenter(this) {
            yield connection.socket_.async_wait(asio::ip::tcp::socket::wait_read, AwaitEnd(*this));
            if (ec || peek(connection.socket_.native_handle()) != Peek::bytes) connection.close();
        }
    }
};

Connection::Connection(asio::io_context& io)
    : strand_(asio::make_strand(io)), socket_(strand_), timer_(strand_) {}

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
    int fd = socket_.release(ec);
    return ec ? -1 : fd;
}

void Connection::connect(const SocketAddress& to, std::chrono::microseconds timeout, Handler& handler) {
    handler_ = &handler;
    peer_ = to;
    state_ = State::connecting;
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        auto self = weak.lock();
        if (self && !ec && !self->established_) self->fail(asio::error::timed_out);
    });
    asio::post(strand_, Reader(shared_from_this(), true));
}

void Connection::established() {
    established_ = true;
    timer_.cancel();
}

bool Connection::readable() {
    error_code ec;
    return state_ == State::open && (!in_.empty() || socket_.available(ec) > 0);
}

bool Connection::quiet() {
    if (state_ != State::open || !in_.empty()) return false;
    return peek(socket_.native_handle()) == Peek::nothing;
}

// One send of what is queued. False: nothing is left, or `ec` tells why no more can be written now.
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
        if (writing_.capacity() > kRetainedWriteBuffer) writing_.shrink_to_fit();
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
    if (writer_busy_ || state_ != State::open) return;
    writer_busy_ = true;
    Writer writer(shared_from_this());
    writer();
}

void Connection::resume() {
    if (state_ != State::open || reading_ || in_.size() >= limit_) return;
    reading_ = true;
    asio::post(strand_, Reader(shared_from_this(), false));
}

void Connection::close_after_writing(Crossing crossing) {
    if (state_ == State::closed || close_when_written_) return;
    handler_ = nullptr;
    close_when_written_ = true;
    crossing_ = crossing;
    if (all_written() && !writer_busy_) return half_close();
    timer_.expires_after(kLingerTime);  // guards against a client that never reads
    timer_.async_wait([self = shared_from_this()](const error_code& ec) {
        if (!ec) self->close();
    });
}

void Connection::half_close() {
    error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) return close();
    bool discards = crossing_ == Crossing::discard;
    if (discards) in_.consume(in_.size());
    timer_.expires_after(discards ? kLingerTime : kAwaitEnd);
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
        if (!e) self->close();
    });
    if (discards) {
        Discard discard(shared_from_this());
        discard();
    } else {
        AwaitEnd end(shared_from_this());
        end();
    }
}

// An end of the stream stands behind what is unread: the kernel tells of it all the same.
bool Connection::hung_up() {
    pollfd p{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Connection::await_hangup() {
    if (!watches_hangup_ || std::exchange(awaits_hangup_, true)) return;
    timer_.expires_after(kHangupEvery);
    timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        auto self = weak.lock();
        if (!self || ec) return;
        self->awaits_hangup_ = false;
        if (self->state_ != State::open || self->reading_ || self->close_when_written_) return;
        if (self->hung_up()) return self->fail(asio::error::eof);
        self->await_hangup();
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
