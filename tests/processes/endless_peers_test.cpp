// Real processes of the program whose peers send without an end. The event loop must still reach its
// deadlines and the requests of all others: a turn of the loop that ran until no handler was ready never
// ended.
#include "processes/harness.hpp"
#include "processes/list_host.hpp"
#include "support/endless_sender.hpp"

namespace indigovane::testing {
namespace {

using Millis = std::chrono::milliseconds;

// A request is lost if it is answered later than this after its time (docs/acceptance.md).
constexpr Millis kLatest{500};
constexpr Millis kTimeout{800};  // of each request

// One pooler before a primary and two replicas, the second of which may be another stand-in.
struct EndlessPeersDeployment {
    Loop loop;
    Folder folder;
    Host hosts[3];
    std::vector<std::unique_ptr<StandIn>> servers;
    std::unique_ptr<Process> process;
    int ids = 0;

    enum class Wire { pg, rest };

    // `second_replica`, `discovery`: addresses; empty: a usual host, and no discovery.
    explicit EndlessPeersDeployment(Wire wire, std::string second_replica = "", std::string discovery = "") {
        hosts[0].primary = true;
        for (Host& host : hosts) host.rows["a1"] = "value";
        for (Host& host : hosts)
            if (wire == Wire::pg)
                servers.push_back(std::make_unique<PgHost>(loop, host));
            else
                servers.push_back(std::make_unique<RestHost>(loop, host));
        std::string addresses[] = {servers[0]->address(), servers[1]->address(),
                                   second_replica.empty() ? servers[2]->address() : second_replica};
        std::string targets;
        for (std::size_t h = 0; h < 3; ++h)
            targets += (h ? "," : "") + std::string("{\"uid\":\"h") + std::to_string(h) +
                       "\",\"endpoint\":\"" + addresses[h] +
                       "\",\"az\":\"a\",\"pod_group\":3,\"state\":\"ready\",\"recovery\":\"" +
                       (h ? "on" : "off") + "\"}";
        std::string path = folder.path + "/p.json", rest = folder.path + "/rest.json";
        std::ofstream(path) << R"({"name":"p","listen":"127.0.0.1:0","discovery":")"
                            << (discovery.empty() ? "127.0.0.1:9" : discovery)
                            << R"(","seed":"1","limits":{"memory_mb":64,"sockets":256},
"known":{"rev":1,"all":true,"targets":[)"
                            << targets
                            << R"(]},"settings":{"azs":["a"],"fleetSize":1,"registryMode":"automatic",
"allowed":{"probing":false,"cancel":true,"tryLimit":10,"connectTimeoutMs":250},
"familyInfo":{"consistency":["loose"],"oldestDataMs":[0],"serverChecks":"silent","sessionMarks":"client"},
"classes":[{"name":"view","effect":"retryable","sloMs":600,"hardLimitMs":800,"worth":1}]}})";
        std::ofstream(rest) << R"({"enabled":false,"members":")" << (wire == Wire::pg ? "pg" : "rest")
                            << "\"}";
        process = std::make_unique<Process>(
            folder.path, "p", std::vector<std::string>{"serve", "--config", path, "--rest", rest});
        REQUIRE(loop.until([&] { return process->said({"phase", "serving"}) > 0; }));
    }
    transport::SocketAddress address() {
        return *transport::parse_socket_address("127.0.0.1:" + std::to_string(process->port("front=\"pg\"")));
    }
    std::unique_ptr<Client> client() {
        auto client = std::make_unique<Client>(loop, address());
        client->send(pg::Writer().startup("backend", "store").take());
        CHECK(client->reply() == "RZ");
        return client;
    }
    struct Answer {
        std::string messages;
        Millis time;
    };
    Answer request(Client& client) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", unsigned(++ids));
        auto begin = std::chrono::steady_clock::now();
        client.send(pg::Writer()
                        .query("/* id=" + std::string(id) + ",c=view,d=" + std::to_string(kTimeout.count()) +
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

std::string notices() {
    std::string notice = pg::Writer().plain('N', std::string("SNOTICE\0C00000\0Mgoes on\0\0", 25)).take();
    std::string chunk;
    while (chunk.size() < 100000) chunk += notice;
    return chunk;
}

}  // namespace

TEST_CASE("endless peers: a PostgreSQL host whose answer never ends delays no request beyond its time") {
    EndlessServer host(pg::Writer().authentication_ok().ready().take(),
                       pg::Writer().row_description({{"content", 17, true}}).take(), notices());
    EndlessPeersDeployment d(EndlessPeersDeployment::Wire::pg, host.address());
    CHECK(d.served_of(12) == 12);  // the answer is given up and the read retried
    CHECK(host.begun() > 0);
}

TEST_CASE("endless peers: a REST host whose interim responses never end delays no request beyond its time") {
    std::string interim;
    while (interim.size() < 100000) interim += "HTTP/1.1 102 Processing\r\n\r\n";
    EndlessServer host("", "", interim);
    EndlessPeersDeployment d(EndlessPeersDeployment::Wire::rest, host.address());
    CHECK(d.served_of(12) == 12);  // the answer is given up and the read retried
    CHECK(host.begun() > 0);
}

TEST_CASE("endless peers: a discovery service whose interim responses never end delays no request") {
    std::string interim;
    while (interim.size() < 100000) interim += "HTTP/1.1 102 Processing\r\n\r\n";
    EndlessServer discovery("", "", interim);
    EndlessPeersDeployment d(EndlessPeersDeployment::Wire::pg, "", discovery.address());
    REQUIRE(d.loop.until([&] { return discovery.begun() > 0; }));
    CHECK(d.served_of(20) == 20);
    CHECK(d.loop.until([&] {
        return d.process->said({"discovery", "a call to the discovery service failed"}) > 0;
    }));
}

TEST_CASE("endless peers: clients that send commands without a pause delay no other client's request") {
    EndlessPeersDeployment d(EndlessPeersDeployment::Wire::pg);
    std::string flush, statements;
    while (flush.size() < 100000) flush += pg::Writer().plain('H', "").take();
    while (statements.size() < 100000) statements += pg::Writer().query("x").take();
    std::string hello = pg::Writer().startup("backend", "store").take();
    for (const std::string& chunk : {flush, statements}) {
        EndlessClients clients(d.address(), 8, hello, chunk);
        REQUIRE(d.loop.until([&] { return clients.begun() == 8; }));
        CHECK(d.served_of(20) == 20);
    }
}

}  // namespace indigovane::testing
