// Small stand-ins for the review's cases: database hosts, discovery, clients, and the pooler as a process.
// One thread a connection, blocking sockets, the real clock, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

// Unix time in milliseconds, with a fraction. All stand-ins read this one clock.
inline double now_ms() {
    return double(std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()) /
           1000;
}
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::microseconds(std::int64_t(ms * 1000)));
}
inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// record.txt: one line an event, with the milliseconds since the start of the run.
class Record {
  public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(now_ms()) {}
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[4096];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard lock(mutex_);
        std::fprintf(file_, "%10.1f %s\n", now_ms() - start_, text);
        std::fflush(file_);
    }
    double start() const { return start_; }

  private:
    std::FILE* file_;
    double start_;
    std::mutex mutex_;
};

[[noreturn]] inline void cannot_run(const std::string& why) {
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::exit(2);
}

// Ends this process without waiting for the stand-ins' threads.
[[noreturn]] inline void finish(int status) {
    std::fflush(nullptr);
    ::_exit(status);
}

// ---- sockets -------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(std::uint16_t(port));
    return at;
}
// A listening socket on a free port of 127.0.0.1, or on the given one.
inline int listen_on(int port, int& bound) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 1024) != 0)
        cannot_run("no free port");
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    bound = ntohs(at.sin_port);
    return fd;
}
inline int free_port() {
    int port = 0;
    int fd = listen_on(0, port);
    ::close(fd);
    return port;
}

class Socket {
  public:
    explicit Socket(int fd) : fd_(fd) {
        int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Socket() { close(); }
    Socket(const Socket&) = delete;
    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (fd_ >= 0 && sent < bytes.size()) {
            ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) return false;
            sent += std::size_t(count);
        }
        return fd_ >= 0;
    }
    enum class Got { bytes, time_out, end };
    // Appends what arrives to `buffer`.
    Got receive(std::string& buffer, double timeout_ms) {
        if (fd_ < 0) return Got::end;
        pollfd entry{fd_, POLLIN, 0};
        int ready = ::poll(&entry, 1, timeout_ms < 0 ? -1 : int(timeout_ms + 0.999));
        if (ready <= 0) return Got::time_out;
        char bytes[65536];
        ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) return Got::end;
        buffer.append(bytes, std::size_t(count));
        return Got::bytes;
    }
    bool at_end() const {  // the other side has closed or reset
        pollfd entry{fd_, POLLRDHUP, 0};
        return fd_ < 0 || ::poll(&entry, 1, 0) > 0;
    }
    void reset() {
        linger abort{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        close();
    }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    int fd() const { return fd_; }

  private:
    int fd_;
};

// Accepts connections for good; each one has a thread of its own.
class Listener {
  public:
    explicit Listener(std::function<void(std::shared_ptr<Socket>)> serve, int at = 0) {
        int fd = listen_on(at, port);
        std::thread([fd, serve] {
            for (;;) {
                int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0) continue;
                std::thread([client, serve] { serve(std::make_shared<Socket>(client)); }).detach();
            }
        }).detach();
    }
    int port = 0;
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
};

// ---- PostgreSQL, version 3 -----------------------------------------------------------------------

namespace pg {
inline std::string u32(std::uint32_t value) {
    return {char(value >> 24), char(value >> 16), char(value >> 8), char(value)};
}
inline std::string u16(std::uint32_t value) {
    return {char(value >> 8), char(value)};
}
inline std::uint32_t read32(const char* at) {
    auto byte = [&](int i) { return std::uint32_t(std::uint8_t(at[i])); };
    return byte(0) << 24 | byte(1) << 16 | byte(2) << 8 | byte(3);
}
inline std::string message(char type, const std::string& body) {
    return std::string(1, type) + u32(std::uint32_t(body.size() + 4)) + body;
}
inline std::string zero(const std::string& text) {
    return text + std::string(1, '\0');
}
inline std::string parameter(const std::string& name, const std::string& value) {
    return message('S', zero(name) + zero(value));
}
inline std::string ready() {
    return message('Z', "I");
}
inline std::string columns(const std::string& name, std::uint32_t type, bool binary) {
    return message('T', u16(1) + zero(name) + u32(0) + u16(0) + u32(type) + u16(0xffff) + u32(0xffffffffu) +
                            u16(binary ? 1 : 0));
}
inline std::string row(const std::string& value) {
    return message('D', u16(1) + u32(std::uint32_t(value.size())) + value);
}
inline std::string complete(const std::string& tag) {
    return message('C', zero(tag));
}
inline std::string error(const std::string& severity, const std::string& code, const std::string& text) {
    return message('E', "S" + zero(severity) + "V" + zero(severity) + "C" + zero(code) + "M" + zero(text) +
                            std::string(1, '\0'));
}
inline std::string startup() {
    std::string body = u32(196608) + zero("user") + zero("backend") + zero("database") + zero("store") +
                       std::string(1, '\0');
    return u32(std::uint32_t(body.size() + 4)) + body;
}
inline std::string query(const std::string& sql) {
    return message('Q', zero(sql));
}
}  // namespace pg

