// A fleet of real processes under random, overlapping faults, in one record. A seed draws which faults come
// when; the processes' own timing makes each play differ all the same.
#pragma once

#include "processes/faulty_calls.hpp"
#include "processes/harness.hpp"
#include "processes/site_harness.hpp"
#include "processes/soak_client.hpp"
#include "support/endless_sender.hpp"

namespace indigovane::testing {

struct SoakOptions {
    std::size_t poolers = 24;
    std::uint64_t seed = 1;
    Millis length{20000};
    Millis slack{0};  // of the rules' time limits, beyond the record's own
};

class SoakFleet {
  public:
    static constexpr std::size_t kGroups = 4, kHostsOfGroup = 3, kHosts = kGroups * kHostsOfGroup;
    static constexpr std::size_t kClientsOfPooler = 3;

    explicit SoakFleet(SoakOptions options)
        : options_(options), record(Millis(30) + options.slack), random_(options.seed), calls_(folder_.path) {
        for (std::size_t h = 0; h < kHosts; ++h) {
            bases_[h].primary = h % kHostsOfGroup == 0;
            hosts_.push_back(std::make_unique<SoakHost>(loop_, bases_[h], record, stores_[h / kHostsOfGroup],
                                                        h, options.seed * 1000 + h));
            states_[h] = "ready";
        }
        nodes_.resize(options.poolers);
        for (std::size_t p = 0; p < nodes_.size(); ++p) {
            nodes_[p] = std::make_unique<Node>(loop_);
            nodes_[p]->agent.publish(targets());
            start(p);
        }
        REQUIRE(until([&] { return serving() == nodes_.size(); }, Millis(15000)));
        for (std::size_t c = 0; c < nodes_.size() * kClientsOfPooler; ++c)
            clients_.push_back(std::make_unique<SoakClient>(loop_, record, nodes_[c / kClientsOfPooler]->seen,
                                                            c, options.seed * 7919 + c));
    }

    // Plays the seed's faults, then a calm end in which everything has to be answered.
    void run() {
        auto begin = std::chrono::steady_clock::now();
        auto next_fault = begin + Millis(500);
        while (std::chrono::steady_clock::now() < begin + options_.length) {
            step();
            auto now = std::chrono::steady_clock::now();
            if (now < next_fault) continue;
            next_fault = now + Millis(50 + random_() % 300);
            begin_fault(now);
        }
        end_faults(SteadyTime::max());
        for (auto& c : clients_) c->stopping = true;
        until([&] { return std::ranges::none_of(clients_, [](auto& c) { return c->busy(); }); },
              Millis(6000));
        clients_.clear();
        for (std::size_t p = 0; p < nodes_.size(); ++p) end(p);
        record.check_single_attempts();
    }

    // What the record and the poolers' logs contain about the request that a breach names.
    std::string story(const std::string& breach) {
        std::string id = breach.substr(breach.find(": ") + 2, 16), text = record.describe(id);
        for (const auto& node : nodes_)
            for (const std::string& line : node->request_lines)
                if (line.find(id) != std::string::npos) text += "\n    " + line;
        return text;
    }
    std::vector<std::string> invariants() const {
        std::vector<std::string> all;
        for (const auto& node : nodes_)
            all.insert(all.end(), node->invariant_lines.begin(), node->invariant_lines.end());
        return all;
    }
    std::map<std::string, int> faults;

  private:
    struct Node {
        explicit Node(Loop& loop) : agent(loop, base) {}
        Host base;
        ListHost agent;
        SoakPooler seen;
        std::unique_ptr<Process> process;
        std::vector<std::string> invariant_lines, request_lines;
        std::optional<SteadyTime> stopped_until, kill_at;
    };
    struct Active {
        SteadyTime until;
        std::function<void()> undo;
    };

