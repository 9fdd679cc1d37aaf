// One TCP connection: a reader and a writer, each a stackless coroutine on the connection's strand.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "transport/buffer.hpp"

namespace indigovane::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using SocketAddress = asio::ip::tcp::endpoint;
using Strand = asio::strand<asio::io_context::executor_type>;

class Connection : public std::enable_shared_from_this<Connection> {
  public:
    // Told what happens. Not owned; whoever goes away first calls detach().
    class Handler {
      public:
        virtual void on_connected() {}
        virtual void on_data(Buffer& in) = 0;
        virtual void on_written() {}                    // all that was queued is with the kernel
        virtual void on_closed(const error_code&) = 0;  // by the other side or an error; nothing follows

      protected:
        ~Handler() = default;
    };

    explicit Connection(asio::io_context& io);

    // `read`: bytes that came on it before, and were read by whoever had it.
    void adopt(asio::ip::tcp::socket socket, Handler& handler, std::string_view read = {});
    // Gives the socket away, as it is: the connection is over here and goes on elsewhere. -1: it can't, since
    // something is unwritten yet.
    int release();
    std::string_view unread() const { return in_.view(); }
    void connect(const SocketAddress& to, std::chrono::microseconds timeout, Handler& handler);

    // The timeout of connect() runs until this is called: a peer may accept and then say nothing.
    void established();

    bool readable();  // something has come that the handler has not consumed
    bool hung_up();   // the other side has closed, or ended its sending, behind whatever is unread
    bool quiet();     // open, with nothing unread and no end of the stream, here or in the kernel
    void write(std::string bytes);
    // The kernel has taken all that was queued, so that the other side may have it.
    bool all_written() const { return out_.empty() && writing_.empty(); }
    // The other side's kernel has all of it, too: closing here can cut nothing off. True where that can't be
    // told.
    bool delivered();
    std::size_t unwritten() const { return out_.size() + writing_.size() - written_; }

    std::uint64_t sent() const { return sent_; }  // bytes that the kernel has taken

    // So many bytes are read at once, at least.
    void set_read_size(std::size_t bytes) { read_size_ = bytes; }
    // While more than this is unread the connection reads no further.
    void limit_unread(std::size_t bytes) { limit_ = bytes; }
    void resume();  // something was consumed: reading may go on

    // What is queued still goes out, within a second. Then the connection is half-closed: the other side is
    // told of the end, and has a while to close as well, so that what it sends meanwhile doesn't reset the
    // connection before its last words were read.
    enum class Crossing {
        unread,   // what crosses the close is left unread: nobody has taken it, and its sender sends it again
        discard,  // thrown away, up to a bound: from one that may be in the middle of something far too long
    };
    void close_after_writing(Crossing crossing);
    void close();  // at once; the handler hears nothing more
    // While the connection reads no further, it looks now and then whether the other side has closed it.
    void watch_for_hangup() { watches_hangup_ = true; }
    void detach() { handler_ = nullptr; }
    const Strand& executor() const { return strand_; }
    bool open() const { return state_ == State::open; }
    // Of the other side; nothing where it has gone.
    SocketAddress remote() const {
        error_code ec;
        return socket_.remote_endpoint(ec);
    }

  private:
    enum class State { idle, connecting, open, closed };
    struct Reader;
    struct Writer;
    struct Discard;
    struct AwaitEnd;

    bool write_some(error_code& ec);
    void half_close();
    void await_hangup();
    void fail(const error_code& ec);

    Strand strand_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    Handler* handler_ = nullptr;
    State state_ = State::idle;
    SocketAddress peer_;
    Buffer in_;
    std::string out_, writing_;  // waiting to be written; being written
    std::size_t written_ = 0;    // of the latter
    std::size_t limit_ = 1 << 20, read_size_ = 2048;
    std::uint64_t sent_ = 0;
    Crossing crossing_ = Crossing::unread;
    bool reading_ = false, writer_busy_ = false, close_when_written_ = false, established_ = false;
    bool watches_hangup_ = false, awaits_hangup_ = false;
};

}  // namespace indigovane::transport
