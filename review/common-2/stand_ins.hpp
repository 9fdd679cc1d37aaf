// Stand-ins of the cases: hosts, discovery, clients, and the processes under test. POSIX calls and threads
// only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
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
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Steady = std::chrono::steady_clock;
inline const Steady::time_point kStart = Steady::now();
inline double now_ms() {
    return std::chrono::duration<double, std::milli>(Steady::now() - kStart).count();
}
inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- the record ----
inline std::mutex record_mutex;
inline FILE* record_file = nullptr;
inline void record(const char* format, ...) {
    std::lock_guard lock(record_mutex);
    if (!record_file) return;
    std::fprintf(record_file, "%9.1f ", now_ms());
    va_list list;
    va_start(list, format);
    std::vfprintf(record_file, format, list);
    va_end(list);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}
[[noreturn]] inline void cannot_run(const std::string& why);

// ---- sockets ----
inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(std::uint16_t(port));
    return at;
}
// Listens at `port`, or at a free one that it then sets (0).
inline int listen_any(int& port) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback(port);
    socklen_t size = sizeof at;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
        cannot_run("no free port");
    port = ntohs(at.sin_port);
    return fd;
}
// A free port for a process under test.
inline int free_port() {
    int port = 0;
    int fd = listen_any(port);
    ::close(fd);
    return port;
}
inline int connect_to(int port) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline bool write_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        done += std::size_t(n);
    }
    return true;
}
// Reads what is there, up to `wait_ms`. 1: bytes were added; 0: nothing came; -1: the end or an error.
inline int read_some(int fd, std::string& in, double wait_ms) {
    pollfd entry{fd, POLLIN, 0};
    int ready = ::poll(&entry, 1, wait_ms < 0 ? 0 : int(wait_ms));
    if (ready <= 0) return 0;
    char buffer[65536];
    ssize_t n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return 0;
    if (n <= 0) return -1;
    in.append(buffer, std::size_t(n));
    return 1;
}

// ---- PostgreSQL's messages ----
inline std::string be32(std::uint32_t v) {
    return {char(v >> 24), char(v >> 16), char(v >> 8), char(v)};
}
inline std::string be16(std::uint16_t v) {
    return {char(v >> 8), char(v)};
}
inline std::uint32_t u32(const char* p) {
    return std::uint32_t(std::uint8_t(p[0])) << 24 | std::uint32_t(std::uint8_t(p[1])) << 16 |
           std::uint32_t(std::uint8_t(p[2])) << 8 | std::uint8_t(p[3]);
}
inline std::string message(char type, const std::string& body) {
    return std::string(1, type) + be32(std::uint32_t(body.size() + 4)) + body;
}
inline std::string zt(const std::string& s) {
    return s + std::string(1, '\0');
}
inline std::string parameter(const std::string& name, const std::string& value) {
    return message('S', zt(name) + zt(value));
}
inline std::string ready() {
    return message('Z', "I");
}
inline std::string columns(const std::vector<std::string>& names, int format = 1) {
    std::string body = be16(std::uint16_t(names.size()));
    for (const std::string& name : names)
        body += zt(name) + be32(0) + be16(0) + be32(17) + be16(0xffff) + be32(0xffffffff) +
                be16(std::uint16_t(format));
    return message('T', body);
}
inline std::string row(const std::vector<std::string>& values) {
    std::string body = be16(std::uint16_t(values.size()));
    for (const std::string& value : values) body += be32(std::uint32_t(value.size())) + value;
    return message('D', body);
}
inline std::string complete(const std::string& tag) {
    return message('C', zt(tag));
}
inline std::string error(const std::string& code, const std::string& text) {
    return message('E', zt("SERROR") + zt("VERROR") + zt("C" + code) + zt("M" + text) + std::string(1, '\0'));
}
inline std::string startup(const std::string& user = "backend", const std::string& database = "store") {
    std::string body =
        be32(3 << 16) + zt("user") + zt(user) + zt("database") + zt(database) + std::string(1, '\0');
    return be32(std::uint32_t(body.size() + 4)) + body;
}
inline std::string query(const std::string& sql) {
    return message('Q', zt(sql));
}
// A field of the comment before a statement.
inline std::string field(const std::string& sql, const std::string& name) {
    std::size_t end = sql.find("*/");
    std::string comment = "," + sql.substr(2, end == std::string::npos ? 0 : end - 2);
    std::string wanted;
    std::istringstream parts(comment);
    for (std::string part; std::getline(parts, part, ',');) {
        while (!part.empty() && part.front() == ' ') part.erase(0, 1);
        while (!part.empty() && part.back() == ' ') part.pop_back();
        if (part.rfind(name + "=", 0) == 0) wanted = part.substr(name.size() + 1);
    }
    return wanted;
}
inline std::string quoted(const std::string& sql) {
    std::size_t a = sql.find('\'');
    std::size_t b = a == std::string::npos ? a : sql.find('\'', a + 1);
    return b == std::string::npos ? "" : sql.substr(a + 1, b - a - 1);
}

