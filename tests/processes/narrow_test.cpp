// Real processes of the program in narrow moments: descriptors that idle clients exhaust while discovery is
// down, restarts while discovery and hosts are unreachable, shutdown right after the start.
#include <sys/resource.h>

#include "processes/site_harness.hpp"

namespace indigovane::testing {
namespace {

// One group: a primary and a replica, and discovery behind a relay.
struct Narrow {
    Loop loop;
    Folder folder;
    Host agent, hosts[3];
    std::vector<std::unique_ptr<PgHost>> servers;
    ListHost list{loop, agent};
    StreamRelay list_way{loop, list.address()};
    std::vector<std::unique_ptr<Process>> processes;
    int ids = 0;

    explicit Narrow(std::size_t count) : processes(count) {
        hosts[0].primary = true;
        for (Host& host : hosts) servers.push_back(std::make_unique<PgHost>(loop, host));
        list.publish(targets("ready"));
    }
    std::string targets(const std::string& last) {
        std::string out;
        for (std::size_t h = 0; h < 3; ++h)
            out += (h ? "," : "") + std::string("{\"uid\":\"h") + std::to_string(h) + "\",\"endpoint\":\"" +
                   servers[h]->address() + "\",\"az\":\"a\",\"pod_group\":3,\"recovery\":\"" +
                   (h ? "on" : "off") + "\",\"state\":\"" + (h == 2 ? last : "ready") + "\"}";
        return out;
    }
    void start(std::size_t i, int sockets) {
        std::string path = folder.path + "/p" + std::to_string(i) + ".json";
        std::ofstream(path) << "{\"name\":\"p" << i << "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                            << list_way.address() << "\",\"seed\":\"" << i + 1
                            << "\",\"limits\":{\"memory_mb\":64,\"sockets\":" << sockets
                            << "},\"known\":{\"rev\":1,\"all\":true,\"targets\":[" << targets("ready")
                            << R"(]},"settings":{"azs":["a"],"fleetSize":3,"registryMode":"automatic",
"allowed":{"probing":true,"cancel":true,"tryLimit":10,"connectTimeoutMs":5000},
"familyInfo":{"consistency":["loose"],"oldestDataMs":[0],"serverChecks":"silent","sessionMarks":"client"},
"classes":[{"name":"view","effect":"retryable","sloMs":20000,"hardLimitMs":40000,"worth":1}]}})";
        processes[i] = std::make_unique<Process>(folder.path, "p" + std::to_string(i),
                                                 std::vector<std::string>{"serve", "--config", path});
    }
    // Ready: it answers an empty query.
    void await_ready(std::size_t i) {
        REQUIRE(loop.until([&] { return processes[i]->said({"phase", "serving"}) > 0; }));
        Client c(loop, at(i));
        c.send(pg::Writer().startup("backend", "store").query("").take());
        CHECK(c.reply() == "RZ");
        CHECK(c.reply() == "IZ");
    }
    transport::SocketAddress at(std::size_t i) {
        return *transport::parse_socket_address("127.0.0.1:" +
                                                std::to_string(processes[i]->port("front=\"pg\"")));
    }
    std::string request(Client& c) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", unsigned(++ids));
        c.send(pg::Writer()
                   .query("/* id=" + std::string(id) +
                          ",c=view,d=40000,cluster=3 */ SELECT content FROM kv WHERE name = 'a1'")
                   .take());
        return c.reply();
    }
};

TEST_CASE("narrow processes: idle clients fill the descriptors while discovery is down, and stay") {
    for (bool unresponsive : {false, true}) {
        Narrow n(1);
        n.list_way.set(
            {.blocks_responses = unresponsive, .blocks_requests = unresponsive, .reset = !unresponsive});
        constexpr int kSockets = 96;
        n.start(0, kSockets);
        rlimit most{kSockets, kSockets};
        REQUIRE(::prlimit(n.processes[0]->id(), RLIMIT_NOFILE, &most, nullptr) == 0);
        n.await_ready(0);
        Client busy(n.loop, n.at(0));
        busy.send(pg::Writer().startup("backend", "store").take());
        CHECK(busy.reply() == "RZ");
        CHECK(n.request(busy) == "TDCZ");
        std::vector<std::unique_ptr<Client>> idle;
        for (int i = 0; i < 2 * kSockets; ++i) {
            idle.push_back(std::make_unique<Client>(n.loop, n.at(0)));
            if (i % 2) idle.back()->send(pg::Writer().startup("backend", "store").take());
        }
        n.loop.settle();
        // Clients with requests are served, on earlier connections as on new ones.
        if (busy.closed) MESSAGE("the served one gave way");
        for (int i = 0; i < 5; ++i) {
            Client late(n.loop, n.at(0));
            late.send(pg::Writer().startup("backend", "store").take());
            CHECK(late.reply() == "RZ");
            CHECK(n.request(late) == "TDCZ");
        }
        // Discovery is back, and a host drains: it receives nothing more.
        n.list.publish(n.targets("draining"));
        n.list_way.set({});
        Client after(n.loop, n.at(0));
        after.send(pg::Writer().startup("backend", "store").take());
        CHECK(after.reply() == "RZ");
        int before = 0;
        REQUIRE(n.loop.until([&] {  // ten in a row that it has not seen: 1 in 1000 by chance without the list
            int seen = n.hosts[2].queries;
            for (int i = 0; i < 10; ++i) CHECK(n.request(after) == "TDCZ");
            before = n.hosts[2].queries;
            return before == seen && n.list.watched();
        }));
        for (int i = 0; i < 30; ++i) CHECK(n.request(after) == "TDCZ");
        CHECK(n.hosts[2].queries == before);
        CHECK(n.processes[0]->end(SIGTERM) == 0);
    }
}

TEST_CASE("narrow processes: all restarted at once get ready, whatever discovery and hosts do") {
    enum class Fault { discovery_down, discovery_unresponsive, hosts_hang };
    for (Fault fault : {Fault::discovery_down, Fault::discovery_unresponsive, Fault::hosts_hang}) {
        Narrow n(6);
        if (fault == Fault::discovery_down) n.list_way.set({.reset = true});
        if (fault == Fault::discovery_unresponsive)
            n.list_way.set({.blocks_responses = true, .blocks_requests = true});
        if (fault == Fault::hosts_hang)
            for (Host& host : n.hosts) host.silent = true;
        for (int life = 0; life < 2; ++life) {
            for (std::size_t i = 0; i < 6; ++i) n.start(i, 256);
            auto began = std::chrono::steady_clock::now();
            for (std::size_t i = 0; i < 6; ++i) n.await_ready(i);
            auto duration = std::chrono::steady_clock::now() - began;
            MESSAGE("all ready after "
                    << std::chrono::duration_cast<std::chrono::milliseconds>(duration).count() << " ms");
            for (auto& p : n.processes) CHECK(p->end(life ? SIGTERM : SIGKILL) == (life ? 0 : -SIGKILL));
        }
    }
}

TEST_CASE("narrow processes: SIGTERM right after the start, and twice, ends in order") {
    Narrow n(6);
    for (std::size_t i = 0; i < 6; ++i) n.start(i, 256);
    for (std::size_t i = 0; i < 6; ++i) {
        if (i % 2) n.await_ready(i);
        n.processes[i]->send(SIGTERM);
        int ended = n.processes[i]->end(SIGTERM);
        CHECK((ended == 0 || (ended == -SIGTERM && i % 2 == 0)));  // not yet at its loop: by the signal
    }
}

}  // namespace
}  // namespace indigovane::testing
