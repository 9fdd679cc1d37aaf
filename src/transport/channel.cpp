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
// By the folder's descriptor, since a socket's path may be 107 bytes long and a folder's may be longer.
sockaddr_un address(const Descriptor& folder, const std::string& name) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    std::snprintf(at.sun_path, sizeof at.sun_path, "/proc/self/fd/%d/%s", folder.get(), name.c_str());
    return at;
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
    explicit Reader(std::shared_ptr<Channel> c) : self(std::move(c)) {}

    void operator()(error_code ec = {}) {
        Channel& c = *self;
        if (!c.handler_) return;
        reenter(this) {
            while (!ec) {
                yield c.socket_.async_wait(asio::posix::stream_descriptor::wait_read, Reader(*this));
                while (!ec && c.receive()) {
                }
                if (!c.handler_) return;
            }
            c.fail();
        }
    }
};

struct Channel::Writer : asio::coroutine {
    std::shared_ptr<Channel> self;
    explicit Writer(std::shared_ptr<Channel> c) : self(std::move(c)) {}

    void operator()(error_code ec = {}) {
        Channel& c = *self;
        if (!c.handler_) return;
        reenter(this) {
            while (!ec && !c.queue_.empty()) {
                if (c.transmit()) continue;
                if (!c.handler_) return;
                yield c.socket_.async_wait(asio::posix::stream_descriptor::wait_write, Writer(*this));
            }
            c.writing_ = false;
            if (ec) c.fail();
        }
    }
};

Channel::Channel(asio::io_context& io, Descriptor socket, Handler& handler)
    : strand_(asio::make_strand(io)), socket_(strand_, socket.release()), handler_(&handler) {}

std::shared_ptr<Channel> Channel::connect(asio::io_context& io, const std::string& folder,
                                          const std::string& name, Handler& handler) {
    Descriptor in = open_folder(folder), socket = open_socket();
    if (!in || !socket) return nullptr;
    sockaddr_un at = address(in, name);
    if (::connect(socket.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return nullptr;
    return std::make_shared<Channel>(io, std::move(socket), handler);
}

void Channel::start() {
    asio::post(strand_, Reader(shared_from_this()));
}

void Channel::send(std::string message, Descriptor with) {
    if (!handler_) return;
    queue_.push_back({std::move(message), std::move(with)});
    if (std::exchange(writing_, true)) return;
    asio::post(strand_, Writer(shared_from_this()));
}

bool Channel::transmit() {
    Message& m = queue_.front();
    iovec bytes{m.bytes.data(), m.bytes.size()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr header{};
    header.msg_iov = &bytes;
    header.msg_iovlen = 1;
    if (m.with) {
        header.msg_control = control;
        header.msg_controllen = sizeof control;
        cmsghdr* c = CMSG_FIRSTHDR(&header);
        c->cmsg_level = SOL_SOCKET;
        c->cmsg_type = SCM_RIGHTS;
        c->cmsg_len = CMSG_LEN(sizeof(int));
        int fd = m.with.get();
        std::memcpy(CMSG_DATA(c), &fd, sizeof fd);
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
    std::string bytes(kMessageMost, '\0');
    iovec into{bytes.data(), bytes.size()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr header{};
    header.msg_iov = &into;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = sizeof control;
    ssize_t count = ::recvmsg(socket_.native_handle(), &header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    if (count < 0 && errno == EINTR) return true;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return false;
    Descriptor with;
    if (cmsghdr* c = count < 0 ? nullptr : CMSG_FIRSTHDR(&header); c && c->cmsg_type == SCM_RIGHTS) {
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(c), sizeof fd);
        with = Descriptor(fd);
    }
    if (count <= 0) {
        fail();
        return false;
    }
    handler_->on_message(*this, std::string_view(bytes).substr(0, std::size_t(count)), std::move(with));
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

struct ChannelListener::Accept : asio::coroutine {
    ChannelListener* listener;
    explicit Accept(ChannelListener* l) : listener(l) {}

    void operator()(error_code ec = {}) {
        if (ec) return;
        reenter(this) {
            for (;;) {
                yield listener->socket_.async_wait(asio::posix::stream_descriptor::wait_read, Accept(*this));
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
    Descriptor in = open_folder(folder), socket = open_socket();
    // Bound under another name first: whoever asks meanwhile finds the one that listens yet.
    std::string fresh = name + "." + std::to_string(::getpid());
    sockaddr_un at = address(in, fresh);
    if (!in || !socket) throw std::runtime_error("can't open '" + folder + "'");
    ::unlinkat(in.get(), fresh.c_str(), 0);
    if (::bind(socket.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(socket.get(), 4) != 0 || ::renameat(in.get(), fresh.c_str(), in.get(), name.c_str()) != 0)
        throw std::runtime_error("can't listen in '" + folder + "': " + std::strerror(errno));
    socket_.assign(socket.release());
    Accept accept(this);
    accept();
}

}  // namespace indigovane::transport

#include <boost/asio/unyield.hpp>
