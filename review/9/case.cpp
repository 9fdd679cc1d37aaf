// A zone of three of the ten hosts, the replicas of one group, is lost for 5 s and returns cold; clients
// retry at once. Too much for them?
#include <cmath>
#include <random>

#include "stand_ins.hpp"

using namespace rig;

namespace {
constexpr int kPoolers = 60, kClients = 10;  // clients of each pooler
constexpr int kReplicas = 3, kOthers = 6;    // of the group with the traffic; hosts of another group
constexpr int kCores = 3, kWaitingRoom = 60;
constexpr double kWorkMs = 30;  // of a read on one core
constexpr double kLoad = 0.9;   // of what the replicas can do
constexpr int kRetries = 3;     // at once, whatever time a refusal names
constexpr double kAwayMs = 5000;
constexpr double kColdFrom = 0.2, kRampMs = 17000, kFallMultiple = 2.5, kFallMs = 2000;

// A host's cores and its waiting room. Cold, it is slower by its share.
struct Machine {
    std::mutex mutex;
    std::condition_variable core_free;
    int busy = 0, waiting = 0;
    std::atomic<double> started{-1};
    int life = 0;                  // of the process
    std::vector<double> arrivals;  // since its start

    double share_at(double at) const {
        if (started < 0) return 1;
        return std::min(1.0, kColdFrom + (1 - kColdFrom) * (at - started) / kRampMs);
    }
    // False: turned away, or the process has died.
    bool work() {
        std::unique_lock lock(mutex);
        const int mine = life;
        if (waiting >= kWaitingRoom) return false;
        ++waiting;
        core_free.wait(lock, [&] { return busy < kCores || life != mine; });
        if (life != mine) return false;
        --waiting;
        ++busy;
        lock.unlock();
        sleep_ms(kWorkMs / share_at(now_ms()));
        lock.lock();
        if (life != mine) return false;
        --busy;
        core_free.notify_one();
        return true;
    }
    // All that it held is gone.
    void die() {
        std::lock_guard lock(mutex);
        ++life;
        busy = waiting = 0;
        core_free.notify_all();
    }
    // N + 2 x root of N + 2 requests of mean work in kFallMs, N for what it can do at the window's end.
    double allowed(double at) const {
        double n = kFallMultiple * share_at(at) * kCores * kFallMs / kWorkMs;
        return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
    }
};
}  // namespace

