// A client sends two reads at once. The connection to the host that answers the first is reset in the middle
// of a value of 64 KiB. Has the second request got its answer?
#include "rig.hpp"

using namespace rig;

int main() {
    constexpr int kRounds = 5;
    Host primary("h0"), one("h1"), two("h2");
    primary.primary = true;
    std::vector<Host*> hosts{&primary, &one, &two};
    Discovery discovery;
    discovery.tell(targets(hosts));
    std::atomic<int> resets_due{0}, resets_done{0};
    for (Host* host : hosts) {
        host->set_value("b1a0000000000001", std::string(65536, 'v'));
        host->set_value("b1a0000000000002", std::string(100, 'w'));
        host->on_statement = [&, host](HostConnection& connection, const std::string& sql) {
            sleep_ms(40);
            std::string answer = host->answer(sql);
            if (literal(sql) == "b1a0000000000001" && resets_due.fetch_sub(1) > 0) {
                connection.send(answer.substr(0, answer.size() / 2));
                sleep_ms(20);
                record("host %s resets the connection of %s in the middle of its answer", host->name.c_str(),
                       field(sql, "id").c_str());
                ++resets_done;
                return connection.reset();
            }
            connection.send(answer);
        };
    }
    Pooler pooler;
    the_pooler = &pooler;
    pooler.settings = SettingsText().json();
    pooler.write_config(discovery.port(), discovery.list());
    pooler.start();
    await_ready(pooler);
    sleep_ms(500);

    int lost = 0, served = 0, begun_and_cut = 0;
    for (int round = 0; round < kRounds; ++round) {
        Client client;
        if (!client.connect(pooler.port)) finish(2, "no connection to the pooler");
        resets_due = trouble() ? 1 : 0;
        std::string first = new_id(), second = new_id();
        record("client sends %s (a value of 65536 bytes) and %s in one write", first.c_str(), second.c_str());
        client.send(query_message(read_statement(first, "view", 1000, "b1a0000000000001")) +
                    query_message(read_statement(second, "view", 1000, "b1a0000000000002")));
        double until = now_ms() + 4000;
        Answer a = client.answer(until);
        record("answer to %s: %s %s, %zu bytes", first.c_str(), a.text(), a.code.c_str(), a.value.size());
        Answer b = a.kind == Answer::Kind::ended ? a : client.answer(until);
        record("answer to %s: %s %s", second.c_str(), b.text(), b.code.c_str());
        // A value that was begun and cannot be finished has failed and is not lost: the first may be cut.
        if (a.kind == Answer::Kind::ended) ++begun_and_cut;
        if (a.kind == Answer::Kind::served && a.value != std::string(65536, 'v')) ++lost;
        if (b.kind == Answer::Kind::none || b.kind == Answer::Kind::ended) ++lost;
        if (b.kind == Answer::Kind::served) ++served;
        sleep_ms(200);
    }
    if (trouble() && resets_done == 0) finish(2, "no answer was reset");
    if (!trouble() && served != kRounds) finish(2, "not all requests were served");
    std::string counts = std::to_string(lost) + " of " + std::to_string(kRounds) +
                         " second requests got no answer; first values cut: " + std::to_string(begun_and_cut);
    finish(lost > 0 ? 1 : 0, counts);
}
