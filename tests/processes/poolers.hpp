// Poolers with links between them before one group of hosts.
#pragma once

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "processes/datagram_relay.hpp"
#include "processes/process.hpp"
#include "support/harness.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::testing {

// One group of three hosts, any of which may be primary, and poolers with links between them.
struct Poolers {
    static constexpr std::size_t kHosts = 3;
    Loop loop;
    Folder folder;
    Host hosts[kHosts];
    std::vector<std::unique_ptr<PgHost>> servers;
    DatagramRelay relay;
    std::vector<std::unique_ptr<Process>> processes;
    int ids = 0;

    explicit Poolers(std::size_t count) : relay(loop, count) {
        for (Host& host : hosts) servers.push_back(std::make_unique<PgHost>(loop, host));
        make_primary(0);
        std::ofstream(folder.path + "/peers.toml") << "[peers]\ncluster = \"test\"\n";
        processes.resize(count);
        for (std::size_t i = 0; i < count; ++i) start(i);
    }
    void make_primary(std::size_t n) {
        for (std::size_t i = 0; i < kHosts; ++i) hosts[i].primary = i == n;
    }
    void start(std::size_t i) {
        std::string peers, targets;
        for (std::size_t j = 0; j < processes.size(); ++j)
            if (j != i) peers += (peers.empty() ? "\"" : ",\"") + relay.address(i, j) + "\"";
        for (std::size_t h = 0; h < kHosts; ++h)
            targets += (h ? "," : "") + std::string("{\"uid\":\"h") + std::to_string(h) +
                       "\",\"endpoint\":\"" + servers[h]->address() +
                       "\",\"az\":\"a\",\"pod_group\":3,\"state\":\"ready\"}";
        std::string path = folder.path + "/p" + std::to_string(i) + ".json";
        std::ofstream(path) << "{\"name\":\"p" << i
                            << "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\","
                            << "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[" << peers << "],\"seed\":\""
                            << i + 1 << "\",\"limits\":{\"memory_mb\":64,\"sockets\":256},"
                            << "\"known\":{\"rev\":1,\"all\":true,\"targets\":[" << targets << "]},"
                            << R"("settings":{"azs":["a"],"fleetSize":3,"registryMode":"automatic",
"allowed":{"probing":true,"peerMessages":true,"cancel":true,"tryLimit":10,"connectTimeoutMs":5000},
"familyInfo":{"consistency":["update"],"oldestDataMs":[0],"serverChecks":"silent","sessionMarks":"client"},
"classes":[{"name":"booking-write","effect":"fragile","sloMs":20000,"hardLimitMs":40000,"worth":4}]}})";
        processes[i] = std::make_unique<Process>(
            folder.path, "p" + std::to_string(i),
            std::vector<std::string>{"serve", "--config", path, "--peers", folder.path + "/peers.toml"});
        REQUIRE(loop.until([&] { return processes[i]->said({"phase", "serving"}) > 0; }));
        relay.attach(i, processes[i]->port("poolers tell each other"));
    }
    // One write through that pooler, by a client of its own. Answered, by whichever host is primary.
    bool writes(std::size_t i) {
        auto at = transport::parse_socket_address("127.0.0.1:" +
                                                  std::to_string(processes[i]->port("front=\"pg\"")));
        Client client(loop, *at);
        std::string id = "00000000000000" + std::to_string(10 + ids++);
        std::string text = "/* id=" + id +
                           ",c=booking-write,d=40000,cluster=3 */ INSERT INTO kv (name, content) "
                           "VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING content";
        client.send(pg::Writer().startup("backend", "store").query(text).take());
        bool served = false;
        REQUIRE(loop.until([&] {
            served = client.in.find("INSERT 0 1") != std::string::npos;
            return served || client.closed || client.in.find("SERROR") != std::string::npos;
        }));
        return served;
    }
    int gossip_received(std::size_t i, const std::string& host) const {
        return processes[i]->said({"heard of a primary", "endpoint=\"" + host + "\""});
    }
};

}  // namespace indigovane::testing