int main() {
    begin();
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Host>> hosts;
    Discovery discovery;
    for (int i = 0; i < 1 + kReplicas + kOthers; ++i) {
        machines.push_back(std::make_unique<Machine>());
        Machine& machine = *machines.back();
        auto host = std::make_unique<Host>("h" + std::to_string(i));
        host->zone = i >= 1 && i <= kReplicas ? "b" : i % 2 ? "a" : "c";
        host->group = i <= kReplicas ? 1 : 2;
        host->primary = i == 0 || i == 1 + kReplicas;
        bool primary = host->primary;
        host->position = [primary] { return unix_ms() - (primary ? 0 : 8); };
        host->received = [&machine](Host&, const std::string&) {
            std::lock_guard lock(machine.mutex);
            if (machine.started >= 0) machine.arrivals.push_back(now_ms());
        };
        host->serve = [&machine](Host& self, const std::string&, int) {
            return machine.work() ? self.row_answer("v", false) : self.error_answer("53300", "queue full");
        };
        host->start();
        discovery.add(*host);
        hosts.push_back(std::move(host));
    }
    discovery.start();
    Settings settings;
    settings.fleet = kPoolers;
    settings.zones = "\"a\",\"b\",\"c\"";
    std::vector<int> ports;
    std::vector<std::unique_ptr<Process>> poolers;
    for (int i = 0; i < kPoolers; ++i) {
        ports.push_back(free_port());
        poolers.push_back(std::make_unique<Process>());
        start_pooler(*poolers.back(), "p" + std::to_string(i), ports.back(), discovery.address(),
                     discovery.list(0, true), settings.text());
    }
    for (int port : ports)
        if (!is_ready(port, 10000)) cannot_run("a pooler did not get ready");

    const double rate = kLoad * kReplicas * kCores / kWorkMs / (kPoolers * kClients);  // of a client, per ms
    std::atomic<bool> stop{false};
    std::atomic<int> first_tries{0}, served{0}, refused{0}, other{0};
    std::vector<std::thread> clients;
    for (int c = 0; c < kPoolers * kClients; ++c)
        clients.emplace_back([&, c] {
            Client client(ports[std::size_t(c % kPoolers)]);
            if (!client.begin()) return;
            std::mt19937 random{std::uint32_t(c)};
            std::exponential_distribution<double> pause(rate);
            double next = now_ms();
            while (!stop) {
                next = std::max(next + pause(random), now_ms() - 500);
                while (!stop && now_ms() < next) sleep_ms(std::min(50.0, next - now_ms()));
                if (stop) break;
                ++first_tries;
                for (int k = 0; k <= kRetries; ++k) {
                    std::string id = new_id();
                    record("client %d: sent %s, try %d", c, id.c_str(), k);
                    client.send(query(read_sql(id, "stock-view", 1000, "7f3a9c21e0b4d655", k ? ",r=1" : "")));
                    Reply reply = client.next(1600);
                    record("client %d: %s %s %s, D %d", c, id.c_str(), name(reply.kind), reply.code.c_str(),
                           reply.come_again_ms);
                    ++(reply.kind == Reply::served ? served : reply.kind == Reply::refused ? refused : other);
                    if (reply.kind == Reply::served || !client.open()) break;
                }
            }
        });
    sleep_ms(5000);
    record("before: first tries %d, served %d, refused %d, other %d", first_tries.load(), served.load(),
           refused.load(), other.load());
    std::printf("before: first tries %d served %d\n", first_tries.load(), served.load());
    for (int i = 1; trouble && i <= kReplicas; ++i) {
        Host& host = *hosts[std::size_t(i)];
        host.die();
        machines[std::size_t(i)]->die();
        record("%s has died", host.uid.c_str());
    }
    if (trouble) sleep_ms(kAwayMs);
    for (int i = 1; trouble && i <= kReplicas; ++i) {
        Host& host = *hosts[std::size_t(i)];
        machines[std::size_t(i)]->started = now_ms();
        host.start();
        discovery.set_started(host.uid, unix_ms());
        record("%s has started again, cold; discovery tells it", host.uid.c_str());
    }
    sleep_ms(10000);
    stop = true;
    for (auto& client : clients) client.join();
    poolers.clear();

    int fallen = 0;
    for (int i = 1; i <= kReplicas; ++i) {
        Machine& machine = *machines[std::size_t(i)];
        const std::vector<double>& got = machine.arrivals;
        double worst = 0, worst_at = 0, first_fall = -1;
        std::size_t worst_count = 0;
        for (std::size_t from = 0, to = 0; to < got.size(); ++to) {
            while (got[to] - got[from] > kFallMs) ++from;
            double part = double(to - from + 1) / machine.allowed(got[to]);
            if (part > 1 && first_fall < 0) first_fall = got[to] - machine.started;
            if (part > worst) worst = part, worst_at = got[to], worst_count = to - from + 1;
        }
        fallen += worst > 1;
        record(
            "h%d: got %zu requests since its start; worst window %zu where %.0f are allowed (%.2f), up to "
            "%.0f ms after "
            "its start; over the limit first %.0f ms after it",
            i, got.size(), worst_count, worst > 0 ? machine.allowed(worst_at) : 0.0, worst,
            worst_at - machine.started, first_fall);
        std::printf("h%d: worst window %.2f of what is allowed; ", i, worst);
    }
    std::printf("hosts pushed over %d of %d; first tries %d, served %d, refused %d, other %d\n", fallen,
                kReplicas, first_tries.load(), served.load(), refused.load(), other.load());
    record("hosts pushed over %d of %d; first tries %d, served %d, refused %d, other %d", fallen, kReplicas,
           first_tries.load(), served.load(), refused.load(), other.load());
    if (served < 500) cannot_run("too little was served");
    finish(fallen > 0 ? 1 : 0);
}
