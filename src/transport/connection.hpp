// A TCP connection with a read loop and a write loop, each a stackless coroutine on the connection's strand.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "transport/buffer.hpp"
#include "transport/loop_turn.hpp"

namespace indigovane::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using SocketAddress = asio::ip::tcp::endpoint;
using Strand = asio::strand<asio::io_context::executor_type>;

class Connection : public std::enable_shared_from_this<Connection> {
  public:
    // Receives the events of a connection, on the connection's strand. The connection does not own it: a
    // handler that is destroyed before the connection calls detach() first.
    class Handler {
      public:
        virtual void on_connected() {}
        virtual void on_data(Buffer& in) = 0;
        // The kernel has accepted all queued bytes.
        virtual void on_written() {}
        // The other side closed the connection or an error ended it. No further calls follow.
        virtual void on_closed(const error_code&) = 0;

      protected:
        ~Handler() = default;
    };

    explicit Connection(asio::io_context& io);

    // Takes over a connected socket. `read` holds bytes that its former owner read from it but did not
    // handle; the handler gets them first.
    void adopt(asio::ip::tcp::socket socket, Handler& handler, std::string_view read = {});
    // Closes this object and returns its socket, still connected; the caller owns the descriptor. Returns -1
    // if the connection is not open, is closing, or has unwritten bytes.
    int release();
    // Bytes that were read from the socket and not consumed by the handler.
    std::string_view unread() const { return in_.view(); }
    // Starts to connect. The connection ends with asio::error::timed_out unless established() is called
    // within `timeout`.
    void connect(const SocketAddress& to, std::chrono::microseconds timeout, Handler& handler);

    // Ends the timeout of connect(). The caller decides when, because a peer may accept a connection and then
    // send nothing.
    void established();

    // Whether the connection is open and there are bytes that the handler has not consumed, here or in the
    // kernel.
    bool readable();
    // Number of bytes that have arrived and that the handler has not consumed, here and in the kernel.
    std::size_t arrived_bytes();
    // Whether the other side has closed the connection or shut down its sending direction. Bytes that are
    // still unread do not hide this.
    bool hung_up();
    // Whether the connection is open and there is neither unread data nor an end of stream, here or in the
    // kernel.
    bool is_idle();
    // Queues bytes for writing. Ignored after close() and close_after_writing().
    void write(std::string bytes);
    // Whether the kernel has accepted all queued bytes. The other side may have received them.
    bool all_written() const { return out_.empty() && writing_.empty(); }
    // Whether the other side's kernel has acknowledged all bytes, so that closing now loses none of them.
    // Also true if the kernel's send queue cannot be queried.
    bool delivered();
    // Number of queued bytes that the kernel has not accepted.
    std::size_t unwritten() const { return out_.size() + writing_.size() - written_; }

    // Bytes of memory that both buffers occupy, spare capacity included.
    std::size_t memory_bytes() const { return in_.capacity() + out_.capacity() + writing_.capacity(); }
    // Total number of bytes that the kernel has accepted.
    std::uint64_t sent() const { return sent_; }

    // Minimum buffer space for one read.
    void set_read_size(std::size_t bytes) { read_size_ = bytes; }
    // Stops reading while at least this many bytes are unread.
    void limit_unread(std::size_t bytes) { unread_limit_ = bytes; }
    // Reads no byte of the stream behind this position, counted from 1 and including the bytes that adopt()
    // was given. What has been read already stays. kNoStreamLimit: reads everything.
    void limit_stream(std::uint64_t position) { stream_limit_ = position; }
    static constexpr std::uint64_t kNoStreamLimit = std::uint64_t(-1);
    // Position of the last byte of the stream that has been read.
    std::uint64_t stream_position() const { return in_.consumed() + in_.size(); }
    // Continues reading after the handler consumed bytes.
    void resume();
    // Called by the handler between two units of work on the unread bytes. True: it has used its share of the
    // loop's turn and must return. on_data() is called again in a later turn, and until then nothing more is
    // read, so that the end of the stream is not seen before the bytes that precede it.
    bool must_yield();

    // What happens to input that arrives while the connection closes.
    enum class LateInput {
        // It is not read. No one has handled it, so its sender can send it again.
        unread,
        // It is read and dropped, up to a limit: the sender may be in the middle of a message that is far too
        // long.
        discard,
    };
    // Writes what is queued, within one second, and then shuts down the sending direction. The other side
    // sees the end of the stream and has some time to close as well. Closing at once could reset the
    // connection, if the other side is still sending, before it has read the last bytes.
    void close_after_writing(LateInput late_input);
    // Closes at once. The handler gets no further calls.
    void close();
    // Checks regularly, while reading is stopped, whether the other side has closed the connection.
    void watch_for_hangup() { watches_hangup_ = true; }
    // The handler gets no further calls.
    void detach() { handler_ = nullptr; }
    const Strand& executor() const { return strand_; }
    bool open() const { return state_ == State::open; }
    // The address of the other side; a default-constructed address if the socket is no longer connected.
    SocketAddress remote() const {
        error_code ec;
        return socket_.remote_endpoint(ec);
    }

  private:
    enum class State { idle, connecting, open, closed };
    struct Reader;
    struct Writer;
    struct InputDiscarder;
    struct EndOfStreamWait;

    bool write_some(error_code& ec);
    void half_close();
    void deliver_unread();
    std::size_t readable_bytes(std::size_t free_bytes) const;
    bool may_read() const { return in_.size() < unread_limit_ && stream_position() < stream_limit_; }
    void schedule_hangup_check();
    void fail(const error_code& ec);

    Strand strand_;
    LoopTurn& turn_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    Handler* handler_ = nullptr;
    State state_ = State::idle;
    SocketAddress peer_;
    Buffer in_;
    // Bytes that wait for the current write to finish, and the bytes of the current write.
    std::string out_, writing_;
    // Number of bytes of `writing_` that the kernel has accepted.
    std::size_t written_ = 0;
    std::size_t unread_limit_ = 1 << 20, read_size_ = 2048;
    std::uint64_t stream_limit_ = kNoStreamLimit;
    std::uint64_t sent_ = 0;
    LateInput late_input_ = LateInput::unread;
    bool is_reading_ = false, has_active_writer_ = false, close_when_written_ = false,
         is_established_ = false;
    bool watches_hangup_ = false, is_hangup_check_scheduled_ = false;
    bool is_delivery_scheduled_ = false;  // of unread bytes to the handler
};

}  // namespace indigovane::transport
