// Replicas that apply the log more slowly for a while, behind a network on
// which a third of the new connections to hosts come up late. The bound on the
// age of `map-read` is 300 ms at the last byte of the send.
#include "../common/lab.hpp"
#include "../common/settings.hpp"

using namespace lab;

namespace {

constexpr int kGroups = 3, kMembers = 4, kPoolers = 1;
constexpr double kRunMs = 58000;
constexpr double kRate = 260;          // requests a second, all poolers together
constexpr double kBoundMs = 300 + 50;  // each time limit is 50 ms longer
constexpr double kJudgeSlackMs = 10;   // from the pooler's write to this stand-in's clock reading
constexpr double kNormalLagMs = 5;     // a replica gets the log after 3.3 to 15 ms
// Replicas lag: all of them (0.4 to 1) apply the log 20 times (3 to 20) more
// slowly for 8 s (8 to 25).
constexpr double kLagLengthMs = 8000, kLagEveryMs = 16200;
constexpr double kSlowApply = 0.1;  // of the log's speed, for a thread that was
                                    // busy half of the time before
constexpr double kCatchUp = 2;      // afterwards it catches up only as fast as it can apply
constexpr double kReportEveryMs = 55,
                 kReportDelayMs = 5;  // refreshed every 51 to 190 ms
constexpr double kIdleCloseMs = 150;  // hosts close idle connections early
constexpr double kLateMs = 145;       // connections come up late, by up to 1.5 s
constexpr int kLateOneOf = 3;
constexpr int kTiles = 15;
constexpr double kWorkMs = 140;  // 87 to 150 ms of work

// The position of the replicas as a function of time.
struct Log {
    double first_lag = 0;
    double position(double now) const {
        if (now < first_lag) return now - kNormalLagMs;
        double since = std::fmod(now - first_lag, kLagEveryMs);
        double lag = kNormalLagMs + std::min(since, kLagLengthMs) * (1 - kSlowApply);
        if (since > kLagLengthMs) lag = std::max(kNormalLagMs, lag - (since - kLagLengthMs) * (kCatchUp - 1));
        return now - lag;
    }
};

struct Shared {
    Record &record;
    bool late;
    std::mutex mutex;
    // Of each read that a replica answered: the age of its data when its last
    // byte came.
    std::map<std::string, double> age;
    std::map<std::string, bool> came_up_late;
};

struct Host {
    std::string uid;
    int group = 0;
    bool primary = false;
    Log log;
    Shared *shared = nullptr;
    std::atomic<int> accepted{0};
    std::unique_ptr<Listener> listener;

    double position(double now) const { return primary ? now : log.position(now); }
    double report_position(double now) const {
        double refreshed = std::floor((now - kReportDelayMs) / kReportEveryMs) * kReportEveryMs;
        return position(refreshed);
    }
    void serve(Socket &socket) {
        bool is_late = shared->late && accepted++ % kLateOneOf == 0;
        if (is_late) sleep_ms(kLateMs);
        std::string in;
        bool started = false, is_first = true;
        for (;;) {
            std::size_t head = started ? 1 : 0;
            if (in.size() < head + 4 || in.size() < pg::read32(in.data() + head) + head) {
                auto got = socket.receive(in, started ? kIdleCloseMs : -1);
                if (got == Socket::Got::bytes) continue;
                if (got == Socket::Got::time_out && in.empty()) return;  // idle
                if (got == Socket::Got::end) return;
                continue;
            }
            double arrived = now_ms();
            std::size_t length = pg::read32(in.data() + head) + head;
            std::string body = in.substr(head + 4, length - head - 4);
            char type = started ? in[0] : 's';
            in.erase(0, length);
            if (type == 'X') return;
            if (!started) {
                started = true;
                socket.send(pg::message('R', std::string(4, '\0')) + pg::ready());
                continue;
            }
            if (!query(socket, body.substr(0, body.size() - 1), arrived, is_late && is_first)) return;
            is_first = false;
        }
    }
    bool query(Socket &socket, const std::string &sql, double arrived, bool on_late_connection) {
        if (sql == "SHOW health") {
            char report[80];
            std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,load_share=0.4",
                          report_position(arrived) / 1000, int(primary));
            return socket.send(pg::columns("health", 25, false) + pg::row(report) + pg::complete("SHOW") +
                               pg::ready());
        }
        if (sql.empty()) return socket.send(pg::message('I', "") + pg::ready());
        std::string id = field(sql, "id");
        if (id.empty()) return socket.send(pg::error("ERROR", "08P01", "no client sent this") + pg::ready());
        std::string role = pg::parameter("recovery", primary ? "off" : "on");
        if (is_write(sql) && !primary)
            return socket.send(pg::error("ERROR", "25006", "read-only") + role + pg::ready());
        double at = position(arrived);
        shared->record.line("host %s runs %s, %.0f ms behind%s", uid.c_str(), id.c_str(), arrived - at,
                            on_late_connection ? ", on a connection that came up late" : "");
        sleep_ms(kWorkMs);
        if (socket.at_end()) return false;
        if (!primary) {
            std::lock_guard lock(shared->mutex);
            shared->age[id] = arrived - at;
            shared->came_up_late[id] = on_late_connection;
        }
        char value[32];
        std::snprintf(value, sizeof value, "%.1f", at);
        std::string note =
            is_write(sql) ? pg::parameter("lsn_ms", std::to_string(std::int64_t(std::ceil(at)))) : "";
        return socket.send(pg::columns("content", 17, true) + pg::row(value) +
                           pg::complete(is_write(sql) ? "INSERT 0 1" : "SELECT 1") + role + note +
                           pg::ready());
    }
    void start() {
        listener = std::make_unique<Listener>([this](auto socket) { serve(*socket); });
    }
};

}  // namespace

