// Values of up to 64 KiB; some answers come in two pieces, with a pause between the value and the answer's
// end.
#include "../common/linge_host.hpp"
#include "../common/settings.hpp"

using namespace lab;

namespace {

constexpr int kGroup = 3;
constexpr double kRunMs = 30000;
constexpr double kPauseMs = 40;  // between a client's requests
constexpr int kClients = 8;
constexpr double kLateMs = 500 + 50;  // after its time an answer only earns nothing; limits are 50 ms longer
constexpr double kJudgeSlackMs = 50;  // for this machine's scheduling
constexpr double kPieceMs = 200;
constexpr double kClientPatienceMs = 10000;

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) cannot_run("usage: case RUN FOLDER");
    std::string folder = argv[2];
    Record record(folder + "/record.txt");
    bool trouble = with_trouble();
    std::vector<std::unique_ptr<LingeHost>> hosts;
    Discovery discovery;
    for (int i = 0; i < 4; ++i) {
        auto host = std::make_unique<LingeHost>();
        host->uid = "s-" + std::to_string(i);
        host->primary = i == 0;
        if (trouble) host->pause_ms = kPieceMs;
        host->has_large_values = true;
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
    int lost = 0;
    std::atomic<int> next{0};
    std::vector<std::thread> threads;
    double end = now_ms() + kRunMs;
    for (int c = 0; c < kClients; ++c)
        threads.emplace_back([&, c] {
            std::mt19937_64 random(std::uint64_t(c) + 1);
            auto client = std::make_unique<Client>(port);
            while (now_ms() < end) {
                if (!client->is_open()) client = std::make_unique<Client>(port);
                std::string id = hex_id(random());
                std::size_t size = size_of_value(id);
                double d = 800;  // a try is given up after 40 to 100% of 1 s
                std::string sql = "/* id=" + id + ",c=stock-view,t=lavage-rance,d=" + std::to_string(int(d)) +
                                  ",cluster=3 */ SELECT content FROM kv WHERE name = '" + hex_id(random()) +
                                  "'";
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
                // The pooler loses a request if it ends the client's connection without a whole answer.
                bool is_lost = took > d + kLateMs + kJudgeSlackMs || reply.kind == "cut" ||
                               (reply.kind == "served" && reply.value.size() != size);
                record.line("client %d %s d=%.0f value=%zu: %s after %.0f ms%s", c, id.c_str(), d, size,
                            reply.kind.c_str(), took, is_lost ? "  LOST" : "");
                if (reply.kind == "silent") client->close();
                {
                    std::lock_guard lock(mutex);
                    ++next;
                    ++kinds[reply.kind];
                    lost += is_lost;
                }
                sleep_ms(kPauseMs);
            }
        });
    for (auto& thread : threads) thread.join();
    bool crashed = !pooler.is_running();
    pooler.end(SIGTERM);
    std::string counts;
    for (auto& [kind, count] : kinds) counts += " " + kind + "=" + std::to_string(count);
    int paused = 0;
    for (auto& host : hosts) paused += host->paused;
    char line[300];
    std::snprintf(
        line, sizeof line,
        "%d requests,%s; %d answers in two pieces; %d requests lost: their connection ended without a "
        "whole answer, or the answer came too late%s",
        next.load(), counts.c_str(), paused, lost, crashed ? "; the pooler crashed" : "");
    record.line("%s", line);
    std::printf("%s\n", line);
    finish(crashed || lost > 0 ? 1 : 0);
}
