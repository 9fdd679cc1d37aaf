// A new configuration moves discovery. The new discovery answers every call, each after 1.5 s. A host begins to
// drain. When does the pooler send it the last request?
#include "rig.hpp"

using namespace rig;

int main() {
    constexpr double kAnswerMs = 1500;
    constexpr double kToldMs = 6000;   // told at the latest 6 s after discovery had it and could be reached
    constexpr double kGraceMs = 1000;  // nothing new later than this after that
    constexpr double kSlackMs = 50 + 200;  // each limit is 50 ms longer; 200 ms for this machine
    Host primary("h0"), one("h1"), two("h2");
    primary.primary = true;
    std::vector<Host*> hosts{&primary, &one, &two};
    Discovery before, after;
    before.tell(targets(hosts));
    after.tell(targets(hosts));
    Pooler pooler;
    the_pooler = &pooler;
    SettingsText settings;
    settings.classes = {{"map", "recent", "retryable", 3000, 600, 2000, 5000, 1},
                        {"own", "own_writes", "retryable", 0, 500, 1200, 5000, 1},
                        {"book", "update", "fragile", 0, 1500, 5000, 5000, 4}};
    settings.mode = "subscribe";
    settings.drain_grace_ms = kGraceMs;
    pooler.settings = settings.json();
    pooler.write_config(before.port(), before.list());
    pooler.start();
    await_ready(pooler);

    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 4; ++i)
        clients.emplace_back([&] {
            Client client;
            if (!client.connect(pooler.port)) finish(2, "no connection to the pooler");
            while (!stop) {
                client.send(query_message(read_statement(new_id(), "map", 2000, "b1a0000000000001")));
                if (client.answer(now_ms() + 5000).kind == Answer::Kind::served) ++served;
                sleep_ms(100);
            }
        });
    sleep_ms(4000);  // the pooler has asked the first discovery by now
    after.delay_ms = trouble() ? kAnswerMs : 0;
    pooler.write_config(after.port(), after.list());
    pooler.signal(SIGHUP);
    sleep_ms(1000);
    two.state = "draining";
    after.tell(targets(hosts));
    before.tell(targets(hosts));
    double drains = now_ms();
    record("both discoveries have it now that host h2 drains");
    sleep_ms(20000);
    stop = true;
    for (auto& client : clients) client.join();
    double last = 0;
    int too_late = 0;
    for (const Sent& sent : two.sent()) {
        last = std::max(last, sent.at - drains);
        too_late += sent.at > drains + kToldMs + kGraceMs + kSlackMs;
    }
    if (served < 100) finish(2, "too few requests were served");
    char text[200];
    std::snprintf(text, sizeof text,
                  "%d requests were sent to the draining host later than 6 s and its grace of 1 s; the last one "
                  "%.1f s after discovery had the change",
                  too_late, last / 1000);
    finish(too_late > 0 ? 1 : 0, text);
}