// ---- a database host ----
// Accepts connections, welcomes any user, answers probes, and gives each statement to `serve`, which runs in
// the connection's own thread and returns what is to be sent back.
class Host {
  public:
    std::string uid;
    std::string zone = "a";
    int group = 1;
    std::atomic<bool> primary{false};
    std::atomic<std::int64_t> boot_ms{0};
    // The position up to which it has applied the log, Unix ms.
    std::function<std::int64_t()> position = [] { return unix_ms(); };
    // `fd`: the connection, for a host that writes by itself. Returns what is to be written.
    std::function<std::string(Host&, const std::string& sql, int fd)> serve;
    std::function<void(Host&, const std::string& sql)> received = [](Host&, const std::string&) {};

    explicit Host(std::string name) : uid(std::move(name)) { listener_ = listen_any(port_); }
    ~Host() { stop(); }
    void start() {
        if (listener_ < 0) listener_ = listen_any(port_);
        std::thread([this, listener = listener_] {
            for (;;) {
                int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) break;
                int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::lock_guard lock(connections_mutex_);
                connections_.insert(fd);
                std::thread([this, fd, life = life_.load()] { talk(fd, life); }).detach();
            }
            ::close(listener);
        }).detach();
    }
    // The process dies: its connections are reset, what it had is neither done nor answered, and new
    // connections are refused until start().
    void die() {
        ++life_;
        stop();
        std::lock_guard lock(connections_mutex_);
        linger at_once{1, 0};
        for (int fd : connections_) {
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            ::shutdown(fd, SHUT_RD);
        }
    }
    void stop() {
        if (listener_ >= 0) ::shutdown(listener_, SHUT_RDWR);
        listener_ = -1;
    }
    // Which life of the process this is.
    int life() const { return life_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    std::string state_parameters() const {
        return parameter("recovery", primary ? "off" : "on") +
               parameter("lsn_ms", std::to_string(position()));
    }
    std::string row_answer(const std::string& value, bool write) const {
        return columns({"content"}) + row({value}) + complete(write ? "INSERT 0 1" : "SELECT 1") +
               state_parameters() + ready();
    }
    std::string error_answer(const std::string& code, const std::string& text) const {
        return error(code, text) + state_parameters() + ready();
    }

  private:
    void talk(int fd, int life) {
        std::string in;
        bool started = false;
        while (life == life_) {
            std::size_t length = 0;
            if (!started && in.size() >= 4)
                length = u32(in.data());
            else if (started && in.size() >= 5)
                length = u32(in.data() + 1) + 1;
            if (length == 0 || in.size() < length) {
                char buffer[65536];
                ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
                if (n < 0 && errno == EINTR) continue;
                if (n <= 0) break;
                in.append(buffer, std::size_t(n));
                continue;
            }
            std::string text = in.substr(started ? 5 : 4, length - (started ? 5 : 4));
            char type = started ? in[0] : 0;
            in.erase(0, length);
            std::string out;
            if (!started) {
                started = true;
                out = message('R', be32(0)) + parameter("server_version", "15.0") + ready();
            } else if (type == 'X') {
                break;
            } else if (type == 'Q') {
                if (!text.empty()) text.pop_back();
                out = answer(text, fd);
            }
            if (life != life_ || (!out.empty() && !write_all(fd, out))) break;
        }
        std::lock_guard lock(connections_mutex_);
        connections_.erase(fd);
        ::close(fd);
    }
    std::string answer(const std::string& sql, int fd) {
        if (sql == "SELECT 1") return columns({"?column?"}) + row({"1"}) + complete("SELECT 1") + ready();
        if (sql == "SHOW health") {
            char report[96];
            std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,inflight=0", double(position()) / 1000,
                          primary ? 1 : 0);
            return columns({"health"}, 0) + row({report}) + complete("SHOW") + ready();
        }
        if (sql.rfind("/*", 0) != 0) return columns({"x"}) + complete("SET") + ready();
        std::string id = field(sql, "id");
        record("%s: received %s", uid.c_str(), id.c_str());
        received(*this, sql);
        int life = life_;
        std::string out = serve(*this, sql, fd);
        if (life != life_)
            record("%s: %s ended with the process", uid.c_str(), id.c_str());
        else
            record("%s: %s %s", uid.c_str(), out.empty() || out[0] == 'E' ? "turned away" : "ran",
                   id.c_str());
        return out;
    }
    std::mutex connections_mutex_;
    std::set<int> connections_;
    std::atomic<int> life_{0};
    int listener_ = -1;
    int port_ = 0;
};

