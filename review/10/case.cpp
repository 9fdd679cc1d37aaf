// Poolers of a fleet of 300 start where the list of hosts is asked for; three hosts have begun to drain just
// before.
#include "stand_ins.hpp"

using namespace rig;

namespace {
constexpr int kPoolers = 20;
constexpr int kHosts = 6, kDraining = 3;  // one group: a primary and five replicas, of which three drain
constexpr int kFleet = 300;
constexpr double kAskWithinMs = 10000, kDrainGraceMs = 2000, kSocketSlackMs = 50;
constexpr double kRunMs = 21000;

struct Fleet {
    std::mutex mutex;
    std::map<std::string, int> sender;  // request id -> pooler
    std::vector<double> started = std::vector<double>(kPoolers, 0);
    std::vector<int> late = std::vector<int>(kPoolers, 0);
    std::vector<int> before = std::vector<int>(kPoolers, 0);
};
}  // namespace

int main() {
    begin();
    Fleet fleet;
    Discovery discovery;
    std::vector<std::unique_ptr<Host>> hosts;
    std::atomic<bool> draining{false};
    for (int i = 0; i < kHosts; ++i) {
        auto host = std::make_unique<Host>("h" + std::to_string(i));
        host->primary = i == 0;
        host->position = [i] { return unix_ms() - (i ? 8 : 0); };
        bool drains = i >= 1 && i <= kDraining;
        host->received = [&fleet, &draining, drains](Host& self, const std::string& sql) {
            if (!drains || !draining) return;
            std::lock_guard lock(fleet.mutex);
            auto it = fleet.sender.find(field(sql, "id"));
            if (it == fleet.sender.end()) return;
            double since = now_ms() - fleet.started[std::size_t(it->second)];
            bool late = since > kAskWithinMs + kDrainGraceMs + kSocketSlackMs;
            ++(late ? fleet.late : fleet.before)[std::size_t(it->second)];
            if (late)
                record("%s: BROKEN: got %s from p%d, which started %.0f ms ago", self.uid.c_str(),
                       it->first.c_str(), it->second, since);
        };
        host->serve = [&draining, drains](Host& self, const std::string&, int) {
            sleep_ms(10);
            if (drains && draining) return self.error_answer("53300", "draining");
            return self.row_answer(std::string("\x9f\x03", 2), false);
        };
        host->start();
        discovery.add(*host);
        hosts.push_back(std::move(host));
    }
    discovery.start();
    std::string known = discovery.list(0, true);  // as the poolers last held it
    if (trouble) {
        draining = true;
        for (int i = 1; i <= kDraining; ++i) discovery.set_state("h" + std::to_string(i), "draining");
        record("discovery lists h1 to h%d as draining", kDraining);
    }
    Settings settings;
    settings.registry = "subscribe";
    settings.fleet = kFleet;
    std::vector<int> ports;
    std::vector<std::unique_ptr<Process>> poolers;
    for (int i = 0; i < kPoolers; ++i) {
        ports.push_back(free_port());
        poolers.push_back(std::make_unique<Process>());
        fleet.started[std::size_t(i)] = now_ms();
        start_pooler(*poolers.back(), "p" + std::to_string(i), ports.back(), discovery.address(), known,
                     settings.text());
    }
    for (int port : ports)
        if (!is_ready(port, 10000)) cannot_run("a pooler did not get ready");

    std::atomic<int> served{0}, refused{0}, other{0};
    std::vector<std::thread> clients;
    const double until = now_ms() + kRunMs;
    for (int c = 0; c < kPoolers; ++c)
        clients.emplace_back([&, c] {
            Client client(ports[std::size_t(c)]);
            if (!client.begin()) return;
            while (now_ms() < until && client.open()) {
                std::string id = new_id();
                {
                    std::lock_guard lock(fleet.mutex);
                    fleet.sender[id] = c;
                }
                record("client of p%d: sent %s", c, id.c_str());
                client.send(query(read_sql(id, "stock-view", 1000, "7f3a9c21e0b4d655")));
                Reply reply = client.next(1600);
                record("client of p%d: %s %s %s", c, id.c_str(), name(reply.kind), reply.code.c_str());
                ++(reply.kind == Reply::served ? served : reply.kind == Reply::refused ? refused : other);
                sleep_ms(20);
            }
        });
    for (auto& client : clients) client.join();
    poolers.clear();
    int broken = 0, sends = 0;
    for (int i = 0; i < kPoolers; ++i) {
        record("p%d: sent to draining hosts: %d in time, %d later than %.0f ms after the start", i,
               fleet.before[std::size_t(i)], fleet.late[std::size_t(i)],
               kAskWithinMs + kDrainGraceMs + kSocketSlackMs);
        broken += fleet.late[std::size_t(i)] > 0;
        sends += fleet.late[std::size_t(i)];
    }
    std::printf("served %d, refused %d, other %d; poolers that sent too late %d of %d, with %d requests\n",
                served.load(), refused.load(), other.load(), broken, kPoolers, sends);
    record("served %d, refused %d, other %d; poolers that sent too late %d of %d, with %d requests",
           served.load(), refused.load(), other.load(), broken, kPoolers, sends);
    if (served < 1000) cannot_run("too little was served");
    finish(broken > 0 ? 1 : 0);
}
