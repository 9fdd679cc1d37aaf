// Stand-ins for the cases 6 to 10: database hosts, discovery, clients, and one pooler started by the deploy
// file's command. Blocking sockets with a thread for each connection; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
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
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

inline double now_ms() {
    return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count();
}
inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// ---- record ------------------------------------------------------------------------------------

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;
inline void record(const char* format, ...) {
    std::lock_guard lock(record_mutex);
    if (!record_file)
        record_file = std::fopen(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt", "w");
    if (!record_file) return;
    std::fprintf(record_file, "%10.1f  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] void finish(int status, const std::string& why);

// ---- sockets -----------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
inline int port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}
inline int listen_at(int port = 0) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0)
        finish(2, "cannot listen");
    return fd;
}
inline int free_port() {
    int fd = listen_at();
    int port = port_of(fd);
    ::close(fd);
    return port;
}
inline std::string at(int port) {
    return "127.0.0.1:" + std::to_string(port);
}
inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        ssize_t count = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        bytes.remove_prefix(std::size_t(count));
    }
    return true;
}
// Resets the connection, as a process that dies does.
inline void reset(int fd) {
    linger hard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
}
// Reads more bytes. 1: some; 0: the connection has ended; -1: none by `until` (milliseconds of now_ms()).
inline int read_some(int fd, std::string& in, double until) {
    for (;;) {
        double left = until - now_ms();
        pollfd entry{fd, POLLIN, 0};
        int ready = ::poll(&entry, 1, left > 0 ? int(left) + 1 : 0);
        if (ready < 0 && errno == EINTR) continue;
        if (ready == 0) return -1;
        char bytes[65536];
        ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return 0;
        in.append(bytes, std::size_t(count));
        return 1;
    }
}
constexpr double kForever = 1e12;

// ---- PostgreSQL's messages ---------------------------------------------------------------------

inline std::string big32(std::uint32_t value) {
    return {char(value >> 24), char(value >> 16), char(value >> 8), char(value)};
}
inline std::string big16(std::uint16_t value) {
    return {char(value >> 8), char(value)};
}
inline std::uint32_t read32(std::string_view in) {
    return std::uint32_t(std::uint8_t(in[0])) << 24 | std::uint32_t(std::uint8_t(in[1])) << 16 |
           std::uint32_t(std::uint8_t(in[2])) << 8 | std::uint32_t(std::uint8_t(in[3]));
}
inline std::string message(char type, const std::string& body) {
    return type + big32(std::uint32_t(body.size() + 4)) + body;
}
inline std::string zero_ended(const std::string& text) {
    return text + '\0';
}
inline std::string startup_packet() {
    std::string body = big32(3 << 16) + zero_ended("user") + zero_ended("backend") + zero_ended("database") +
                       zero_ended("store") + '\0';
    return big32(std::uint32_t(body.size() + 4)) + body;
}
inline std::string query_message(const std::string& sql) {
    return message('Q', zero_ended(sql));
}
inline std::string columns(const std::string& name, bool binary) {
    return message('T', big16(1) + zero_ended(name) + big32(0) + big16(0) + big32(binary ? 17 : 25) +
                            big16(0xffff) + big32(0xffffffff) + big16(binary ? 1 : 0));
}
inline std::string row(const std::string& value) {
    return message('D', big16(1) + big32(std::uint32_t(value.size())) + value);
}
inline std::string complete(const std::string& tag) {
    return message('C', zero_ended(tag));
}
inline std::string parameter(const std::string& name, const std::string& value) {
    return message('S', zero_ended(name) + zero_ended(value));
}
inline std::string ready() {
    return message('Z', "I");
}
inline std::string error(const std::string& code, const std::string& text) {
    return message('E', "S" + zero_ended("ERROR") + "C" + zero_ended(code) + "M" + zero_ended(text) + '\0');
}
struct Message {
    char type = 0;
    std::string body;
};
// Takes the next whole message from the front of `in`.
inline std::optional<Message> take_message(std::string& in, bool is_startup = false) {
    std::size_t head = is_startup ? 4 : 5;
    if (in.size() < head) return std::nullopt;
    std::size_t length = read32(std::string_view(in).substr(head - 4)) + (is_startup ? 0 : 1);
    if (in.size() < length) return std::nullopt;
    Message out{is_startup ? '\0' : in[0], in.substr(head, length - head)};
    in.erase(0, length);
    return out;
}
inline std::string text_of(const Message& message) {
    return message.body.substr(0, message.body.find('\0'));
}
inline std::string error_code(const std::string& body) {
    for (std::size_t i = 0; i < body.size() && body[i];) {
        std::size_t end = body.find('\0', i);
        if (body[i] == 'C') return body.substr(i + 1, end - i - 1);
        i = end + 1;
    }
    return "";
}
// A field of the comment that a statement begins with.
inline std::string field(const std::string& sql, const std::string& name) {
    std::string comment = sql.substr(0, sql.find("*/"));
    for (std::string before : {" ", ","})
        if (std::size_t from = comment.find(before + name + "="); from != std::string::npos) {
            from += name.size() + 2;
            return comment.substr(from, comment.find_first_of(", ", from) - from);
        }
    return "";
}
// The n-th quoted literal of a statement.
inline std::string literal(const std::string& sql, int n = 0) {
    std::size_t at = sql.find("*/");
    at = at == std::string::npos ? 0 : at;
    for (;; --n) {
        std::size_t from = sql.find('\'', at), to = sql.find('\'', from + 1);
        if (from == std::string::npos || to == std::string::npos) return "";
        if (n == 0) return sql.substr(from + 1, to - from - 1);
        at = to + 1;
    }
}
inline bool is_write(const std::string& sql) {
    return sql.find("INSERT INTO kv") != std::string::npos;
}