// ---- discovery: the agent on the pooler's machine ----
class Discovery {
  public:
    struct Entry {
        std::string uid, endpoint, zone, state = "ready";
        int group = 1;
        std::int64_t boot_ms = 0;
        bool shows_role = true, primary = false;
        std::int64_t rev = 0;
    };
    Discovery() { listener_ = listen_any(port_); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    void start() {
        std::thread([this] {
            for (;;) {
                int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) return;
                std::thread([this, fd] { talk(fd); }).detach();
            }
        }).detach();
    }
    void add(const Host& host) {
        std::lock_guard lock(mutex_);
        entries_.push_back({host.uid, host.address(), host.zone, "ready", host.group, host.boot_ms, true,
                            host.primary, ++rev_});
    }
    void set_state(const std::string& uid, const std::string& state) {
        std::lock_guard lock(mutex_);
        for (Entry& entry : entries_)
            if (entry.uid == uid) {
                entry.state = state;
                entry.rev = ++rev_;
            }
        changed_.notify_all();
    }
    // It has started again: ready, with an updated time.
    void set_started(const std::string& uid, std::int64_t boot_ms) {
        std::lock_guard lock(mutex_);
        for (Entry& entry : entries_)
            if (entry.uid == uid) {
                entry.boot_ms = boot_ms;
                entry.rev = ++rev_;
            }
        changed_.notify_all();
    }
    std::string list(std::int64_t from, bool all) {
        std::lock_guard lock(mutex_);
        return text(from, all);
    }

