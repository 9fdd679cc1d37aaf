// Exchanges messages between two processes on one machine over a Unix socket. Each message is delivered as a
// whole and may carry a file descriptor.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/connection.hpp"

namespace indigovane::transport {

// Owns a file descriptor and closes it on destruction.
class Descriptor {
  public:
    Descriptor() = default;
    explicit Descriptor(int fd) : fd_(fd) {}
    Descriptor(Descriptor&& other) noexcept : fd_(other.release()) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Descriptor();
    int get() const { return fd_; }
    // Gives up ownership: the caller closes the returned descriptor.
    int release() { return std::exchange(fd_, -1); }
    explicit operator bool() const { return fd_ >= 0; }

  private:
    int fd_ = -1;
};

// One end of the connection between two processes.
class Channel : public std::enable_shared_from_this<Channel> {
  public:
    // Size of the receive buffer: longer messages would be truncated.
    static constexpr std::size_t kMaxMessageBytes = 32768;

    // Receives the events of a channel. The channel does not own it: a handler that is destroyed before the
    // channel calls close() first.
    class Handler {
      public:
        // `descriptor` is empty if none came with the message.
        virtual void on_message(Channel& channel, std::string_view message, Descriptor descriptor) = 0;
        // The other process closed the channel or an error ended it. No further calls follow.
        virtual void on_closed(Channel& channel) = 0;

      protected:
        ~Handler() = default;
    };

    Channel(asio::io_context& io, Descriptor socket, Handler& handler);
    // Connects to the listener with this name in the folder. Returns null if none listens there.
    static std::shared_ptr<Channel> connect(asio::io_context& io, const std::string& folder,
                                            const std::string& name, Handler& handler);
    // Starts reading messages.
    void start();
    // Queues a message. The descriptor is closed here once it was sent.
    void send(std::string message, Descriptor descriptor = {});
    // Whether the kernel has accepted all queued messages.
    bool all_sent() const { return queue_.empty(); }
    // Closes at once. The handler gets no further calls.
    void close();

  private:
    struct Reader;
    struct Writer;
    // Tries to receive one message. Returns false if none is available yet or the channel was closed.
    bool receive();
    // Tries to send the first queued message. Returns false if the socket is not ready or the channel was
    // closed.
    bool transmit();
    void fail();

    Strand strand_;
    LoopTurn& turn_;
    asio::posix::stream_descriptor socket_;
    Handler* handler_;
    struct Message {
        std::string bytes;
        Descriptor descriptor;
    };
    std::deque<Message> queue_;
    bool is_writing_ = false;
};

// Accepts the connections of other processes under a name in a folder.
class ChannelListener {
  public:
    using AcceptHandler = std::function<void(Descriptor)>;
    // Takes the name over from a process that already listens under it. Throws std::runtime_error if it
    // cannot listen.
    ChannelListener(asio::io_context& io, const std::string& folder, const std::string& name,
                    AcceptHandler on_accept);

  private:
    struct AcceptLoop;
    asio::posix::stream_descriptor socket_;
    AcceptHandler on_accept_;
};

}  // namespace indigovane::transport
