// Messages between two processes on this machine, each whole and with a descriptor where one goes along.
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

// A descriptor that is closed with its owner.
class Descriptor {
  public:
    Descriptor() = default;
    explicit Descriptor(int fd) : fd_(fd) {}
    Descriptor(Descriptor&& o) noexcept : fd_(o.release()) {}
    Descriptor& operator=(Descriptor&& o) noexcept {
        std::swap(fd_, o.fd_);
        return *this;
    }
    ~Descriptor();
    int get() const { return fd_; }
    int release() { return std::exchange(fd_, -1); }
    explicit operator bool() const { return fd_ >= 0; }

  private:
    int fd_ = -1;
};

class Channel : public std::enable_shared_from_this<Channel> {
  public:
    static constexpr std::size_t kMessageMost = 32768;

    // Told what happens. Not owned; whoever goes away first calls close().
    class Handler {
      public:
        virtual void on_message(Channel& channel, std::string_view message, Descriptor with) = 0;
        virtual void on_closed(Channel& channel) = 0;

      protected:
        ~Handler() = default;
    };

    Channel(asio::io_context& io, Descriptor socket, Handler& handler);
    // To whoever listens there; none: nobody does.
    static std::shared_ptr<Channel> connect(asio::io_context& io, const std::string& folder,
                                            const std::string& name, Handler& handler);
    void start();  // to read
    void send(std::string message, Descriptor with = {});
    bool all_sent() const { return queue_.empty(); }
    void close();  // at once; the handler hears nothing more

  private:
    struct Reader;
    struct Writer;
    bool receive();  // one message; false: none is there yet, or it is over
    bool transmit();
    void fail();

    Strand strand_;
    asio::posix::stream_descriptor socket_;
    Handler* handler_;
    struct Message {
        std::string bytes;
        Descriptor with;
    };
    std::deque<Message> queue_;
    bool writing_ = false;
};

class ChannelListener {
  public:
    using AcceptHandler = std::function<void(Descriptor)>;
    // Takes the name over from whoever has it; throws std::runtime_error where it can't be had.
    ChannelListener(asio::io_context& io, const std::string& folder, const std::string& name,
                    AcceptHandler on_accept);

  private:
    struct Accept;
    asio::posix::stream_descriptor socket_;
    AcceptHandler on_accept_;
};

}  // namespace indigovane::transport
