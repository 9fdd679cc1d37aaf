// One of four hosts spoils some answers: notices follow each other without an end. All other requests still
// have to get their answers in time.
#include "../common/linge_host.hpp"
#include "../common/settings.hpp"

using namespace lab;

namespace {

constexpr int kGroup = 3;
constexpr double kRunMs = 25000, kSpoiltFromMs = 8000;
constexpr double kPauseMs = 60;  // between a client's requests
constexpr int kClients = 10;
constexpr double kLateMs = 500 + 50;  // after its time an answer only earns nothing; limits are 50 ms longer
constexpr double kJudgeSlackMs = 50;  // for this machine's scheduling
constexpr double kClientPatienceMs = 20000;

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
        if (trouble && i == 1) host->spoils = true;
        host->spoils_from = now_ms() + kSpoiltFromMs;
        host->never_ends_for_ms = 10000;
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
    double worst = 0;
    std::vector<std::thread> threads;
    double begin = now_ms(), end = begin + kRunMs;
    for (int c = 0; c < kClients; ++c)
        threads.emplace_back([&, c] {
            std::mt19937_64 random(std::uint64_t(c) + 1);
            auto client = std::make_unique<Client>(port);
            while (now_ms() < end) {
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
                record.line("client %d sends %s", c, id.c_str());
                client->send(sql);
                Reply reply = client->read_reply(sent + kClientPatienceMs);
                if (reply.kind == "cut" && reply.bytes == 0) {
                    // The close crossed a request that was not read: it is sent once more on a new
                    // connection.
                    record.line("client %d sends %s once more", c, id.c_str());
                    client = std::make_unique<Client>(port);
                    sent = now_ms();
                    client->send(sql);
                    reply = client->read_reply(sent + kClientPatienceMs);
                }
                double took = reply.at - sent;
                bool is_lost = took > d + kLateMs + kJudgeSlackMs || reply.kind == "cut";
                record.line("client %d %s d=%.0f%s: %s after %.0f ms%s", c, id.c_str(), d,
                            write ? " write" : "", reply.kind.c_str(), took, is_lost ? "  LOST" : "");
                if (reply.kind == "silent") client->close();
                {
                    std::lock_guard lock(mutex);
                    ++requests;
                    ++kinds[reply.kind];
                    lost += is_lost;
                    worst = std::max(worst, took - d);
                }
                sleep_ms(kPauseMs);
            }
        });
    for (auto& thread : threads) thread.join();
    bool crashed = !pooler.is_running();
    pooler.end(SIGTERM);
    std::string counts;
    for (auto& [kind, count] : kinds) counts += " " + kind + "=" + std::to_string(count);
    char line[300];
    std::snprintf(line, sizeof line,
                  "%d requests,%s; %d without a final answer in time, the worst %.0f ms after its time%s",
                  requests, counts.c_str(), lost, worst, crashed ? "; the pooler crashed" : "");
    record.line("%s", line);
    std::printf("%s\n", line);
    finish(crashed || lost > 0 ? 1 : 0);
}
