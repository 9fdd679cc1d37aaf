// Real processes of the program before hosts whose answers prove that a statement ran, and that tell
// something else as well: data older than the read needs, or a refusal behind the row. What ran is not run
// again where its class does not allow it (docs/incidents/2026-12-02-repeated-session-reads.md).
#include "processes/harness.hpp"

namespace indigovane::testing {
namespace {

// Poolers before one group of a primary and two replicas. The class of session reads and the class of writes
// may not run twice.
struct Deployment {
    static constexpr std::size_t kHosts = 3;
    Loop loop;
    Folder folder;
    Host hosts[kHosts];
    std::vector<std::unique_ptr<PgHost>> servers;
    std::vector<std::unique_ptr<Process>> processes;
    int ids = 0;

    explicit Deployment(std::size_t poolers) {
        hosts[0].primary = true;
        for (Host& host : hosts) servers.push_back(std::make_unique<PgHost>(loop, host));
        for (std::size_t i = 0; i < poolers; ++i) start(i);
    }

    void start(std::size_t i) {
        std::string targets;
        for (std::size_t h = 0; h < kHosts; ++h)
            targets += (h ? "," : "") + std::string("{\"uid\":\"h") + std::to_string(h) +
                       "\",\"endpoint\":\"" + servers[h]->address() +
                       "\",\"az\":\"a\",\"pod_group\":3,\"state\":\"ready\",\"recovery\":\"" +
                       (h ? "on" : "off") + "\"}";
        std::string path = folder.path + "/p" + std::to_string(i) + ".json";
        std::ofstream(path) << "{\"name\":\"p" << i
                            << R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":")" << i + 1
                            << R"(","limits":{"memory_mb":64,"sockets":256},
"known":{"rev":1,"all":true,"targets":[)"
                            << targets << R"(]},
"settings":{"azs":["a"],"fleetSize":3,"registryMode":"automatic",
"allowed":{"probing":false,"cancel":true,"tryLimit":10,"connectTimeoutMs":5000},
"familyInfo":{"consistency":["own_writes","update"],"oldestDataMs":[0,0],"serverChecks":"hold",
"sessionMarks":"router"},
"classes":[{"name":"own-order","effect":"fragile","sloMs":10000,"hardLimitMs":20000,"worth":3},
{"name":"scan-write","effect":"fragile","sloMs":10000,"hardLimitMs":20000,"worth":6}]}})";
        processes.push_back(std::make_unique<Process>(folder.path, "p" + std::to_string(i),
                                                      std::vector<std::string>{"serve", "--config", path}));
        REQUIRE(loop.until([&] { return processes[i]->said({"phase", "serving"}) > 0; }));
    }

    std::unique_ptr<Client> client(std::size_t pooler) {
        auto port = processes[pooler]->port("front=\"pg\"");
        auto c =
            std::make_unique<Client>(loop, *transport::read_endpoint("127.0.0.1:" + std::to_string(port)));
        c->send(pg::Writer().startup("backend", "store").take());
        REQUIRE(c->reply() == "RZ");
        return c;
    }

    // One request of a session; the types of the messages that answer it.
    std::string ask(Client& c, bool write, int session) {
        char id[17], key[17];
        std::snprintf(id, sizeof id, "%016x", unsigned(++ids));
        std::snprintf(key, sizeof key, "%016x", unsigned(session));
        std::string head = "/* id=" + std::string(id) + ",d=20000,cluster=3,c=";
        c.send(pg::Writer()
                   .query(write ? head + "scan-write */ INSERT INTO kv (name, content) VALUES ('" + key +
                                      "', '\\x9f03') RETURNING content"
                                : head + "own-order */ SELECT content FROM kv WHERE name = '" + key + "'")
                   .take());
        return c.reply();
    }

    void wait(std::chrono::milliseconds length) {
        auto end = std::chrono::steady_clock::now() + length;
        REQUIRE(loop.until([&] { return std::chrono::steady_clock::now() >= end; }));
    }

    // How many hosts were sent the last request.
    int sent_to() const {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", unsigned(ids));
        int count = 0;
        for (const Host& host : hosts)
            for (const std::string& statement : host.asked) count += statement.find(id) != std::string::npos;
        return count;
    }
};

bool is_refusal(const std::string& code) {
    return code == "53300" || code == "57P03";
}

}  // namespace

TEST_CASE("execution: a session read whose answer was too old is not run again where its class forbids it") {
    Deployment d(3);
    d.hosts[1].lag_ms = d.hosts[2].lag_ms = 3'600'000;
    for (std::size_t pooler = 0; pooler < 3; ++pooler) {
        auto client = d.client(pooler);
        for (int n = 0; n < 40; ++n) {
            int session = 1 + n % 20;
            // At first right after the write; then once hosts count as having heard of it.
            if (n < 20) REQUIRE(d.ask(*client, true, session) == "TDCZ");
            if (n == 20) d.wait(300ms);
            std::string reply = d.ask(*client, false, session);
            CHECK(d.sent_to() == 1);
            // Old data is not passed on, and what has run is not refused: that would promise no effect.
            if (reply != "TDCZ") CHECK(reply == "EZ");
            if (reply != "TDCZ") CHECK(!is_refusal(client->code));
        }
    }
}

TEST_CASE("execution: a host that takes back its row has run the statement all the same") {
    for (const char* code : {"53300", "57P03", "25006", "72000", "XX000"}) {
        CAPTURE(std::string(code));
        Deployment d(1);
        for (Host& host : d.hosts) host.takes_back = code;
        auto client = d.client(0);
        for (int session = 1; session <= 5; ++session) {
            for (bool write : {true, false}) {
                CHECK(d.ask(*client, write, session) == "EZ");
                CHECK(!is_refusal(client->code));
                CHECK(d.sent_to() == 1);
            }
        }
    }
}

}  // namespace indigovane::testing