  private:
    std::string text(std::int64_t from, bool all) {
        std::string out =
            "{\"rev\":" + std::to_string(rev_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
        bool first = true;
        for (const Entry& entry : entries_) {
            if (all ? entry.state == "gone" : entry.rev <= from) continue;
            if (!first) out += ",";
            first = false;
            out += "\n{\"uid\":\"" + entry.uid + "\",\"endpoint\":\"" + entry.endpoint + "\",\"az\":\"" +
                   entry.zone + "\",\"model\":\"std-3c\",\"pod_group\":" + std::to_string(entry.group) +
                   ",\"state\":\"" + entry.state +
                   "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(entry.boot_ms) +
                   ",\"recovery\":\"" + (entry.primary ? "off" : "on") + "\"}";
        }
        return out + "]}";
    }
    void talk(int fd) {
        std::string in;
        for (;;) {
            std::size_t end = in.find("\r\n\r\n");
            if (end == std::string::npos) {
                char buffer[8192];
                ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
                if (n <= 0) break;
                in.append(buffer, std::size_t(n));
                continue;
            }
            std::string head = in.substr(0, end);
            in.erase(0, end + 4);
            std::int64_t from = -1;
            double hold = 0;
            if (auto at = head.find("from="); at != std::string::npos)
                from = std::atoll(head.c_str() + at + 5);
            if (auto at = head.find("hold_ms="); at != std::string::npos)
                hold = std::atof(head.c_str() + at + 8);
            record("discovery: call %s", head.substr(0, head.find("\r\n")).c_str());
            std::string body;
            {
                std::unique_lock lock(mutex_);
                if (from >= 0)
                    changed_.wait_for(lock, std::chrono::duration<double, std::milli>(hold),
                                      [&] { return rev_ > from; });
                body = text(from, from < 0);
            }
            if (!write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body))
                break;
        }
        ::close(fd);
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Entry> entries_;
    std::int64_t rev_ = 40;
    int listener_ = -1, port_ = 0;
};

// ---- a process under test ----
class Process {
  public:
    // `command`: the deploy file's `run`, by /bin/sh -c from the repository's root.
    void start(const std::string& command, const std::map<std::string, std::string>& variables,
               const std::string& log) {
        pid_ = ::fork();
        if (pid_ < 0) cannot_run("fork");
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            for (auto& [name, value] : variables) ::setenv(name.c_str(), value.c_str(), 1);
            int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
            ::_exit(127);
        }
    }
    ~Process() { end(); }
    pid_t pid() const { return pid_; }
    void send(int number) {
        if (pid_ > 0) ::kill(pid_, number);
    }
    // Whether it has ended; its status is in `status`.
    bool ended() {
        if (pid_ <= 0) return true;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
        pid_ = -1;
        return true;
    }
    void end() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
    }
    int status = 0;

  private:
    pid_t pid_ = -1;
};

// ---- a client's connection ----
struct Reply {
    enum Kind { none, served, refused, failed, closed } kind = none;
    std::string value, code, text;
    int come_again_ms = 0;  // the field D of a refusal
};
inline const char* name(Reply::Kind kind) {
    static const char* names[] = {"no answer", "served", "refused", "failed", "closed"};
    return names[kind];
}

class Client {
  public:
    explicit Client(int port) : fd_(connect_to(port)) {}
    ~Client() { close(); }
    Client(const Client&) = delete;
    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    bool send(const std::string& bytes) { return fd_ >= 0 && write_all(fd_, bytes); }
    // Sends the startup message and waits for the greeting.
    bool begin(double wait = 2000) {
        if (!send(startup())) return false;
        Reply reply = next(wait);
        return reply.kind == Reply::none && greeted_;
    }
    // The next answer, up to its ReadyForQuery. `none`: nothing whole within `wait` ms (or the greeting).
    Reply next(double wait) {
        double until = now_ms() + wait;
        Reply reply;
        reply.kind = Reply::none;
        bool row_seen = false, complete_seen = false;
        for (;;) {
            while (in_.size() >= 5 && in_.size() >= u32(in_.data() + 1) + 1) {
                std::size_t length = u32(in_.data() + 1) + 1;
                char type = in_[0];
                std::string body = in_.substr(5, length - 5);
                in_.erase(0, length);
                if (type == 'D' && body.size() >= 6) {
                    row_seen = true;
                    reply.value = body.substr(6);
                } else if (type == 'C') {
                    complete_seen = true;
                } else if (type == 'I') {
                    reply.kind = Reply::served;
                } else if (type == 'E') {
                    read_error(body, reply);
                } else if (type == 'Z') {
                    if (reply.kind == Reply::none && row_seen && complete_seen) reply.kind = Reply::served;
                    if (reply.kind == Reply::none) greeted_ = true;
                    return reply;
                }
            }
            int got = fd_ < 0 ? -1 : read_some(fd_, in_, std::max(0.0, std::min(until - now_ms(), 50.0)));
            if (got < 0) {
                if (reply.kind == Reply::none) reply.kind = Reply::closed;
                close();
                return reply;
            }
            if (got == 0 && now_ms() >= until) return reply;
        }
    }
    // Bytes received that are no whole message yet.
    std::size_t partial() const { return in_.size(); }

