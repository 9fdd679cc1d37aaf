#include "transport/channel.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/coroutine.hpp>
#include <boost/asio/yield.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>

namespace indigovane::transport {

namespace {
// Addresses the socket through the folder's descriptor: a Unix socket's path is limited to 107 bytes, and the
// folder's path may be longer.
sockaddr_un socket_address(const Descriptor& folder, const std::string& name) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::snprintf(address.sun_path, sizeof address.sun_path, "/proc/self/fd/%d/%s", folder.get(),
                  name.c_str());
    return address;
}
Descriptor open_folder(const std::string& folder) {
    return Descriptor(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
}
Descriptor open_socket() {
    return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}
}  // namespace

Descriptor::~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
}

struct Channel::Reader : asio::coroutine {
    std::shared_ptr<Channel> self;
    explicit Reader(std::shared_ptr<Channel> channel) : self(std::move(channel)) {}

    void operator()(error_code ec = {}) {
        Channel& channel = *self;
        if (!channel.handler_) return;
        reenter(this) {
            while (!ec) {
                yield channel.socket_.async_wait(asio::posix::stream_descriptor::wait_read, Reader(*this));
                while (!ec && channel.receive() && channel.turn_.may_continue()) {
                }
                if (!channel.handler_) return;
            }
            channel.fail();
        }
    }
};

struct Channel::Writer : asio::coroutine {
    std::shared_ptr<Channel> self;
    explicit Writer(std::shared_ptr<Channel> channel) : self(std::move(channel)) {}

    void operator()(error_code ec = {}) {
        Channel& channel = *self;
        if (!channel.handler_) return;
        reenter(this) {
            while (!ec && !channel.queue_.empty()) {
                if (channel.transmit()) continue;
                if (!channel.handler_) return;
                yield channel.socket_.async_wait(asio::posix::stream_descriptor::wait_write, Writer(*this));
            }
            channel.is_writing_ = false;
            if (ec) channel.fail();
        }
    }
};

Channel::Channel(asio::io_context& io, Descriptor socket, Handler& handler)
    : strand_(asio::make_strand(io)),
      turn_(LoopTurn::of(io)),
      socket_(strand_, socket.release()),
      handler_(&handler) {}

std::shared_ptr<Channel> Channel::connect(asio::io_context& io, const std::string& folder,
                                          const std::string& name, Handler& handler) {
    Descriptor folder_descriptor = open_folder(folder), socket = open_socket();
    if (!folder_descriptor || !socket) return nullptr;
    sockaddr_un address = socket_address(folder_descriptor, name);
    if (::connect(socket.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return nullptr;
    return std::make_shared<Channel>(io, std::move(socket), handler);
}

void Channel::start() {
    asio::post(strand_, Reader(shared_from_this()));
}

void Channel::send(std::string message, Descriptor descriptor) {
    if (!handler_) return;
    queue_.push_back({std::move(message), std::move(descriptor)});
    if (std::exchange(is_writing_, true)) return;
    asio::post(strand_, Writer(shared_from_this()));
}

bool Channel::transmit() {
    Message& message = queue_.front();
    iovec bytes{message.bytes.data(), message.bytes.size()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr header{};
    header.msg_iov = &bytes;
    header.msg_iovlen = 1;
    if (message.descriptor) {
        header.msg_control = control;
        header.msg_controllen = sizeof control;
        cmsghdr* control_header = CMSG_FIRSTHDR(&header);
        control_header->cmsg_level = SOL_SOCKET;
        control_header->cmsg_type = SCM_RIGHTS;
        control_header->cmsg_len = CMSG_LEN(sizeof(int));
        int fd = message.descriptor.get();
        std::memcpy(CMSG_DATA(control_header), &fd, sizeof fd);
    }
    if (::sendmsg(socket_.native_handle(), &header, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0) {
        queue_.pop_front();
        return true;
    }
    if (errno == EINTR) return true;
    if (errno != EAGAIN && errno != EWOULDBLOCK) fail();
    return false;
}

bool Channel::receive() {
    std::string bytes(kMaxMessageBytes, '\0');
    iovec buffer{bytes.data(), bytes.size()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr header{};
    header.msg_iov = &buffer;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = sizeof control;
    ssize_t count = ::recvmsg(socket_.native_handle(), &header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    if (count < 0 && errno == EINTR) return true;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return false;
    Descriptor descriptor;
    if (cmsghdr* control_header = count < 0 ? nullptr : CMSG_FIRSTHDR(&header);
        control_header && control_header->cmsg_type == SCM_RIGHTS) {
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(control_header), sizeof fd);
        descriptor = Descriptor(fd);
    }
    if (count <= 0) {
        fail();
        return false;
    }
    handler_->on_message(*this, std::string_view(bytes).substr(0, std::size_t(count)), std::move(descriptor));
    return handler_ != nullptr;
}

void Channel::close() {
    if (!std::exchange(handler_, nullptr)) return;
    error_code ec;
    socket_.close(ec);
}

void Channel::fail() {
    Handler* handler = handler_;
    auto self = shared_from_this();
    close();
    if (handler) handler->on_closed(*this);
}

struct ChannelListener::AcceptLoop : asio::coroutine {
    ChannelListener* listener;
    explicit AcceptLoop(ChannelListener* channel_listener) : listener(channel_listener) {}

    void operator()(error_code ec = {}) {
        if (ec) return;
        reenter(this) {
            for (;;) {
                yield listener->socket_.async_wait(asio::posix::stream_descriptor::wait_read,
                                                   AcceptLoop(*this));
                if (Descriptor accepted(::accept4(listener->socket_.native_handle(), nullptr, nullptr,
                                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
                    accepted)
                    listener->on_accept_(std::move(accepted));
            }
        }
    }
};

ChannelListener::ChannelListener(asio::io_context& io, const std::string& folder, const std::string& name,
                                 AcceptHandler on_accept)
    : socket_(io), on_accept_(std::move(on_accept)) {
    Descriptor folder_descriptor = open_folder(folder), socket = open_socket();
    // Binds under a temporary name first: a process that connects meanwhile still reaches the old listener.
    std::string temporary_name = name + "." + std::to_string(::getpid());
    sockaddr_un address = socket_address(folder_descriptor, temporary_name);
    if (!folder_descriptor || !socket)
        throw std::runtime_error("cannot open a socket in folder '" + folder + "'");
    ::unlinkat(folder_descriptor.get(), temporary_name.c_str(), 0);
    if (::bind(socket.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket.get(), 4) != 0 ||
        ::renameat(folder_descriptor.get(), temporary_name.c_str(), folder_descriptor.get(), name.c_str()) !=
            0)
        throw std::runtime_error("cannot listen in folder '" + folder + "': " + std::strerror(errno));
    socket_.assign(socket.release());
    AcceptLoop accept_loop(this);
    accept_loop();
}

}  // namespace indigovane::transport

#include <boost/asio/unyield.hpp>
