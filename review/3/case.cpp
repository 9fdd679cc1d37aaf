// Many bad clients send much at once, read nothing, and go. The pooler must stay within its memory.
#include "../common/linge_host.hpp"
#include "../common/settings.hpp"

using namespace lab;

namespace {

constexpr int kGroup = 3;
constexpr double kRunMs = 30000, kFloodAtMs = 4000;
constexpr double kPauseMs = 60;  // between a client's requests
constexpr int kClients = 10;
constexpr int kBadClients = 450;
constexpr std::size_t kBadBytes = 1 << 20;                    // of each bad client, at once
constexpr std::size_t kMemoryLimit = std::size_t(192) << 20;  // `memory_mb` of the configuration
constexpr double kClientPatienceMs = 20000;

// Sends statements of one letter, which no pooler serves, reads nothing, and goes.
void be_a_bad_client(int port, std::atomic<int>& gone) {
    static const std::string much = [] {
        std::string bytes = pg::startup();
        while (bytes.size() < kBadBytes) bytes += pg::query("x");
        return bytes;
    }();
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int receive_buffer = 65536;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in at = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) {
        Socket socket(fd);
        socket.send(much);
        for (double end = now_ms() + 15000; now_ms() < end && !socket.at_end();) sleep_ms(50);
    }
    ++gone;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) cannot_run("usage: case RUN FOLDER");
    Record record(std::string(argv[2]) + "/record.txt");
    bool trouble = with_trouble();
    std::vector<std::unique_ptr<LingeHost>> hosts;
    Discovery discovery;
    for (int i = 0; i < 4; ++i) {
        auto host = std::make_unique<LingeHost>();
        host->uid = "s-" + std::to_string(i);
        host->primary = i == 0;
        host->record = &record;
        host->start();
        discovery.set(host->uid,
                      entry(host->uid, host->listener->address(), "rennes-nord", kGroup, "ready", i == 0));
        hosts.push_back(std::move(host));
    }
    int port = free_port();
    Pooler pooler(
        argv[1], new_folder(), "n1",
        pooler_config("n1", port, discovery.listener.address(), discovery.list(), linge_settings(1)));
    pooler.start();
    pooler.await_ready(port);

    std::mutex mutex;
    std::map<std::string, int> kinds;
    int requests = 0, lost = 0;
    std::vector<std::thread> threads;
    std::atomic<int> gone{0};
    std::atomic<bool> killed{false};
    double begin = now_ms(), end = begin + kRunMs;
    for (int c = 0; c < kClients; ++c)
        threads.emplace_back([&, c] {
            std::mt19937_64 random(std::uint64_t(c) + 1);
            auto client = std::make_unique<Client>(port);
            while (now_ms() < end && !killed) {
                if (!client->is_open()) client = std::make_unique<Client>(port);
                std::string id = hex_id(random()), key = hex_id(random());
                std::string sql;
                double d = 0;
                unsigned kind = unsigned(random() % 100);
                if (kind < 51) {
                    d = 800;  // a try is given up after 40 to 100% of the class's time
                    sql = "c=stock-view";
                } else if (kind < 85) {
                    d = 480;
                    sql = "c=own-order";
                } else {
                    d = 1600;
                    sql = "c=scan-write,k=" + hex_id(random());
                }
                bool write = kind >= 85;
                sql = "/* id=" + id + "," + sql + ",t=lavage-rance,d=" + std::to_string(int(d)) +
                      ",cluster=3 */ " +
                      (write ? "INSERT INTO kv (name, content) VALUES ('" + key +
                                   "', '\\x9f03') RETURNING content"
                             : "SELECT content FROM kv WHERE name = '" + key + "'");
                double sent = now_ms();
                client->send(sql);
                Reply reply = client->read_reply(sent + kClientPatienceMs);
                double took = reply.at - sent;
                bool is_lost = reply.kind == "cut";
                record.line("client %d %s d=%.0f%s: %s after %.0f ms%s", c, id.c_str(), d,
                            write ? " write" : "", reply.kind.c_str(), took, is_lost ? "  LOST" : "");
                if (reply.kind == "silent") client->close();
                {
                    std::lock_guard lock(mutex);
                    ++requests;
                    ++kinds[reply.kind];
                    lost += is_lost;
                }
                sleep_ms(kPauseMs);
            }
        });
    if (trouble) {
        sleep_ms(begin + kFloodAtMs - now_ms());
        record.line("%d bad clients begin", kBadClients);
        for (int b = 0; b < kBadClients; ++b)
            std::thread([port, &gone] { be_a_bad_client(port, gone); }).detach();
    }
    // The platform: over `memory_mb` the pooler is killed.
    std::size_t most = 0;
    double last_line = 0;
    while (now_ms() < end && !killed) {
        std::size_t memory = pooler.memory();
        most = std::max(most, memory);
        if (now_ms() - last_line > 500) {
            last_line = now_ms();
            record.line("memory of the pooler: %.1f MB; %d bad clients have gone", double(memory) / (1 << 20),
                        gone.load());
        }
        if (memory > kMemoryLimit) {
            record.line("memory of the pooler: %.1f MB: over the limit, the platform kills it",
                        double(memory) / (1 << 20));
            killed = true;
            pooler.send(SIGKILL);
        }
        sleep_ms(10);
    }
    for (auto& thread : threads) thread.join();
    bool crashed = !killed && !pooler.is_running();
    pooler.end(SIGTERM);
    std::string counts;
    for (auto& [kind, count] : kinds) counts += " " + kind + "=" + std::to_string(count);
    char line[300];
    std::snprintf(line, sizeof line,
                  "%d requests,%s; the pooler had %.1f MB of memory at most, its limit is %.0f MB%s; %d "
                  "requests were cut off%s",
                  requests, counts.c_str(), double(most) / (1 << 20), double(kMemoryLimit) / (1 << 20),
                  killed ? ": it was killed" : "", lost, crashed ? "; the pooler crashed" : "");
    record.line("%s", line);
    std::printf("%s\n", line);
    finish(crashed || killed ? 1 : 0);
}
