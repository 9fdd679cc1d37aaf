// A planned restart while a host hangs, with a class that clients give up after 5 s. Clients send on the
// connections that stay open. Are their requests answered when SIGKILL comes, 3.7 s after SIGTERM?
#include "rig.hpp"

using namespace rig;

int main() {
    constexpr int kClients = 4;
    constexpr double kKillAfterMs = 3000 + 700;  // the longest deadline counts as 3 s where it is longer
    constexpr double kSecondAfterMs = 1000;      // more than 0.7 s after SIGTERM
    Host primary("h0"), one("h1"), two("h2");
    primary.primary = true;
    std::vector<Host*> hosts{&primary, &one, &two};
    std::atomic<bool> hangs{false};
    primary.on_statement = [&](HostConnection& connection, const std::string& sql) {
        if (!hangs) {
            sleep_ms(80);
            connection.send(primary.answer(sql));
            return;
        }
        record("host h0 hangs with %s", field(sql, "id").c_str());
        std::string in;  // silent until the other side closes
        while (read_some(connection.fd, in, kForever) == 1) in.clear();
        connection.reset();
    };
    Discovery discovery;
    discovery.tell(targets(hosts));
    Pooler pooler;
    the_pooler = &pooler;
    SettingsText settings;
    settings.classes = {{"view", "recent", "retryable", 3000, 600, 2000, 5000, 1},
                        {"book", "update", "fragile", 0, 1500, 5000, 5000, 4}};
    pooler.settings = settings.json();
    pooler.write_config(discovery.port(), discovery.list());
    pooler.start();
    await_ready(pooler);
    sleep_ms(500);

    struct Caller {
        Client client;
        std::string first, second;
        double second_sent = 0;
        Answer first_answer, second_answer;
        std::thread reader;
    };
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < kClients; ++i) {
        auto caller = std::make_unique<Caller>();
        if (!caller->client.connect(pooler.port)) finish(2, "no connection to the pooler");
        std::string id = new_id();  // a connection in use, not a new one
        caller->client.send(query_message(read_statement(id, "view", 2000, "b1a0000000000001")));
        if (caller->client.answer(now_ms() + 3000).kind != Answer::Kind::served) finish(2, "no service");
        callers.push_back(std::move(caller));
    }
    hangs = trouble();
    double stopped = now_ms();
    if (trouble()) pooler.signal(SIGTERM);
    sleep_ms(100);
    for (auto& caller : callers) {
        caller->first = new_id();
        record("client sends %s, c=book d=5000", caller->first.c_str());
        caller->client.send(query_message(write_statement(caller->first, "book", 5000, "b1a0000000000002", caller->first)));
        caller->reader = std::thread([&, c = caller.get()] {
            double until = stopped + 9000;
            c->first_answer = c->client.answer(until);
            record("answer to %s: %s %s", c->first.c_str(), c->first_answer.text(), c->first_answer.code.c_str());
            c->second_answer = c->first_answer.kind == Answer::Kind::ended ? c->first_answer : c->client.answer(until);
            record("answer to %s: %s %s", c->second.c_str(), c->second_answer.text(), c->second_answer.code.c_str());
        });
        caller->second = new_id();
    }
    sleep_ms(stopped + kSecondAfterMs - now_ms());
    int sent = 0;
    for (auto& caller : callers) {
        pollfd entry{caller->client.fd, POLLRDHUP, 0};
        bool is_open = ::poll(&entry, 1, 0) == 0;
        if (!is_open && trouble()) continue;  // ended by the pooler: this client would connect elsewhere
        record("client sends %s, c=view d=2000, %.0f ms after SIGTERM", caller->second.c_str(), now_ms() - stopped);
        if (caller->client.send(query_message(read_statement(caller->second, "view", 2000, "b1a0000000000001")))) {
            caller->second_sent = now_ms();
            ++sent;
        }
    }
    sleep_ms(stopped + kKillAfterMs - now_ms());
    int status = 0;
    bool has_ended = pooler.has_ended(status);
    if (trouble()) {
        record("%.0f ms after SIGTERM: the pooler %s", now_ms() - stopped, has_ended ? "has ended" : "still runs");
        if (!has_ended) pooler.signal(SIGKILL);
    } else if (has_ended) {
        finish(2, "the pooler has ended by itself");
    }
    int lost = 0, answered = 0;
    for (auto& caller : callers) {
        caller->reader.join();
        if (caller->second_sent == 0) continue;
        bool is_answered = caller->second_answer.kind != Answer::Kind::ended && caller->second_answer.kind != Answer::Kind::none;
        ++(is_answered ? answered : lost);
    }
    if (!trouble() && answered != kClients) finish(2, "not all requests were answered");
    finish(lost > 0 ? 1 : 0, std::to_string(lost) + " of " + std::to_string(sent) +
                                 " requests that came 1 s after SIGTERM were unanswered at SIGKILL");
}