// ---- database host -----------------------------------------------------------------------------

struct Sent {  // a statement that a host received whole
    double at;
    std::string host, id, sql;
};

class Host;
struct HostConnection {
    Host* host;
    int fd;
    bool is_open = true;
    bool send(std::string_view bytes) const { return send_all(fd, bytes); }
    void reset() {
        rig::reset(fd);
        is_open = false;
    }
};

class Host {
  public:
    std::string name;
    std::atomic<bool> primary{false};
    std::atomic<double> work_ms{40};
    std::atomic<double> lag_ms{5};  // how far a replica is behind its primary
    std::atomic<int> health_checks{0};
    std::atomic<bool> silent{false};  // cut off: it takes connections and statements and answers nothing
    int group = 1;
    std::string zone = "a";
    std::string state = "ready";
    std::int64_t boot_ms = 0;
    // How a statement is answered; the default answers it as a sound host does.
    std::function<void(HostConnection&, const std::string& sql)> on_statement;

    explicit Host(std::string its_name) : name(std::move(its_name)), listener_(listen_at()) {
        on_statement = [this](HostConnection& connection, const std::string& sql) {
            sleep_ms(work_ms);
            connection.send(answer(sql));
        };
        std::thread([this] { accept_loop(); }).detach();
    }
    int port() const { return port_of(listener_); }

    std::string value_of(const std::string& key) {
        std::lock_guard lock(mutex_);
        return values_[key];
    }
    void set_value(const std::string& key, const std::string& value) {
        std::lock_guard lock(mutex_);
        values_[key] = value;
    }
    // The time up to which it has applied the log.
    std::int64_t position() const { return unix_ms() - (primary ? 0 : std::int64_t(lag_ms)); }
    std::string state_parameters() const {
        return parameter("recovery", primary ? "off" : "on") +
               parameter("lsn_ms", std::to_string(position()));
    }
    std::string answer(const std::string& sql) {
        if (!is_write(sql))
            return columns("content", true) + row(value_of(literal(sql))) + complete("SELECT 1") +
                   state_parameters() + ready();
        if (!primary) return error("25006", "no primary") + state_parameters() + ready();
        return columns("content", true) + row("\x01") + complete("INSERT 0 1") + state_parameters() + ready();
    }
    std::vector<Sent> sent() {
        std::lock_guard lock(mutex_);
        return sent_;
    }