  private:
    static void read_error(const std::string& body, Reply& reply) {
        for (std::size_t at = 0; at < body.size() && body[at];) {
            char kind = body[at];
            std::string text = body.c_str() + at + 1;
            if (kind == 'C') reply.code = text;
            if (kind == 'M') reply.text = text;
            if (kind == 'D') reply.come_again_ms = std::atoi(text.c_str());
            at += text.size() + 2;
        }
        reply.kind = reply.code == "53300" || reply.code == "57P03" ? Reply::refused : Reply::failed;
    }
    int fd_;
    std::string in_;
    bool greeted_ = false;
};

inline std::string new_id() {
    static std::atomic<std::uint64_t> next{std::uint64_t(unix_ms()) << 20};
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++next));
    return text;
}

// ---- the set-up ----
inline std::string scratch;
inline std::string run_command;
inline bool trouble = true;

[[noreturn]] inline void finish(int code) {
    std::fflush(stdout);
    ::_exit(code);
}
[[noreturn]] inline void cannot_run(const std::string& why) {
    std::printf("the case could not run: %s\n", why.c_str());
    record("the case could not run: %s", why.c_str());
    finish(2);
}

// What run-case.sh sets: ROOT, the repository's root; RUN, the deploy file's `run`; SCRATCH, a folder for
// files; RECORD, the record's path. TROUBLE=0 leaves the disruption out.
inline void begin() {
    auto variable = [](const char* name) {
        const char* value = std::getenv(name);
        return std::string(value ? value : "");
    };
    ::signal(SIGPIPE, SIG_IGN);
    record_file = std::fopen(variable("RECORD").c_str(), "w");
    run_command = variable("RUN");
    scratch = variable("SCRATCH");
    trouble = variable("TROUBLE") != "0";
    if (!record_file || run_command.empty() || scratch.empty() || ::chdir(variable("ROOT").c_str()) != 0)
        cannot_run("start it by run.sh");
    record("trouble=%d run=%s", trouble ? 1 : 0, run_command.c_str());
}

// Starts one pooler by the deploy file's line.
inline void start_pooler(Process& process, const std::string& name, int port, const std::string& discovery,
                         const std::string& known, const std::string& settings,
                         const std::string& command = "", const std::string& seed = "") {
    std::string folder = scratch + "/" + name;
    std::string make = "mkdir -p '" + folder + "/tmp'";
    if (std::system(make.c_str()) != 0) cannot_run("mkdir");
    std::string path = folder + "/config.json";
    std::string drawn = seed.empty() ? new_id() : seed;
    std::ofstream(path) << "{\"name\":\"" << name << "\",\"listen\":\"127.0.0.1:" << port
                        << "\",\"discovery\":\"" << discovery << "\",\"seed\":\"" << drawn
                        << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                        << known << ",\"settings\":" << settings << "}\n";
    process.start(command.empty() ? run_command : command,
                  {{"LB_CONFIG", path},
                   {"LB_NAME", name},
                   {"LB_LISTEN", "127.0.0.1:" + std::to_string(port)},
                   {"LB_DISCOVERY", discovery},
                   {"TMPDIR", folder + "/tmp"}},
                  folder + "/log");
    record("started pooler %s pid=%d port=%d seed=%s", name.c_str(), int(process.pid()), port, drawn.c_str());
}
// The front takes a pooler in once it has answered an empty query.
inline bool is_ready(int port, double wait) {
    for (double until = now_ms() + wait; now_ms() < until; sleep_ms(20)) {
        Client client(port);
        if (!client.open() || !client.begin()) continue;
        client.send(query(""));
        if (client.next(1000).kind == Reply::served) return true;
    }
    return false;
}