    void step() {
        loop_.io.restart();
        transport::LoopTurn::of(loop_.io).run(loop_.io, Millis(2));
        auto now = std::chrono::steady_clock::now();
        for (auto& c : clients_) c->tick(now);
        if (now < supervised_ + Millis(20)) return;
        supervised_ = now;
        end_faults(now);
        for (std::size_t p = 0; p < nodes_.size(); ++p) supervise(p, now);
    }
    bool until(const std::function<bool()>& holds, Millis most) {
        auto end = std::chrono::steady_clock::now() + most;
        while (!holds()) {
            if (std::chrono::steady_clock::now() > end) return false;
            step();
        }
        return true;
    }
    std::size_t serving() const {
        return std::size_t(std::ranges::count_if(nodes_, [](auto& n) { return n->seen.at.has_value(); }));
    }

    std::string targets() const {
        std::string out;
        for (std::size_t h = 0; h < kHosts; ++h) {
            if (states_[h] == "gone") continue;
            out += (out.empty() ? "" : ",") + std::string("{\"uid\":\"h") + std::to_string(h) +
                   "\",\"endpoint\":\"" + hosts_[h]->address() +
                   "\",\"az\":\"a\",\"pod_group\":" + std::to_string(h / kHostsOfGroup) + ",\"state\":\"" +
                   states_[h] + "\",\"recovery\":\"" + (bases_[h].primary ? "off" : "on") + "\"}";
        }
        return out;
    }
    void publish() {
        for (auto& node : nodes_) node->agent.publish(targets());
    }

