// Several real processes of the program on loopback, stand-in hosts, and relays between them that inject
// scripted faults. No result depends on the clock: what is waited for happens, or the test fails.
#pragma once

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <boost/asio/ip/udp.hpp>
#include <fstream>
#include <sstream>

#include "support/harness.hpp"
#include "transport/socket_address.hpp"

extern char** environ;

namespace indigovane::testing {

using udp = boost::asio::ip::udp;

inline udp::endpoint udp_loopback(unsigned short port = 0) {
    return {boost::asio::ip::address_v4::loopback(), port};
}

// One process of the program. It ends with this object, whatever state it is in.
class Process {
  public:
    // `environment`: further variables, as NAME=VALUE.
    Process(const std::string& folder, const std::string& name, const std::vector<std::string>& arguments,
            std::vector<std::string> environment = {})
        : log_(folder + "/" + name + ".log") {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        // Inherited descriptors would keep the test's own connections open after the test has closed them.
        posix_spawn_file_actions_addclosefrom_np(&actions, 3);
        std::vector<char*> argv{const_cast<char*>(PROGRAM)};
        for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
        argv.push_back(nullptr);
        // Each test has its own TMPDIR: a pooler leaves its handover files there.
        std::string scratch = "TMPDIR=" + folder;
        std::vector<char*> variables{scratch.data()};
        for (std::string& variable : environment) variables.push_back(variable.data());
        for (char** v = environ; *v; ++v)
            if (std::string_view(*v).substr(0, 7) != "TMPDIR=") variables.push_back(*v);
        variables.push_back(nullptr);
        REQUIRE(posix_spawn(&pid_, PROGRAM, &actions, nullptr, argv.data(), variables.data()) == 0);
        posix_spawn_file_actions_destroy(&actions);
    }
    ~Process() { end(SIGKILL); }
    Process(const Process&) = delete;