// The settings of the platform's page, in its example's names and figures; the differences are parameters.
struct Settings {
    std::string registry = "automatic";
    std::string marks = "router";
    std::string checks = "hold";
    int fleet = 3;
    double longest_write_ms = 2000;
    double idle_close_ms = 30000;
    std::string zones = "\"a\"";
    std::string text() const {
        char out[4096];
        std::snprintf(out, sizeof out,
                      R"({"fleetSize":%d,"selfIndex":0,"azs":[%s],"myZone":0,"registryMode":"%s",
"domainType":"replicas","kinds":["std-3c"],"tickMs":5.0,"tier":0,"tiers":["linge-db"],"weights":"rough","worthBy":"request",
"allowed":{"cancel":true,"connectTimeoutMs":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":66666,"idleCloseMs":%.1f,
"maxRetryAfterMs":1000.0,"multiplex":1,"openCap":26666,"peerMessages":false,"probing":true,"retryAfter":true,
"secondCopies":false,"tryLimit":10},"callers":{"marksRetry":true},
"classes":[
{"name":"stock-view","effect":"retryable","group":"all","hardLimitMs":1000.0,"sloMs":250.0,"lateShare":0.0,"repeatWindowMs":5000.0,"stream":false,"worth":1.0},
{"name":"own-order","effect":"retryable","group":"all","hardLimitMs":600.0,"sloMs":200.0,"lateShare":0.0,"repeatWindowMs":5000.0,"stream":false,"worth":3.0},
{"name":"scan-write","effect":"dedup","group":"cell","hardLimitMs":%.1f,"sloMs":600.0,"lateShare":0.3,"repeatWindowMs":2000.0,"stream":false,"worth":6.0}],
"familyInfo":{"baseTimeMs":1000.0,"consistency":["recent","own_writes","update"],"oldestDataMs":[3000.0,0.0,0.0],
"patienceMs":50.0,"roleListed":"delayed","serverChecks":"%s","sessionMarks":"%s","stamps":true,"waitsForCopy":false,
"reportX0":"position in seconds after zero","reportX1":"1 from a primary"},
"overShareWorth":0.1,"reporting":{"fields":["x0","x1","concurrent"],"how":"pull"},
"safety":{"askWithinMs":10000.0,"coldFrom":0.2,"drainGraceMs":2000.0,"fallMs":2000.0,"fallMultiple":2.5,"graceToAnswerMs":20.0,"rampTimeMs":17000.0},
"tariffs":{"connection":0.0,"crossZone":0.041,"probe":0.028,"waste":0.21,"lateFail":0.1},
"tenants":[{"name":"blanchisserie-vilaine","quotaRps":184.0,"share":0.59},{"name":"lavage-rance","quotaRps":66.0,"share":0.21},{"name":"linge-odet","quotaRps":63.0,"share":0.2}]})",
                      fleet, zones.c_str(), registry.c_str(), idle_close_ms, longest_write_ms, checks.c_str(),
                      marks.c_str());
        return out;
    }
};

inline std::string read_sql(const std::string& id, const std::string& request_class, int d,
                            const std::string& key, const std::string& more = "") {
    return "/* id=" + id + ",c=" + request_class + ",t=linge-odet,d=" + std::to_string(d) + ",cluster=1" +
           more + " */ SELECT content FROM kv WHERE name = '" + key + "'";
}
inline std::string write_sql(const std::string& id, int d, const std::string& key,
                             const std::string& content) {
    return "/* id=" + id + ",c=scan-write,t=linge-odet,d=" + std::to_string(d) + ",k=" + new_id() +
           ",cluster=1 */ INSERT INTO kv (name, content) VALUES ('" + key + "', '\\x" + content +
           "') RETURNING content";
}

}  // namespace rig