  private:
    void accept_loop() {
        for (;;) {
            int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd) {
        HostConnection connection{this, fd};
        std::string in;
        bool started = false;
        while (connection.is_open) {
            std::optional<Message> next = take_message(in, !started);
            if (!next) {
                if (read_some(fd, in, kForever) != 1) break;
                continue;
            }
            if (!started) {
                started = true;
                connection.send(message('R', big32(0)) + parameter("server_version", "15") + ready());
                continue;
            }
            if (next->type == 'X') break;
            if (next->type != 'Q') continue;
            std::string sql = text_of(*next);
            while (silent) sleep_ms(20);
            if (sql == "SHOW health") {
                ++health_checks;
                std::int64_t position = this->position();
                char report[96];
                std::snprintf(report, sizeof report, "x0=%lld.%03lld,x1=%d,inflight=0",
                              (long long)(position / 1000), (long long)(position % 1000), primary ? 1 : 0);
                connection.send(columns("health", false) + row(report) + complete("SHOW") + ready());
                continue;
            }
            if (sql.empty()) {
                connection.send(message('I', "") + ready());
                continue;
            }
            {
                std::lock_guard lock(mutex_);
                sent_.push_back({now_ms(), name, field(sql, "id"), sql.substr(0, 400)});
            }
            record("host %s received %s c=%s d=%s", name.c_str(), field(sql, "id").c_str(),
                   field(sql, "c").c_str(), field(sql, "d").c_str());
            on_statement(connection, sql);
            record("host %s answered %s", name.c_str(), field(sql, "id").c_str());
        }
        if (connection.is_open) ::close(fd);
    }

    int listener_;
    std::mutex mutex_;
    std::map<std::string, std::string> values_;
    std::vector<Sent> sent_;
};

// ---- discovery ---------------------------------------------------------------------------------

// Answers calls for the whole list and watches. Each answer is the whole list.
class Discovery {
  public:
    std::atomic<double> delay_ms{0};  // of each answer
    Discovery() : listener_(listen_at()) {
        std::thread([this] {
            for (;;) {
                int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }
    int port() const { return port_of(listener_); }
    // From now on this is the list.
    void tell(const std::string& targets) {
        std::lock_guard lock(mutex_);
        targets_ = targets;
        ++revision_;
        changed_.notify_all();
    }
    std::string list() {
        std::lock_guard lock(mutex_);
        return text();
    }

  private:
    std::string text() const {
        return "{\"rev\":" + std::to_string(revision_) + ",\"all\":true,\"targets\":[" + targets_ + "]}";
    }
    void serve(int fd) {
        std::string in;
        for (;;) {
            std::size_t end = in.find("\r\n\r\n");
            if (end == std::string::npos) {
                if (read_some(fd, in, kForever) != 1) break;
                continue;
            }
            std::string head = in.substr(0, end);
            in.erase(0, end + 4);
            std::string line = head.substr(0, head.find("\r\n"));
            std::int64_t from = -1;
            double hold = 0;
            if (auto at = line.find("from="); at != std::string::npos)
                from = std::atoll(line.c_str() + at + 5);
            if (auto at = line.find("hold_ms="); at != std::string::npos)
                hold = std::atof(line.c_str() + at + 8);
            sleep_ms(delay_ms);
            std::string body;
            {
                std::unique_lock lock(mutex_);
                changed_.wait_for(lock, std::chrono::duration<double, std::milli>(hold),
                                  [&] { return revision_ > from; });
                body = revision_ > from
                           ? text()
                           : "{\"rev\":" + std::to_string(revision_) + ",\"all\":false,\"targets\":[]}";
            }
            bool whole =
                send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
            record("discovery answered '%s'%s", line.c_str(), whole ? "" : " (the caller had gone)");
            if (!whole) break;
        }
        ::close(fd);
    }

    int listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string targets_;
    std::int64_t revision_ = 1;
};

inline std::string target(const Host& host) {
    return "{\"uid\":\"" + host.name + "\",\"endpoint\":\"" + at(host.port()) + "\",\"az\":\"" + host.zone +
           "\",\"model\":\"m1\",\"pod_group\":" + std::to_string(host.group) + ",\"state\":\"" + host.state +
           "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(host.boot_ms) + ",\"recovery\":\"" +
           (host.primary ? "off" : "on") + "\"}";
}
inline std::string targets(const std::vector<Host*>& hosts) {
    std::string out;
    for (const Host* host : hosts) out += (out.empty() ? "" : ",") + target(*host);
    return out;
}

// ---- settings ----------------------------------------------------------------------------------

struct ClassText {
    std::string name, read, effect;  // read: recent, own_writes, latest, update
    double bound_ms, aim_ms, deadline_ms, window_ms, worth;
    std::string extra = "";
};
struct SettingsText {
    std::vector<ClassText> classes{{"view", "recent", "retryable", 3000, 250, 1000, 5000, 1},
                                   {"own", "own_writes", "retryable", 0, 200, 600, 5000, 3},
                                   {"stamp", "update", "dedup", 0, 600, 2000, 2000, 6}};
    std::string checks = "hold", marks = "router", mode = "automatic";
    double drain_grace_ms = 2000;
    bool stamps = true;  // whether every answer tells a position
    std::string safety_extra = "", tenants = "{\"name\":\"north\",\"quotaRps\":100,\"share\":1}";
    int fleet = 3;

    std::string json() const {
        std::string list, reads, bounds;
        for (const ClassText& c : classes) {
            char text[600];
            std::snprintf(text, sizeof text,
                          "%s{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"%s\",\"sloMs\":%.1f,"
                          "\"hardLimitMs\":%.1f,\"repeatWindowMs\":%.1f,\"worth\":%.1f,\"lateShare\":0.0,"
                          "\"stream\":false%s}",
                          list.empty() ? "" : ",", c.name.c_str(), c.effect.c_str(),
                          c.effect == "dedup" ? "cell" : "all", c.aim_ms, c.deadline_ms, c.window_ms, c.worth,
                          c.extra.c_str());
            list += text;
            reads += (reads.empty() ? "\"" : ",\"") + c.read + "\"";
            bounds += (bounds.empty() ? "" : ",") + std::to_string(c.bound_ms);
        }
        return "{\"allowed\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"idleCloseMs\":30000.0,"
               "\"maxRetryAfterMs\":1000.0,\"multiplex\":1,\"peerMessages\":false,\"probing\":true,"
               "\"retryAfter\":true,\"secondCopies\":false,\"tryLimit\":10},\"azs\":[\"a\",\"b\"],"
               "\"callers\":{\"marksRetry\":true},\"classes\":[" +
               list + "],\"domainType\":\"replicas\",\"familyInfo\":{\"consistency\":[" + reads +
               "],\"oldestDataMs\":[" + bounds + "],\"patienceMs\":50.0,\"roleListed\":\"delayed\"," +
               "\"serverChecks\":\"" + checks + "\",\"sessionMarks\":\"" + marks +
               "\",\"stamps\":" + (stamps ? "true" : "false") + "},\"fleetSize\":" + std::to_string(fleet) +
               ",\"myZone\":0,\"registryMode\":\"" + mode +
               "\",\"reporting\":{\"fields\":[\"x0\",\"x1\",\"concurrent\"],\"how\":\"pull\"}," +
               "\"safety\":{\"askWithinMs\":10000.0,\"coldFrom\":0.2,\"drainGraceMs\":" +
               std::to_string(drain_grace_ms) +
               ",\"fallMs\":2000.0,\"fallMultiple\":2.5,\"graceToAnswerMs\":20.0,\"rampTimeMs\":17000.0" +
               safety_extra + "},\"tariffs\":{\"probe\":0.028},\"tenants\":[" + tenants + "]}";
    }
};

// ---- pooler ------------------------------------------------------------------------------------

inline std::string scratch() {
    const char* folder = std::getenv("SCRATCH");
    return folder ? folder : "/tmp";
}

class Pooler {
  public:
    int port = free_port();
    pid_t pid = -1;
    std::string settings;
    std::string options;  // further ones of the command line
    std::string config_path = scratch() + "/config.json", log_path = scratch() + "/pooler.log";

    void write_config(int discovery_port, const std::string& known, int memory_mb = 192, int sockets = 1024) {
        std::string path = config_path + ".new";
        std::ofstream(path) << "{\"name\":\"n1\",\"listen\":\"" << at(port) << "\",\"discovery\":\""
                            << at(discovery_port) << "\",\"seed\":\"8c1f30d27a5be9" << (unix_ms() & 7)
                            << "1\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << memory_mb
                            << ",\"sockets\":" << sockets << "},\"known\":" << known
                            << ",\"settings\":" << settings << "}";
        ::rename(path.c_str(), config_path.c_str());
    }
    // Starts the deploy file's `run` by /bin/sh -c from the repository's root.
    void start() {
        std::string command = std::getenv("RUN") ? std::getenv("RUN") : "";
        if (!command.empty()) command += options;
        std::string root = std::getenv("ROOT") ? std::getenv("ROOT") : ".";
        if (command.empty()) finish(2, "RUN is not set");
        std::string folder = scratch() + "/pooler.tmp";
        ::mkdir(folder.c_str(), 0700);
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this case, however that ends
            int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            if (::chdir(root.c_str()) != 0) _exit(126);
            ::setenv("LB_CONFIG", config_path.c_str(), 1);
            ::setenv("LB_NAME", "n1", 1);
            ::setenv("LB_LISTEN", at(port).c_str(), 1);
            ::setenv("TMPDIR", folder.c_str(), 1);
            ::unsetenv("LB_DISCOVERY");
            ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
            _exit(127);
        }
        record(trouble() ? "TROUBLE=1: with the disruption" : "TROUBLE=0: without the disruption");
        record("pooler started at %s: %s", at(port).c_str(), command.c_str());
    }
    void signal(int number) const {
        record("signal %d to the pooler", number);
        ::kill(pid, number);
    }
    // Whether the process has ended; sets how.
    bool has_ended(int& status) {
        if (pid <= 0) return true;
        if (::waitpid(pid, &status, WNOHANG) != pid) return false;
        pid = -1;
        return true;
    }
    void end() {
        if (pid <= 0) return;
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        pid = -1;
    }
    ~Pooler() { end(); }
};

// ---- client ------------------------------------------------------------------------------------

inline std::atomic<unsigned> next_id{1};
inline std::string new_id() {
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", unsigned(unix_ms() & 0xffffffff), unsigned(next_id++));
    return text;
}
inline std::string read_statement(const std::string& id, const std::string& name_of_class, int wait_ms,
                                  const std::string& key, int group = 1, const std::string& more = "") {
    return "/* id=" + id + ",c=" + name_of_class + ",t=north,d=" + std::to_string(wait_ms) +
           ",cluster=" + std::to_string(group) + more + " */ SELECT content FROM kv WHERE name = '" + key +
           "'";
}
inline std::string write_statement(const std::string& id, const std::string& name_of_class, int wait_ms,
                                   const std::string& key, const std::string& idempotency_key,
                                   int group = 1) {
    return "/* id=" + id + ",c=" + name_of_class + ",t=north,d=" + std::to_string(wait_ms) +
           ",k=" + idempotency_key + ",cluster=" + std::to_string(group) +
           " */ INSERT INTO kv (name, content) VALUES ('" + key + "', '\\x9f03') RETURNING content";
}

// How a request ended, as its client saw it.
struct Answer {
    enum class Kind { served, refused, failed, ended, none } kind = Kind::none;
    std::string code, value;
    double at = 0;
    const char* text() const {
        switch (kind) {
            case Kind::served:
                return "served";
            case Kind::refused:
                return "refused";
            case Kind::failed:
                return "failed";
            case Kind::ended:
                return "no answer, the connection was ended";
            case Kind::none:
                break;
        }
        return "no answer";
    }
};

class Client {
  public:
    int fd = -1;
    std::string in;
    ~Client() { close(); }
    void close() {
        if (fd >= 0) ::close(fd);
        fd = -1;
    }
    bool connect(int port) {
        fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockaddr_in address = loopback(port);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            close();
            return false;
        }
        send(startup_packet());
        for (;;) {
            std::optional<Message> next = next_message(now_ms() + 3000);
            if (!next) return false;
            if (next->type == 'Z') return true;
        }
    }
    bool send(const std::string& bytes) { return fd >= 0 && send_all(fd, bytes); }
    std::optional<Message> next_message(double until) {
        for (;;) {
            if (auto next = take_message(in)) return next;
            int got = fd < 0 ? 0 : read_some(fd, in, until);
            if (got == 0) has_ended = true;
            if (got != 1) return std::nullopt;
        }
    }
    // Reads one whole answer.
    Answer answer(double until) {
        Answer out;
        bool has_row = false, is_complete = false;
        for (;;) {
            std::optional<Message> next = next_message(until);
            if (!next) {
                out.kind = has_ended ? Answer::Kind::ended : Answer::Kind::none;
                break;
            }
            if (next->type == 'E') out.code = error_code(next->body);
            if (next->type == 'D') {
                has_row = true;
                out.value = next->body.substr(6);
            }
            if (next->type == 'C') is_complete = true;
            if (next->type == 'I') is_complete = has_row = true;
            if (next->type != 'Z') continue;
            out.kind = !out.code.empty() ? (out.code == "53300" || out.code == "57P03" ? Answer::Kind::refused
                                                                                       : Answer::Kind::failed)
                       : has_row && is_complete ? Answer::Kind::served
                                                : Answer::Kind::failed;
            break;
        }
        out.at = now_ms();
        return out;
    }
    bool has_ended = false;
};

// Waits until the pooler answers an empty query.
inline void await_ready(Pooler& pooler) {
    for (double until = now_ms() + 10000; now_ms() < until; sleep_ms(50)) {
        Client client;
        if (!client.connect(pooler.port)) continue;
        client.send(query_message(""));
        if (client.answer(now_ms() + 2000).kind == Answer::Kind::served) return record("pooler is ready");
    }
    finish(2, "the pooler did not become ready");
}

inline Pooler* the_pooler = nullptr;
inline void finish(int status, const std::string& why) {
    record("%s: %s", status == 0 ? "HELD" : status == 1 ? "BROKEN" : "COULD NOT RUN", why.c_str());
    std::printf("%s: %s\n", status == 0 ? "held" : status == 1 ? "BROKEN" : "could not run", why.c_str());
    std::fflush(stdout);
    if (the_pooler) the_pooler->end();
    _exit(status);
}

}  // namespace rig
