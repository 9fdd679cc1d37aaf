// A planned restart while clients send several commands at once on their connections.
#include "stand_ins.hpp"

using namespace rig;

namespace {
constexpr int kClients = 6;
constexpr int kAtOnce = 4;         // commands of a client that are out at a time
constexpr double kServiceMs = 60;  // work of a read
constexpr double kLongestDeadlineMs = 2000;

struct Sent {
    double at;
    std::string id;
};
struct Tally {
    std::mutex mutex;
    int sent = 0, served = 0, refused = 0, failed = 0, lost = 0, resent = 0;
};
}  // namespace

int main() {
    begin();
    std::vector<std::unique_ptr<Host>> hosts;
    Discovery discovery;
    for (int i = 0; i < 3; ++i) {
        auto host = std::make_unique<Host>("h" + std::to_string(i));
        host->primary = i == 0;
        host->position = [i] { return unix_ms() - (i ? 8 : 0); };
        host->serve = [](Host& self, const std::string& sql, int) {
            sleep_ms(kServiceMs);
            bool write = sql.find("INSERT") != std::string::npos;
            if (write && !self.primary) return self.error_answer("25006", "read-only");
            return self.row_answer(std::string("\x9f\x03", 2), write);
        };
        host->start();
        discovery.add(*host);
        hosts.push_back(std::move(host));
    }
    discovery.start();
    Settings settings;
    settings.longest_write_ms = kLongestDeadlineMs;
    int port = free_port();
    Process pooler;
    start_pooler(pooler, "p0", port, discovery.address(), discovery.list(0, true), settings.text());
    if (!is_ready(port, 10000)) cannot_run("the pooler did not get ready");

    std::atomic<bool> stop{false};
    std::atomic<double> term_at{-1}, kill_at{-1};
    Tally tally;
    std::vector<std::thread> clients;
    for (int c = 0; c < kClients; ++c)
        clients.emplace_back([&, c] {
            Client client(port);
            if (!client.begin()) return;
            std::vector<Sent> out;
            auto submit = [&] {
                Sent sent{0, new_id()};
                std::string sql =
                    read_sql(sent.id, "stock-view", 1000, "7f3a9c21e0b4d65" + std::to_string(c));
                if (!client.send(query(sql))) return false;
                sent.at = now_ms();
                record("client %d: sent %s", c, sent.id.c_str());
                out.push_back(sent);
                std::lock_guard lock(tally.mutex);
                ++tally.sent;
                return true;
            };
            while (!stop) {
                while (int(out.size()) < kAtOnce && submit()) {
                }
                if (out.empty()) break;
                Reply reply = client.next(200);
                if (reply.kind == Reply::closed) break;
                if (reply.kind == Reply::none) continue;
                record("client %d: %s %s %s", c, out.front().id.c_str(), name(reply.kind),
                       reply.code.c_str());
                out.erase(out.begin());
                std::lock_guard lock(tally.mutex);
                ++(reply.kind == Reply::served    ? tally.served
                   : reply.kind == Reply::refused ? tally.refused
                                                  : tally.failed);
            }
            // What is still out gets its time.
            while (!out.empty()) {
                Reply reply = client.next(1600);
                if (reply.kind == Reply::closed || reply.kind == Reply::none) break;
                record("client %d: %s %s %s", c, out.front().id.c_str(), name(reply.kind),
                       reply.code.c_str());
                out.erase(out.begin());
                std::lock_guard lock(tally.mutex);
                ++(reply.kind == Reply::served    ? tally.served
                   : reply.kind == Reply::refused ? tally.refused
                                                  : tally.failed);
            }
            // A closed connection: what the pooler had not read may be sent once more on a new connection.
            // While the pooler listens that is done here. What SIGKILL finds unanswered is lost if it came
            // more than 0.7 s after SIGTERM.
            double term = term_at, killed = kill_at;
            for (const Sent& sent : out) {
                bool late = term >= 0 && sent.at > term + 700;
                bool at_kill = killed >= 0 && now_ms() >= killed - 1;
                const char* verdict = late && at_kill ? "LOST: unanswered at SIGKILL" : "unanswered, excused";
                record("client %d: %s sent %.0f ms after SIGTERM: %s", c, sent.id.c_str(), sent.at - term,
                       verdict);
                std::lock_guard lock(tally.mutex);
                if (late && at_kill) ++tally.lost;
                if (term < 0) ++tally.lost;
            }
        });
    sleep_ms(2000);
    if (trouble) {
        term_at = now_ms();
        record("SIGTERM to pooler");
        pooler.send(SIGTERM);
        double kill_after = kLongestDeadlineMs + 700 + 100;
        while (now_ms() < term_at + kill_after && !pooler.ended()) sleep_ms(5);
        kill_at = now_ms();
        if (pooler.ended())
            record("the pooler had ended %.0f ms after SIGTERM, status %d", kill_at - term_at, pooler.status);
        else
            record("SIGKILL %.0f ms after SIGTERM", kill_at - term_at);
        if (pooler.ended()) kill_at = -1;
        pooler.end();
        stop = true;
    } else {
        sleep_ms(2800);
        stop = true;
    }
    for (auto& client : clients) client.join();
    pooler.end();
    std::printf("sent %d, served %d, refused %d, failed %d, lost %d\n", tally.sent, tally.served,
                tally.refused, tally.failed, tally.lost);
    record("sent %d, served %d, refused %d, failed %d, lost %d", tally.sent, tally.served, tally.refused,
           tally.failed, tally.lost);
    if (tally.served < 20) cannot_run("too little was served");
    finish(tally.lost > 0 ? 1 : 0);
}