    void configure(std::size_t p) {
        std::ofstream(folder_.path + "/p" + std::to_string(p) + ".json")
            << "{\"name\":\"p" << p << R"(","listen":"127.0.0.1:0","discovery":")"
            << nodes_[p]->agent.address() << R"(","seed":")" << p + 1 + options_.seed * 100
            << R"(","limits":{"memory_mb":64,"sockets":256},
"known":{"rev":1,"all":true,"targets":[)"
            << targets() << R"(]},
"settings":{"azs":["a"],"fleetSize":)"
            << nodes_.size() << R"(,"registryMode":"automatic",
"allowed":{"probing":true,"cancel":true,"tryLimit":4,"connectTimeoutMs":150,"idleCloseMs":3000},
"safety":{"drainGraceMs":2000},
"familyInfo":{"consistency":["loose","own_writes","update","update"],"oldestDataMs":[0,0,0,0],
"serverChecks":"hold","sessionMarks":"router"},
"classes":[{"name":"view","effect":"retryable","sloMs":250,"hardLimitMs":800,"worth":1},
{"name":"own","effect":"fragile","sloMs":200,"hardLimitMs":600,"worth":3},
{"name":"write","effect":"dedup","group":"cell","repeatWindowMs":500,"sloMs":500,"hardLimitMs":1000,"worth":6},
{"name":"book","effect":"fragile","sloMs":500,"hardLimitMs":1000,"worth":6}]}})";
    }
    void start(std::size_t p) {
        Node& n = *nodes_[p];
        configure(p);
        n.seen.at.reset();
        n.seen.terminated_at = {};
        n.seen.killed = false;
        ++n.seen.life;
        n.process = std::make_unique<Process>(
            folder_.path, "p" + std::to_string(p) + "-" + std::to_string(n.seen.life),
            std::vector<std::string>{"serve", "--config", folder_.path + "/p" + std::to_string(p) + ".json"},
            calls_.environment());
    }
    // Whether a process serves by now, has ended, or is to be killed.
    void supervise(std::size_t p, SteadyTime now) {
        Node& n = *nodes_[p];
        if (!n.process) return;
        if (auto status = n.process->poll_end()) {
            if (n.seen.terminated_at == SteadyTime{})
                record.breach("ended by itself", "p" + std::to_string(p) + " status " +
                                                     std::to_string(*status) + ": " + last_line(*n.process));
            else if (*status != 0)
                record.breach("end in disorder",
                              "p" + std::to_string(p) + " status " + std::to_string(*status));
            collect(n);
            return start(p);
        }
        if (n.kill_at && now >= *n.kill_at) {  // the longest deadline, and 0.7 s: it is to have ended by now
            record.breach("still there at the kill", "p" + std::to_string(p));
            return kill(p);
        }
        if (n.stopped_until && now >= *n.stopped_until) {
            n.process->send(SIGCONT);
            n.stopped_until.reset();
        }
        if (n.seen.at || n.seen.terminated_at != SteadyTime{} || n.process->said({"phase", "serving"}) == 0)
            return;
        n.seen.at =
            transport::parse_socket_address("127.0.0.1:" + std::to_string(n.process->port("front=\"pg\"")));
    }
    static std::string last_line(const Process& process) {
        std::string text = process.log();
        while (!text.empty() && text.back() == '\n') text.pop_back();
        return text.substr(text.rfind('\n') + 1);
    }
    void collect(Node& n) {
        n.kill_at.reset();
        n.stopped_until.reset();
        std::istringstream lines(n.process->log());
        for (std::string line; std::getline(lines, line);) {
            if (line.find(" invariant [") != std::string::npos) n.invariant_lines.push_back(line);
            if (line.find("request=\"") != std::string::npos) n.request_lines.push_back(line);
        }
    }
    void kill(std::size_t p) {
        Node& n = *nodes_[p];
        n.seen.killed = true;
        n.process->end(SIGKILL);
        collect(n);
        loop_.settle();  // its clients see it, and excuse it
        start(p);
    }
    void end(std::size_t p) {
        Node& n = *nodes_[p];
        if (n.stopped_until) n.process->send(SIGCONT);
        n.seen.terminated_at = std::chrono::steady_clock::now();
        int status = n.process->end(SIGTERM);
        if (status != 0)
            record.breach("end in disorder", "p" + std::to_string(p) + " " + std::to_string(status));
        collect(n);
    }

    // ---- faults ----------------------------------------------------------------------------------------

    void end_faults(SteadyTime now) {
        std::vector<Active> over;
        std::erase_if(active_, [&](Active& a) {
            if (a.until > now) return false;
            over.push_back(std::move(a));
            return true;
        });
        for (Active& a : over) a.undo();
    }
    void schedule_undo(SteadyTime until, std::function<void()> undo) {
        active_.push_back({until, std::move(undo)});
    }

    template <typename T>
    void set(SteadyTime until, T& what, T value) {
        T before = what;
        what = value;
        schedule_undo(until, [&what, before] { what = before; });
    }

    void begin_fault(SteadyTime now) {
        SteadyTime until = now + Millis(300 + random_() % 2500);
        double share = 0.02 + double(random_() % 30) / 100;
        SoakFaults& host = hosts_[random_() % kHosts]->faults;
        std::size_t p = random_() % nodes_.size();
        FaultRates& rates = calls_.rates();
        switch (random_() % 28) {
            case 0:
                return note("hangs"), set(until, host.hangs, true);
            case 1:
                return note("down"), down(until);
            case 2:
                return note("closes idle"), set(until, host.closes_idle, true);
            case 3:
                return note("slow"), set(until, host.slow, Millis(random_() % 200));
            case 4:
                return note("lag"), set(until, host.lag, Millis(20 + random_() % 400));
            case 5:
                return note("refuses"), set(until, host.refuses, share);
            case 6:
                return note("takes back"), set(until, host.errors_after_row, share);
            case 7:
                return note("resets before"), set(until, host.resets_before, share);
            case 8:
                return note("resets within"), set(until, host.resets_within, share);
            case 9:
                return note("stops within"), set(until, host.stops_within, share);
            case 10:
                return note("garbage"), set(until, host.garbage, share);
            case 11:
                return note("closes at answer"), set(until, host.closes_at_answer, share);
            case 12:
                return note("errs"), set(until, host.errs, share);
            case 13:
                return note("drains"), drain(until, "draining");
            case 14:
                return note("gone"), drain(until, "gone");
            case 15:
                return note("clients leave"), leave(until);
            case 16:
                return note("SIGTERM"), terminate(p, now);
            case 17:
                return note("SIGKILL"), kill_serving(p);
            case 18:
                return note("SIGSTOP"), stop(p, now);
            case 19:
                return note("SIGHUP"), reload(p);
            case 20:
                return note("short reads and writes"), rate(until, rates.short_write, 0.3f),
                       rate(until, rates.short_read, 0.3f);
            case 21:
                return note("EINTR"), rate(until, rates.interrupted, 0.1f);
            case 22:
                return note("socket, connect"), rate(until, rates.socket, 0.2f),
                       rate(until, rates.connect, 0.2f);
            case 23:
                return note("pauses"), set(until, host.pauses, share);
            case 24:
                return note("dribbles"), set(until, host.dribbles, share);
            case 25:
                return note("never ends"), set(until, host.never_ends, share);
            case 26:
                return note("flood"), flood(until, p);
            default:
                return note("accept"), rate(until, rates.accept, 0.3f);
        }
    }
    void note(const char* what) { ++faults[what]; }
    void rate(SteadyTime until, std::atomic<float>& which, float value) {
        which.store(value);
        schedule_undo(until, [&which] { which.store(0); });
    }
    void down(SteadyTime until) {
        SoakHost& host = *hosts_[random_() % kHosts];
        set(until, host.faults.down, true);
        host.reset_every_connection();
    }
    void drain(SteadyTime until, const char* state) {
        std::size_t h = random_() % kHosts;
        if (bases_[h].primary || states_[h] != "ready") return;
        states_[h] = state;
        publish();
        schedule_undo(until, [this, h] {
            states_[h] = "ready";
            publish();
        });
    }
    // Clients that send commands to one pooler without a pause.
    void flood(SteadyTime until, std::size_t p) {
        constexpr std::size_t kFlooders = 4, kChunkBytes = 64 * 1024;
        if (!undisturbed(p) || flood_) return;
        std::string chunk;
        while (chunk.size() < kChunkBytes) chunk += pg::Writer().plain('H', "").query("x").take();
        flood_ = std::make_unique<EndlessClients>(*nodes_[p]->seen.at, kFlooders,
                                                  pg::Writer().startup("backend", "store").take(), chunk);
        schedule_undo(until, [this] { flood_.reset(); });
    }
    void leave(SteadyTime until) {
        for (auto& c : clients_) c->leaves = 0.3;
        schedule_undo(until, [this] {
            for (auto& c : clients_) c->leaves = 0;
        });
    }
    bool undisturbed(std::size_t p) const {
        const Node& n = *nodes_[p];
        return n.seen.at && n.seen.terminated_at == SteadyTime{} && !n.stopped_until;
    }
    void terminate(std::size_t p, SteadyTime now) {
        if (!undisturbed(p)) return;
        Node& n = *nodes_[p];
        n.seen.terminated_at = now;
        n.seen.at.reset();
        n.kill_at = now + Millis(3700) + options_.slack;
        n.process->send(SIGTERM);
    }
    void kill_serving(std::size_t p) {
        if (undisturbed(p)) kill(p);
    }
    void stop(std::size_t p, SteadyTime now) {
        if (!undisturbed(p)) return;
        nodes_[p]->process->send(SIGSTOP);
        nodes_[p]->stopped_until = now + Millis(130);
    }
    void reload(std::size_t p) {
        if (!undisturbed(p)) return;
        configure(p);
        nodes_[p]->process->send(SIGHUP);
    }

    SoakOptions options_;

  public:
    SoakRecord record;

  private:
    Loop loop_;
    Folder folder_;
    std::mt19937_64 random_;
    FaultyCalls calls_;
    Host bases_[kHosts];
    std::string states_[kHosts];
    SoakStore stores_[kGroups];
    std::vector<std::unique_ptr<SoakHost>> hosts_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<SoakClient>> clients_;
    std::vector<Active> active_;
    std::unique_ptr<EndlessClients> flood_;
    SteadyTime supervised_{};
};

}  // namespace indigovane::testing