int main(int argc, char **argv) {
    if (argc < 3) cannot_run("usage: case RUN FOLDER");
    Record record(std::string(argv[2]) + "/record.txt");
    Shared shared{record, with_trouble(), {}, {}, {}};
    std::vector<std::unique_ptr<Host>> hosts;
    Discovery discovery;
    double first = now_ms() + 6000;
    for (int g = 0; g < kGroups; ++g)
        for (int m = 0; m < kMembers; ++m) {
            auto host = std::make_unique<Host>();
            host->uid = "s-" + std::to_string(g) + std::to_string(m);
            host->group = g + 1;
            host->primary = m == 0;
            host->log.first_lag = first;
            host->shared = &shared;
            host->start();
            const char *zones[] = {"sto-north", "sto-south", "uppsala"};
            discovery.set(host->uid, entry(host->uid, host->listener->address(), zones[m % 3], host->group,
                                           "ready", m == 0));
            hosts.push_back(std::move(host));
        }
    std::string folder = new_folder();
    std::vector<std::unique_ptr<Pooler>> poolers;
    std::vector<int> ports;
    for (int p = 0; p < kPoolers; ++p) {
        ports.push_back(free_port());
        std::string name = "n" + std::to_string(p + 1);
        poolers.push_back(
            std::make_unique<Pooler>(argv[1], folder, name,
                                     pooler_config(name, ports.back(), discovery.listener.address(),
                                                   discovery.list(), laddkartan_settings(kPoolers, p))));
        poolers.back()->start();
    }
    for (int p = 0; p < kPoolers; ++p) poolers[std::size_t(p)]->await_ready(ports[std::size_t(p)]);

    std::mutex mutex;
    int served = 0, refused = 0, other = 0, stale = 0, stale_on_late = 0, reads = 0, on_late = 0;
    double oldest = 0;
    std::vector<std::thread> threads;
    double begin = now_ms(), end = begin + kRunMs;
    constexpr int kClients = 120;
    for (int c = 0; c < kClients; ++c)
        threads.emplace_back([&, c] {
            // The clients of a screen ask at the same time, each on a connection of
            // its own: a map of fifteen tiles.
            std::mt19937_64 random(std::uint64_t(c) * 7919 + 1),
                screen(std::uint64_t(c / kTiles) * 104729 + 1);
            std::exponential_distribution<double> pause(kRate / kClients / 1000);
            int port = ports[std::size_t(c % kPoolers)];
            auto client = std::make_unique<Client>(port);
            for (double at = begin + pause(screen); at < end; at += pause(screen)) {
                int group = 1 + int(screen() % kGroups);
                sleep_ms(at - now_ms());
                if (!client->is_open()) client = std::make_unique<Client>(port);
                std::string id = hex_id(random()), key = hex_id(random());
                bool write = random() % 100 < 8;
                std::string head = "/* id=" + id +
                                   ",c=" + (write ? "booking-write,d=5000" : "map-read,d=2000") +
                                   ",cluster=" + std::to_string(group) + " */ ";
                std::string sql = write ? head + "INSERT INTO kv (name, content) VALUES ('" + key +
                                              "', '\\x9f03') RETURNING content"
                                        : head + "SELECT content FROM kv WHERE name = '" + key + "'";
                double sent = now_ms();
                record.line("client %d sends %s to n%d, group %d", c, id.c_str(), c % kPoolers + 1, group);
                client->send(sql);
                Reply reply = client->read_reply(sent + 6000);
                if (reply.kind == "silent") client->close();
                double age = -1;
                bool late = false;
                {
                    std::lock_guard lock(shared.mutex);
                    if (auto it = shared.age.find(id); it != shared.age.end()) {
                        age = it->second;
                        late = shared.came_up_late[id];
                    }
                }
                std::lock_guard lock(mutex);
                (reply.kind == "served" ? served : reply.kind == "refused" ? refused : other)++;
                if (write || reply.kind != "served") {
                    record.line("%s: %s after %.0f ms", id.c_str(), reply.kind.c_str(), reply.at - sent);
                    continue;
                }
                ++reads;
                oldest = std::max(oldest, age);
                bool is_stale = age > kBoundMs + kJudgeSlackMs;
                on_late += late;
                stale += is_stale;
                stale_on_late += is_stale && late;
                record.line(
                    "%s group %d n%d: served after %.0f ms from data %.0f ms "
                    "old when it was sent%s%s",
                    id.c_str(), group, c % kPoolers + 1, reply.at - sent, age,
                    late ? ", on a connection that came up late" : "", is_stale ? "  STALE" : "");
            }
        });
    for (auto &thread : threads) thread.join();
    bool crashed = false;
    for (auto &pooler : poolers) {
        crashed = crashed || !pooler->is_running();
        pooler->end(SIGTERM);
    }
    char line[300];
    std::snprintf(line, sizeof line,
                  "served %d, refused %d, other %d; of %d map-reads (%d on "
                  "connections that came up late) %d "
                  "were served from data older than %.0f ms, %d of them on "
                  "connections that came up late; the oldest %.0f ms%s",
                  served, refused, other, reads, on_late, stale, kBoundMs, stale_on_late, oldest,
                  crashed ? "; a pooler crashed" : "");
    record.line("%s", line);
    std::printf("%s\n", line);
    finish(crashed || stale > 0 ? 1 : 0);
}