    pid_t id() const { return pid_; }
    void send(int number) const { REQUIRE(::kill(pid_, number) == 0); }
    // The exit status, or minus the signal that ended it.
    int end(int number) {
        if (pid_ <= 0) return 0;
        ::kill(pid_, number);
        if (number == SIGKILL) ::kill(pid_, SIGCONT);
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    // Like end(), of one that has ended by now; nothing while it has not. Waits for nothing.
    std::optional<int> poll_end() {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string log() const {
        std::ifstream in(log_);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }
    // How many lines of the log contain all of `parts`.
    int said(std::initializer_list<std::string_view> parts) const {
        std::istringstream lines(log());
        int count = 0;
        for (std::string line; std::getline(lines, line);)
            count += std::all_of(parts.begin(), parts.end(),
                                 [&](auto part) { return line.find(part) != std::string::npos; });
        return count;
    }
    // The port in the first line of the log that contains `part`, 0: none yet.
    unsigned short port(std::string_view part) const {
        std::istringstream lines(log());
        for (std::string line; std::getline(lines, line);)
            if (auto at = line.find("at=\"127.0.0.1:");
                line.find(part) != std::string::npos && at != std::string::npos)
                return static_cast<unsigned short>(std::atoi(line.c_str() + at + 14));
        return 0;
    }

  private:
    std::string log_;
    pid_t pid_ = -1;
};

// Faults of the datagrams from one pooler to another.
struct Fault {
    bool drop = false;
    int deliveries = 1;
    bool queue = false;  // until `release`, which sends the last first
};

// Carries datagrams between poolers. Each ordered pair has a socket here: what i sends to its address of j
// comes to j from j's address of i, as on the platform.
class DatagramRelay {
  public:
    DatagramRelay(Loop& loop, std::size_t poolers) : count_(poolers), targets_(poolers) {
        for (std::size_t n = 0; n < poolers * poolers; ++n) ways_.push_back(std::make_unique<Way>(loop));
        for (std::size_t n = 0; n < ways_.size(); ++n) receive(n / poolers, n % poolers);
    }
    // Where `from` sends what is for `to`; also where `to`'s own come from.
    std::string address(std::size_t from, std::size_t to) {
        return "127.0.0.1:" + std::to_string(way(from, to).socket.local_endpoint().port());
    }
    void attach(std::size_t pooler, unsigned short port) { targets_[pooler] = udp_loopback(port); }
    Fault& fault(std::size_t from, std::size_t to) { return way(from, to).fault; }
    void all(Fault fault) {
        for (auto& w : ways_) w->fault = fault;
    }
    std::size_t queued(std::size_t from, std::size_t to) { return way(from, to).queued.size(); }
    std::size_t passed(std::size_t from, std::size_t to) { return way(from, to).passed; }
    void release(std::size_t from, std::size_t to) {
        Way& w = way(from, to);
        for (auto it = w.queued.rbegin(); it != w.queued.rend(); ++it) pass(from, to, *it);
        w.queued.clear();
    }

  private:
    struct Way {
        explicit Way(Loop& loop) : socket(loop.io, udp_loopback()) { socket.non_blocking(true); }
        udp::socket socket;
        std::array<char, 2048> buffer{};
        udp::endpoint sender;
        Fault fault;
        std::vector<std::string> queued;
        std::size_t passed = 0;
    };
    Way& way(std::size_t from, std::size_t to) { return *ways_[from * count_ + to]; }
    void receive(std::size_t from, std::size_t to) {
        Way& w = way(from, to);
        w.socket.async_receive_from(boost::asio::buffer(w.buffer), w.sender,
                                    [this, from, to](const boost::system::error_code& ec, std::size_t n) {
                                        if (ec == boost::asio::error::operation_aborted) return;
                                        Way& w = way(from, to);
                                        if (!ec) arrived(from, to, std::string(w.buffer.data(), n));
                                        receive(from, to);
                                    });
    }
    void arrived(std::size_t from, std::size_t to, std::string bytes) {
        Way& w = way(from, to);
        if (w.fault.drop) return;
        for (int i = 0; i < w.fault.deliveries; ++i) {
            if (w.fault.queue)
                w.queued.push_back(bytes);
            else
                pass(from, to, bytes);
        }
    }
    void pass(std::size_t from, std::size_t to, const std::string& bytes) {
        boost::system::error_code ec;
        if (targets_[to]) way(to, from).socket.send_to(boost::asio::buffer(bytes), *targets_[to], 0, ec);
        ++way(from, to).passed;
    }

    std::size_t count_;
    std::vector<std::optional<udp::endpoint>> targets_;
    std::vector<std::unique_ptr<Way>> ways_;
};

// One group of three hosts, any of which may be primary, and poolers with links between them.
struct Poolers {
    static constexpr std::size_t kHosts = 3;
    Loop loop;
    Folder folder;
    Host hosts[kHosts];
    std::vector<std::unique_ptr<PgHost>> servers;
    DatagramRelay relay;
    std::vector<std::unique_ptr<Process>> processes;
    int ids = 0;

    explicit Poolers(std::size_t count) : relay(loop, count) {
        for (Host& host : hosts) servers.push_back(std::make_unique<PgHost>(loop, host));
        make_primary(0);
        std::ofstream(folder.path + "/peers.toml") << "[peers]\ncluster = \"test\"\n";
        processes.resize(count);
        for (std::size_t i = 0; i < count; ++i) start(i);
    }
    void make_primary(std::size_t n) {
        for (std::size_t i = 0; i < kHosts; ++i) hosts[i].primary = i == n;
    }
    void start(std::size_t i) {
        std::string peers, targets;
        for (std::size_t j = 0; j < processes.size(); ++j)
            if (j != i) peers += (peers.empty() ? "\"" : ",\"") + relay.address(i, j) + "\"";
        for (std::size_t h = 0; h < kHosts; ++h)
            targets += (h ? "," : "") + std::string("{\"uid\":\"h") + std::to_string(h) +
                       "\",\"endpoint\":\"" + servers[h]->address() +
                       "\",\"az\":\"a\",\"pod_group\":3,\"state\":\"ready\"}";
        std::string path = folder.path + "/p" + std::to_string(i) + ".json";
        std::ofstream(path) << "{\"name\":\"p" << i
                            << "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\","
                            << "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[" << peers << "],\"seed\":\""
                            << i + 1 << "\",\"limits\":{\"memory_mb\":64,\"sockets\":256},"
                            << "\"known\":{\"rev\":1,\"all\":true,\"targets\":[" << targets << "]},"
                            << R"("settings":{"azs":["a"],"fleetSize":3,"registryMode":"automatic",
"allowed":{"probing":true,"peerMessages":true,"cancel":true,"tryLimit":10,"connectTimeoutMs":5000},
"familyInfo":{"consistency":["update"],"oldestDataMs":[0],"serverChecks":"silent","sessionMarks":"client"},
"classes":[{"name":"booking-write","effect":"fragile","sloMs":20000,"hardLimitMs":40000,"worth":4}]}})";
        processes[i] = std::make_unique<Process>(
            folder.path, "p" + std::to_string(i),
            std::vector<std::string>{"serve", "--config", path, "--peers", folder.path + "/peers.toml"});
        REQUIRE(loop.until([&] { return processes[i]->said({"phase", "serving"}) > 0; }));
        relay.attach(i, processes[i]->port("poolers tell each other"));
    }
    // One write through that pooler, by a client of its own. Answered, by whichever host is primary.
    bool writes(std::size_t i) {
        auto at = transport::parse_socket_address("127.0.0.1:" +
                                                  std::to_string(processes[i]->port("front=\"pg\"")));
        Client client(loop, *at);
        std::string id = "00000000000000" + std::to_string(10 + ids++);
        std::string text = "/* id=" + id +
                           ",c=booking-write,d=40000,cluster=3 */ INSERT INTO kv (name, content) "
                           "VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING content";
        client.send(pg::Writer().startup("backend", "store").query(text).take());
        bool served = false;
        REQUIRE(loop.until([&] {
            served = client.in.find("INSERT 0 1") != std::string::npos;
            return served || client.closed || client.in.find("SERROR") != std::string::npos;
        }));
        return served;
    }
    int gossip_received(std::size_t i, const std::string& host) const {
        return processes[i]->said({"heard of a primary", "endpoint=\"" + host + "\""});
    }
};

}  // namespace indigovane::testing
