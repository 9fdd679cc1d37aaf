// A library that is loaded before libc (LD_PRELOAD) into processes under test: system calls fail in the ways
// that their manual pages document, by the rates in a file that the test maps (fault_rates.hpp).
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <iterator>

#include "fault_rates.hpp"

using indigovane::testing::FaultRates;

namespace {

FaultRates* rates() {
    static FaultRates* mapped = [] {
        const char* path = std::getenv(indigovane::testing::kFaultFileVariable);
        int fd = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
        if (fd < 0) return static_cast<FaultRates*>(nullptr);
        void* at = ::mmap(nullptr, sizeof(FaultRates), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        ::close(fd);
        return at == MAP_FAILED ? nullptr : static_cast<FaultRates*>(at);
    }();
    return mapped;
}

std::uint32_t draw() {  // xorshift; seeded by the process id, so that processes differ
    thread_local std::uint32_t state = std::uint32_t(::getpid()) * 2654435761u | 1;
    state ^= state << 13;
    state ^= state >> 17;
    state ^= state << 5;
    return state;
}

bool strikes(std::atomic<float> FaultRates::*rate) {
    FaultRates* r = rates();
    float p = r ? (r->*rate).load(std::memory_order_relaxed) : 0;
    if (p <= 0 || float(draw() % 100000) >= p * 100000) return false;
    r->injected.fetch_add(1, std::memory_order_relaxed);
    return true;
}

template <std::size_t N>
int fail(const int (&errors)[N]) {
    errno = errors[draw() % N];
    return -1;
}

int interrupted() {
    errno = EINTR;
    return -1;
}

bool is_tcp(int fd) {
    int type = 0, family = 0;
    socklen_t length = sizeof type;
    if (::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0 || type != SOCK_STREAM) return false;
    length = sizeof family;
    return ::getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &family, &length) == 0 && family == AF_INET;
}

constexpr int kBroken[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};

// A connection that broke stays broken.
int break_off(int fd) {
    ::shutdown(fd, SHUT_RDWR);
    return fail(kBroken);
}

template <typename Call>
Call real(const char* name) {
    return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

// The message with no more than `most` bytes: its first buffer alone.
msghdr cut(const msghdr& message, iovec& first) {
    msghdr shorter = message;
    if (message.msg_iovlen == 0 || message.msg_iov[0].iov_len <= 1) return shorter;
    first = message.msg_iov[0];
    first.iov_len = 1 + draw() % (first.iov_len - 1);
    shorter.msg_iov = &first;
    shorter.msg_iovlen = 1;
    return shorter;
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) {
    static auto call = real<int (*)(int, int, int)>("socket");
    constexpr int errors[] = {ENFILE, ENOBUFS, ENOMEM};
    if (domain == AF_INET && strikes(&FaultRates::socket)) return fail(errors);
    return call(domain, type, protocol);
}

int connect(int fd, const sockaddr* to, socklen_t length) {
    static auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
    constexpr int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};
    if (to->sa_family == AF_INET && strikes(&FaultRates::connect)) return fail(errors);
    return call(fd, to, length);
}

int accept4(int fd, sockaddr* from, socklen_t* length, int flags) {
    static auto call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    constexpr int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EPROTO};
    if (strikes(&FaultRates::interrupted)) return interrupted();
    if (strikes(&FaultRates::accept)) return fail(errors);
    return call(fd, from, length, flags);
}

int accept(int fd, sockaddr* from, socklen_t* length) {
    return accept4(fd, from, length, 0);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static auto call = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
    if (!is_tcp(fd)) return call(fd, message, flags);
    if (strikes(&FaultRates::interrupted)) return interrupted();
    if (strikes(&FaultRates::broken)) return break_off(fd);
    if (!strikes(&FaultRates::short_write)) return call(fd, message, flags);
    iovec first{};
    msghdr shorter = cut(*message, first);
    return call(fd, &shorter, flags);
}

ssize_t send(int fd, const void* bytes, size_t count, int flags) {
    iovec buffer{const_cast<void*>(bytes), count};
    msghdr message{};
    message.msg_iov = &buffer;
    message.msg_iovlen = 1;
    return sendmsg(fd, &message, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
    static auto call = real<ssize_t (*)(int, msghdr*, int)>("recvmsg");
    if (!is_tcp(fd)) return call(fd, message, flags);
    if (strikes(&FaultRates::interrupted)) return interrupted();
    if (strikes(&FaultRates::broken)) return break_off(fd);
    if ((flags & MSG_PEEK) != 0 || !strikes(&FaultRates::short_read)) return call(fd, message, flags);
    iovec first{};
    msghdr shorter = cut(*message, first);
    return call(fd, &shorter, flags);
}

ssize_t recv(int fd, void* bytes, size_t count, int flags) {
    iovec buffer{bytes, count};
    msghdr message{};
    message.msg_iov = &buffer;
    message.msg_iovlen = 1;
    return recvmsg(fd, &message, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
    static auto call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
    if (strikes(&FaultRates::interrupted)) return interrupted();
    return call(fd, events, most, timeout);
}

}  // extern "C"
