// A few bad clients send one statement each, no longer than a sound write, whose comment names very many
// fields, and go. Do the requests of sound clients still get their final answers in time?
#include "rig.hpp"

using namespace rig;

namespace {

// A statement of about `bytes` bytes. Its comment has the known fields and then many more, no two alike.
std::string crowded_statement(std::size_t bytes) {
    static const char* kLetters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string sql = "/* id=" + new_id() + ",c=view,t=north,d=1000,cluster=1";
    for (unsigned i = 0; sql.size() + 60 < bytes; ++i)
        sql += std::string(",") + kLetters[i % 36] + kLetters[i / 36 % 36] + kLetters[i / 1296 % 36] + "=";
    return sql + " */ SELECT content FROM kv WHERE name = 'b1a0000000000001'";
}
std::string plain_statement(std::size_t bytes) {
    std::string sql = "/* id=" + new_id() + ",c=stamp,t=north,d=2000,k=" + new_id() +
                      ",cluster=1 */ INSERT INTO kv (name, content) VALUES ('b1a0000000000009', '\\x";
    return sql + std::string((bytes - sql.size() - 40) / 2 * 2, '0') + "') RETURNING content";
}

}  // namespace

int main() {
    constexpr int kBadClients = 10;
    constexpr std::size_t kBytes = 131000;  // a write of a 64 KiB value has 131,072 digits
    constexpr int kSoundClients = 6;
    constexpr double kGraceMs = 500;  // up to half a second after its time a request only earns nothing
    Host primary("h0"), one("h1"), two("h2");
    primary.primary = true;
    std::vector<Host*> hosts{&primary, &one, &two};
    Discovery discovery;
    discovery.tell(targets(hosts));
    Pooler pooler;
    the_pooler = &pooler;
    pooler.settings = SettingsText().json();
    pooler.write_config(discovery.port(), discovery.list());
    pooler.start();
    await_ready(pooler);
    sleep_ms(500);

    std::atomic<bool> stop{false};
    std::atomic<int> total{0}, served{0}, late{0};
    std::atomic<double> longest{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < kSoundClients; ++i)
        threads.emplace_back([&, i] {
            while (!stop) {
                Client client;
                if (!client.connect(pooler.port)) {
                    sleep_ms(100);
                    continue;
                }
                while (!stop) {
                    bool is_own = i % 2 == 0;
                    int wait = is_own ? 600 : 1000;
                    std::string id = new_id();
                    double sent = now_ms();
                    record("client %d: sent %s, d=%d", i, id.c_str(), wait);
                    client.send(query_message(read_statement(id, is_own ? "own" : "view", wait,
                                                             "b1a000000000010" + std::to_string(i))));
                    Answer answer = client.answer(sent + wait + kGraceMs);
                    double took = answer.at - sent;
                    record("client %d: %s %s %s", i, id.c_str(), answer.text(), answer.code.c_str());
                    ++total;
                    if (took > longest) longest = took;
                    if (answer.kind == Answer::Kind::served) ++served;
                    if (answer.kind == Answer::Kind::none || answer.kind == Answer::Kind::ended) {
                        ++late;
                        record("request %s, d=%d: %s after %.0f ms", id.c_str(), wait, answer.text(), took);
                        break;  // this client gives up and connects again
                    }
                    sleep_ms(50);
                }
            }
        });
    sleep_ms(1500);
    std::vector<std::unique_ptr<Client>> bad;
    for (int i = 0; i < kBadClients; ++i) {
        bad.push_back(std::make_unique<Client>());
        if (!bad.back()->connect(pooler.port)) finish(2, "no connection to the pooler");
    }
    for (auto& client : bad) {
        std::string sql = trouble() ? crowded_statement(kBytes) : plain_statement(kBytes);
        record("a client sends a statement of %zu bytes: %.100s...", sql.size(), sql.c_str());
        client->send(query_message(sql));
    }
    sleep_ms(5000);
    record("these clients close their connections and have read nothing");
    for (auto& client : bad) client->close();
    sleep_ms(18000);
    stop = true;
    for (auto& thread : threads) thread.join();
    int status = 0;
    if (pooler.has_ended(status)) finish(1, "the pooler has ended");
    if (total < 100 && late == 0) finish(2, "too few requests");
    char text[200];
    std::snprintf(
        text, sizeof text,
        "%d of %d requests of sound clients had no answer half a second after their time; served %d, "
        "longest %.0f ms",
        int(late), int(total), int(served), double(longest));
    finish(late > 0 ? 1 : 0, text);
}
