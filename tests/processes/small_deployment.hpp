// Real processes of the program before one group of hosts: a primary and two replicas.
#pragma once

#include "processes/harness.hpp"

namespace indigovane::testing {

// Poolers before one group of a primary and two replicas. The class of session reads and the class of writes
// may not run twice.
struct SmallDeployment {
    static constexpr std::size_t kHosts = 3;
    Loop loop;
    Folder folder;
    Host hosts[kHosts];
    std::vector<std::unique_ptr<PgHost>> servers;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<std::string> environment;  // of each process, further variables
    bool probing;
    int ids = 0;

    explicit SmallDeployment(std::size_t poolers, std::vector<std::string> variables = {},
                             bool probes = false)
        : environment(std::move(variables)), probing(probes) {
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
"allowed":{"probing":)" << (probing ? "true" : "false")
                            << R"(,"cancel":true,"tryLimit":10,"connectTimeoutMs":500},
"familyInfo":{"consistency":["own_writes","update"],"oldestDataMs":[0,0],"serverChecks":"hold",
"sessionMarks":"router"},
"classes":[{"name":"own-order","effect":"fragile","sloMs":1000,"hardLimitMs":2000,"worth":3},
{"name":"scan-write","effect":"fragile","sloMs":1000,"hardLimitMs":2000,"worth":6}]}})";
        processes.push_back(std::make_unique<Process>(folder.path, "p" + std::to_string(i),
                                                      std::vector<std::string>{"serve", "--config", path},
                                                      environment));
        REQUIRE(loop.until([&] { return processes[i]->said({"phase", "serving"}) > 0; }));
    }

    std::unique_ptr<Client> client(std::size_t pooler) {
        auto c = client_or_none(pooler);
        REQUIRE(c);
        return c;
    }
    // Nothing where the connection broke before the pooler's greeting.
    std::unique_ptr<Client> client_or_none(std::size_t pooler) {
        auto port = processes[pooler]->port("front=\"pg\"");
        auto c = std::make_unique<Client>(
            loop, *transport::parse_socket_address("127.0.0.1:" + std::to_string(port)));
        c->send(pg::Writer().startup("backend", "store").take());
        if (c->reply() != "RZ") c.reset();
        return c;
    }

    // Sends one request of a session; the types of the messages that answer it.
    std::string request(Client& c, bool write, int session) {
        char id[17], key[17];
        std::snprintf(id, sizeof id, "%016x", unsigned(++ids));
        std::snprintf(key, sizeof key, "%016x", unsigned(session));
        std::string head = "/* id=" + std::string(id) + ",d=2000,cluster=3,c=";
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

}  // namespace indigovane::testing
