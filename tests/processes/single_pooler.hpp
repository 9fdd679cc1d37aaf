// One real process of the program before a group of three stand-in hosts, and requests of sound clients that
// are answered in time.
#pragma once

#include "processes/harness.hpp"

namespace indigovane::testing {

using Millis = std::chrono::milliseconds;

// A request is lost if it is answered later than this after its time (docs/acceptance.md).
constexpr Millis kLatest{500};
constexpr Millis kTimeout{800};  // of each request

// One pooler before a primary and two replicas, the second of which may be another stand-in.
struct SinglePooler {
    Loop loop;
    Folder folder;
    Host hosts[3];
    std::vector<std::unique_ptr<StandIn>> servers;
    std::unique_ptr<Process> process;
    int ids = 0;

    enum class Wire { pg, rest };
    struct Options {
        Wire wire = Wire::pg;             // of the hosts
        std::string primary = {};         // an address; empty: a usual host
        std::string replicas = {};        // an address for both; empty: usual hosts
        std::string second_replica = {};  // an address; empty: a usual host
        std::string discovery = {};       // an address; empty: none
        std::size_t memory_mb = 64;
        std::size_t sockets = 256;
        bool has_rest_front = false;
        bool may_cancel = true;
    };

    explicit SinglePooler(const Options& options) {
        hosts[0].primary = true;
        for (Host& host : hosts) host.rows["a1"] = "value";
        for (Host& host : hosts)
            if (options.wire == Wire::pg)
                servers.push_back(std::make_unique<PgHost>(loop, host));
            else
                servers.push_back(std::make_unique<RestHost>(loop, host));
        std::string addresses[] = {
            options.primary.empty() ? servers[0]->address() : options.primary,
            options.replicas.empty() ? servers[1]->address() : options.replicas,
            options.second_replica.empty() ? servers[2]->address() : options.second_replica};
        if (!options.replicas.empty()) addresses[2] = options.replicas;
        std::string targets;
        for (std::size_t h = 0; h < 3; ++h)
            targets += (h ? "," : "") + std::string("{\"uid\":\"h") + std::to_string(h) +
                       "\",\"endpoint\":\"" + addresses[h] +
                       "\",\"az\":\"a\",\"pod_group\":3,\"state\":\"ready\",\"recovery\":\"" +
                       (h ? "on" : "off") + "\"}";
        std::string path = folder.path + "/p.json", rest = folder.path + "/rest.json";
        std::ofstream(path) << R"({"name":"p","listen":"127.0.0.1:0","discovery":")"
                            << (options.discovery.empty() ? "127.0.0.1:9" : options.discovery)
                            << R"(","seed":"1","limits":{"memory_mb":)" << options.memory_mb
                            << ",\"sockets\":" << options.sockets << R"(},
"known":{"rev":1,"all":true,"targets":[)"
                            << targets
                            << R"(]},"settings":{"azs":["a"],"fleetSize":1,"registryMode":"automatic",
"allowed":{"probing":false,"tryLimit":10,"connectTimeoutMs":250,"cancel":)"
                            << (options.may_cancel ? "true" : "false") << R"(},
"familyInfo":{"consistency":["loose","loose","update"],"oldestDataMs":[0,0,0],"serverChecks":"silent",
"sessionMarks":"client"},
"classes":[{"name":"view","effect":"retryable","sloMs":600,"hardLimitMs":800,"worth":1},
{"name":"page","effect":"retryable","sloMs":600,"hardLimitMs":2000,"worth":1},
{"name":"order","effect":"fragile","sloMs":600,"hardLimitMs":2000,"worth":6}]}})";
        std::ofstream(rest) << R"({"enabled":)" << (options.has_rest_front ? "true" : "false")
                            << R"(,"listen":"127.0.0.1:0","page_size_most":500,"connections":512,"members":")"
                            << (options.wire == Wire::pg ? "pg" : "rest") << "\"}";
        process = start_process("p");
    }
    // Starts a process, a successor of the one before it if that still runs, and waits until it serves.
    std::unique_ptr<Process> start_process(const std::string& log_name) {
        auto started =
            std::make_unique<Process>(folder.path, log_name,
                                      std::vector<std::string>{"serve", "--config", folder.path + "/p.json",
                                                               "--rest", folder.path + "/rest.json"});
        REQUIRE(loop.until([&] { return started->said({"phase", "serving"}) > 0; }));
        return started;
    }
    transport::SocketAddress address(const std::string& front = "pg") {
        return *transport::parse_socket_address("127.0.0.1:" +
                                                std::to_string(process->port("front=\"" + front + "\"")));
    }
    std::unique_ptr<Client> client() {
        auto client = std::make_unique<Client>(loop, address());
        client->send(pg::Writer().startup("backend", "store").take());
        CHECK(client->reply() == "RZ");
        return client;
    }
    std::string next_id() {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", unsigned(++ids));
        return id;
    }
    void wait(Millis length) {
        auto end = std::chrono::steady_clock::now() + length;
        REQUIRE(loop.until([&] { return std::chrono::steady_clock::now() >= end; }));
    }
    struct Answer {
        std::string messages;
        Millis time;
    };
    Answer request(Client& client) {
        auto begin = std::chrono::steady_clock::now();
        client.send(pg::Writer()
                        .query("/* id=" + next_id() + ",c=view,d=" + std::to_string(kTimeout.count()) +
                               ",cluster=3 */ SELECT content FROM kv WHERE name = 'a1'")
                        .take());
        std::string messages = client.reply();
        return {messages, std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - begin)};
    }
    // Sends requests one after the other; each has to be answered in time. How many were served.
    int served_of(int count) {
        auto busy = client();
        int served = 0;
        for (int i = 0; i < count; ++i) {
            Answer answer = request(*busy);
            CHECK(answer.time <= kTimeout + kLatest);
            served += answer.messages == "TDCZ";
        }
        return served;
    }
};

}  // namespace indigovane::testing