// The value of a field of the statement's comment; empty: there is none.
inline std::string field(const std::string& sql, const std::string& name) {
    std::size_t end = sql.find("*/"), at = 0;
    for (;;) {
        at = sql.find(name + "=", at);
        if (at == std::string::npos || at > end) return "";
        if (at > 0 && (sql[at - 1] == ' ' || sql[at - 1] == ',' || sql[at - 1] == '*')) break;
        ++at;
    }
    at += name.size() + 1;
    return sql.substr(at, sql.find_first_of(", *", at) - at);
}
inline bool is_write(const std::string& sql) {
    return sql.find("INSERT") != std::string::npos;
}

// ---- discovery -----------------------------------------------------------------------------------

// An agent that answers a call for the list at once and a watch when something is newer.
class Discovery {
  public:
    Discovery() : listener([this](auto socket) { serve(*socket); }) {}
    // Entries by uid, each a JSON object.
    void set(const std::string& uid, const std::string& entry) {
        std::lock_guard lock(mutex_);
        entries_[uid] = {++revision_, entry};
        changed_.notify_all();
    }
    void remove(const std::string& uid) {
        std::lock_guard lock(mutex_);
        entries_.erase(uid);
        ++revision_;
        changed_.notify_all();
    }
    std::string list(std::int64_t from = 0) {
        std::lock_guard lock(mutex_);
        return list_locked(from);
    }
    std::function<void(const std::string& target)> on_call = [](const std::string&) {};

  private:
    struct Entry {
        std::int64_t revision = 0;
        std::string text;
    };
    std::string list_locked(std::int64_t from) {
        std::string out;
        for (auto& [uid, entry] : entries_)
            if (entry.revision > from) out += (out.empty() ? "" : ",") + entry.text;
        return "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (from == 0 ? "true" : "false") +
               ",\"targets\":[" + out + "]}";
    }
    void serve(Socket& socket) {
        std::string in;
        for (;;) {
            std::size_t end = in.find("\r\n\r\n");
            if (end == std::string::npos) {
                if (socket.receive(in, -1) != Socket::Got::bytes) return;
                continue;
            }
            std::string target = in.substr(4, in.find(' ', 4) - 4);
            in.erase(0, end + 4);
            on_call(target);
            std::int64_t from = 0, hold = 0;
            if (auto at = target.find("from="); at != std::string::npos)
                from = std::atoll(target.c_str() + at + 5);
            if (auto at = target.find("hold_ms="); at != std::string::npos)
                hold = std::atoll(target.c_str() + at + 8);
            std::string body;
            {
                std::unique_lock lock(mutex_);
                if (from > 0)
                    changed_.wait_for(lock, std::chrono::milliseconds(hold),
                                      [&] { return revision_ > from; });
                body = list_locked(from);
            }
            if (!socket.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::map<std::string, Entry> entries_;

  public:
    Listener listener;
};

// ---- clients -------------------------------------------------------------------------------------

struct Reply {
    // served, refused (53300, 57P03), failed (any other error), cut (the connection ended inside or before
    // the answer), silent (nothing whole within the time that the caller waits)
    std::string kind;
    std::string value, code;
    double at = 0;          // when its last byte came, or the connection ended
    std::size_t bytes = 0;  // received of it
};

class Client {
  public:
    // `asks_at_once`: the first query follows the startup message without a wait for the greeting.
    explicit Client(int port, bool asks_at_once = false) {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = loopback(port);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
            ::close(fd);
            return;
        }
        socket_ = std::make_unique<Socket>(fd);
        socket_->send(pg::startup());
        is_open_ = asks_at_once || read_reply(now_ms() + 3000).kind != "cut";
    }
    bool is_open() const { return is_open_; }
    bool send(const std::string& sql) { return socket_ && socket_->send(pg::query(sql)); }
    Reply ask(const std::string& sql, double until, bool after_greeting = false) {
        send(sql);
        if (after_greeting) {
            Reply greeting = read_reply(until);
            if (greeting.kind != "ready") return greeting;
        }
        return read_reply(until);
    }
    // Reads messages up to ReadyForQuery.
    Reply read_reply(double until) {
        Reply reply;
        bool has_row = false, is_complete = false;
        for (;;) {
            while (in_.size() >= 5 && in_.size() >= pg::read32(in_.data() + 1) + 1) {
                std::size_t length = pg::read32(in_.data() + 1) + 1;
                std::string body = in_.substr(5, length - 5);
                char type = in_[0];
                in_.erase(0, length);
                reply.bytes += length;
                if (type == 'D') {
                    has_row = true;
                    reply.value = body.size() >= 6 ? body.substr(6) : "";
                }
                if (type == 'C') is_complete = true;
                if (type == 'E') {
                    for (std::size_t i = 0; i < body.size() && body[i];) {
                        std::string text = body.c_str() + i + 1;
                        if (body[i] == 'C') reply.code = text;
                        i += text.size() + 2;
                    }
                }
                if (type == 'Z') {
                    reply.at = now_ms();
                    reply.kind = !reply.code.empty()
                                     ? (reply.code == "53300" || reply.code == "57P03" ? "refused" : "failed")
                                 : has_row && is_complete ? "served"
                                                          : "ready";
                    return reply;
                }
            }
            double left = until - now_ms();
            auto got = !socket_   ? Socket::Got::end
                       : left > 0 ? socket_->receive(in_, left)
                                  : Socket::Got::time_out;
            if (got == Socket::Got::bytes) continue;
            reply.at = now_ms();
            reply.bytes += in_.size();
            reply.kind = got == Socket::Got::end ? (reply.code.empty() ? "cut" : "failed") : "silent";
            if (got == Socket::Got::end) is_open_ = false;
            return reply;
        }
    }
    void close() {
        if (socket_) socket_->close();
        is_open_ = false;
    }

  private:
    std::unique_ptr<Socket> socket_;
    std::string in_;
    bool is_open_ = false;
};

// ---- the pooler ----------------------------------------------------------------------------------

inline std::string new_folder() {
    const char* base = std::getenv("TMPDIR");
    std::string path = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
    if (!::mkdtemp(path.data())) cannot_run("no temporary folder");
    return path;
}

// One pooler, started by the deploy file's `run` as /bin/sh -c from the repository's root.
class Pooler {
  public:
    Pooler(std::string run, std::string folder, std::string name, std::string config)
        : run_(std::move(run)), folder_(std::move(folder)), name_(std::move(name)) {
        write_config(config);
        ::mkdir((folder_ + "/" + name_ + ".tmp").c_str(), 0700);
    }
    ~Pooler() { end(SIGKILL); }
    void write_config(const std::string& config) { std::ofstream(config_path()) << config; }
    void start() {
        std::string log = folder_ + "/" + name_ + ".log", scratch = folder_ + "/" + name_ + ".tmp";
        pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) ::_exit(2);
            if (!std::freopen(log.c_str(), "a", stdout) || ::dup2(1, 2) < 0) ::_exit(2);
            ::setenv("LB_CONFIG", config_path().c_str(), 1);
            ::setenv("TMPDIR", scratch.c_str(), 1);
            ::execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }
    // Waits until it answers an empty query.
    void await_ready(int port, double timeout_ms = 15000) {
        for (double end = now_ms() + timeout_ms; now_ms() < end; sleep_ms(50)) {
            Client client(port);
            if (client.is_open() && client.ask("", now_ms() + 1000).kind == "ready") return;
        }
        cannot_run("pooler " + name_ + " is not ready; its log: " + folder_ + "/" + name_ + ".log");
    }
    void send(int signal) const { ::kill(pid_, signal); }
    // Whether it runs; a crash is visible to the platform.
    bool is_running() {
        if (pid_ <= 0) return false;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
        pid_ = -1;
        return false;
    }
    void end(int signal) {
        if (pid_ <= 0) return;
        ::kill(pid_, signal);
        if (signal == SIGKILL) ::kill(pid_, SIGCONT);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    // Its memory in bytes, as the platform sees it.
    std::size_t memory() const {
        std::size_t size = 0, resident = 0;
        std::ifstream("/proc/" + std::to_string(pid_) + "/statm") >> size >> resident;
        return resident * std::size_t(::sysconf(_SC_PAGESIZE));
    }
    std::string log() const {
        std::ostringstream text;
        text << std::ifstream(folder_ + "/" + name_ + ".log").rdbuf();
        return text.str();
    }

  private:
    std::string config_path() const { return folder_ + "/" + name_ + ".json"; }
    std::string run_, folder_, name_;
    pid_t pid_ = -1;
};

inline std::string hex_id(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

}  // namespace lab
