// Two processes of one pooler, in one loop: channels between them, what the successor is given, and what
// becomes of clients.
#include <sys/socket.h>

#include "program/process_handover.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using program::ProcessHandover;
using transport::Channel;
using transport::Descriptor;

struct End : Channel::Handler {
    void on_message(Channel&, std::string_view message, Descriptor with) override {
        got.emplace_back(message);
        if (!with || !reads) return;
        char byte = 0;
        CHECK(::read(with.get(), &byte, 1) == 1);
        got.back() += byte;
    }
    void on_closed(Channel&) override { closed = true; }
    std::vector<std::string> got;
    bool closed = false, reads = true;  // what comes along is a pipe
};

// What a channel's model keeps is the messages under way, and whether the other side is there.
TEST_CASE("a channel brings each message whole, in order, with its descriptor") {
    Dice dice(4);
    for (int round = 0; round < 20; ++round) {
        Loop loop;
        Folder folder;
        End ends[2];
        std::shared_ptr<Channel> sides[2];
        CHECK(!Channel::connect(loop.io, folder.path, "peer", ends[0]));
        transport::ChannelListener replaced(loop.io, folder.path, "peer", [](Descriptor) { CHECK(false); });
        transport::ChannelListener listener(loop.io, folder.path, "peer", [&](Descriptor socket) {
            sides[1] = std::make_shared<Channel>(loop.io, std::move(socket), ends[1]);
            sides[1]->start();
        });
        sides[0] = Channel::connect(loop.io, folder.path, "peer", ends[0]);
        REQUIRE(sides[0]);
        sides[0]->start();
        REQUIRE(loop.until([&] { return sides[1] != nullptr; }));
        std::vector<std::string> sent[2];
        for (int step = 0; step < 60; ++step) {
            std::size_t from = dice.below(2);
            std::string message(1 + dice.below(dice.below(4) ? 50 : Channel::kMessageMost - 1),
                                char('a' + step % 26));
            Descriptor with;
            sent[from].push_back(message);
            if (dice.below(2)) {
                int pipe[2];
                REQUIRE(::pipe(pipe) == 0);
                Descriptor writer(pipe[1]);
                with = Descriptor(pipe[0]);
                CHECK(::write(writer.get(), "!", 1) == 1);
                sent[from].back() += '!';
            }
            sides[from]->send(message, std::move(with));
            if (dice.below(10) == 0) loop.settle();
        }
        REQUIRE(loop.until(
            [&] { return ends[1].got.size() == sent[0].size() && ends[0].got.size() == sent[1].size(); }));
        CHECK(ends[1].got == sent[0]);
        CHECK(ends[0].got == sent[1]);
        CHECK(sides[0]->all_sent());
        std::size_t gone = dice.below(2);
        sides[gone]->close();
        REQUIRE(loop.until([&] { return ends[1 - gone].closed; }));
        CHECK(!ends[gone].closed);
        sides[1 - gone]->send("to nobody");
        loop.settle();
    }
}

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

// One of the two processes, before the same hosts.
struct Process : ProcessHandover::HandoverOwner {
    Process(PgDeployment& deployment, const std::string& folder,
            std::chrono::milliseconds client_timeout = 20s)
        : d(deployment),
          core(d.loop.io, d.clock, settings(), 9, limits(), d.backend, d.logger),
          handover(d.loop.io, folder, "n1", *this, client_timeout) {
        core.apply_endpoint_list(EndpointListKind::full,
                                 {d.endpoint(0, EndpointState::ready), d.endpoint(1, EndpointState::ready),
                                  d.endpoint(2, EndpointState::ready)});
        core.on_commit(
            [this](std::uint64_t session, routing::Time at) { handover.send_commit(session, at); });
    }
    // Who was put back when is kept as long as members that left are. The rig's usual 0 s forgets it at the
    // next sweep, 10 ms later: whether both processes still knew it hung on the machine's speed.
    static routing::CoreLimits limits() {
        routing::CoreLimits l = PgDeployment::limits(64);
        l.delisted_retention = 60s;
        return l;
    }
    void serve() {
        front = std::make_unique<adapters::PgFront>(
            d.loop.io, transport::ListenAt(loopback(), true, inherited.release()), 64, d.known,
            adapters::PgOptions{}, core, d.logger);
        front->start();
        handover.announce();
    }
    std::vector<std::pair<std::string, int>> listening_sockets() override {
        return {{"pg", front->listening_socket()}};
    }
    policy::SessionTokens tokens() override { return core.tokens(); }
    std::map<std::string, routing::Time> readmissions() override { return core.readmissions(); }
    void inherit_socket(const std::string& name, Descriptor socket) override {
        CHECK(name == "pg");
        inherited = std::move(socket);
    }
    void inherit_tokens(policy::SessionTokens tokens) override { core.take_over(std::move(tokens)); }
    void inherit_readmission(const std::string& uid, routing::Time at) override {
        core.merge_readmission(uid, at);
    }
    void inherit_client(const std::string&, routing::ClientHandover p) override {
        front->take_over(std::move(p));
    }
    void on_process_change() override {}
    void on_successor_ready() override { ++ready; }
    bool knows(const std::string& session) {
        for (auto& [key, at] : core.tokens().commits)
            if (std::uint64_t(key) == adapters::session_number(session)) return true;
        return false;
    }

    PgDeployment& d;
    routing::LoopCore core;
    std::unique_ptr<adapters::PgFront> front;
    Descriptor inherited;
    int ready = 0;
    ProcessHandover handover;
};

std::string write_to(const std::string& session) {
    static int id = 0;
    return pg::Writer()
        .query("/* id=w" + std::to_string(++id) +
               ",c=scan-write,t=a,d=3000,k=1,cluster=3 */ INSERT INTO kv (name, content) VALUES ('" +
               session + "', '\\x31') RETURNING content")
        .take();
}
std::string read_of(const std::string& session) {
    static int id = 0;
    return pg::Writer()
        .query("/* id=r" + std::to_string(++id) +
               ",c=own-order,t=a,d=3000,cluster=3 */ SELECT content FROM kv WHERE name = '" + session + "'")
        .take();
}

TEST_CASE("the successor has the listener, the positions and the clients; what is under way goes on") {
    Dice dice(8);
    for (int round = 0; round < 12; ++round) {
        PgDeployment d;
        for (Host& host : d.hosts) host.rows["a1"] = host.rows["a2"] = "1";
        Folder folder;
        Process predecessor(d, folder.path), successor(d, folder.path);
        d.loop.batch = [&] { predecessor.core.run_batch(), successor.core.run_batch(); };
        CHECK(!predecessor.handover.request_state());  // there is nobody
        predecessor.serve();
        Client client(d.loop, predecessor.front->local());
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
        client.send(write_to("a1"));
        CHECK(client.reply() == "TDCZ");
        predecessor.core.set_excluded({"m1"});
        predecessor.core.set_excluded({});
        REQUIRE(successor.handover.request_state());
        REQUIRE(d.loop.until([&] { return !successor.handover.inheriting(); }));
        CHECK(successor.inherited);
        REQUIRE(d.loop.until([&] { return successor.knows("a1"); }));
        CHECK(successor.core.readmissions() == predecessor.core.readmissions());
        CHECK(!predecessor.handover.successor_ready());
        successor.serve();
        REQUIRE(d.loop.until([&] { return predecessor.ready == 1; }));
        CHECK(successor.front->local() == predecessor.front->local());
        CHECK(successor.handover.another_process());
        client.send(write_to("a2"));  // as they come
        CHECK(client.reply() == "TDCZ");
        REQUIRE(d.loop.until([&] { return successor.knows("a2"); }));
        // A client in any state: not started, idle, halfway in a message, owed an answer.
        std::string startup = pg::Writer().startup("u", "d").take(), rest;
        Client late(d.loop, predecessor.front->local());
        std::size_t cut = dice.below(startup.size());
        late.send(startup.substr(0, cut));
        std::string next = read_of("a2");
        std::size_t half = dice.below(next.size());
        bool owed = dice.below(2);
        if (owed) {
            for (Host& host : d.hosts) host.silent = true;
            client.send(next);
            REQUIRE(
                d.loop.until([&] { return predecessor.core.requests() + successor.core.requests() == 1; }));
        } else {
            client.send(next.substr(0, half));
        }
        d.loop.settle();
        predecessor.front->stop_accepting();
        auto hand = [&] {
            return predecessor.front->hand_over(
                [&](auto p) { predecessor.handover.send_client("pg", std::move(p)); });
        };
        hand();
        d.loop.settle();
        if (owed) {
            CHECK(predecessor.front->connections() == 1);  // it stays until it has its answer
            for (Host& host : d.hosts) host.silent = false;
            for (auto& server : d.servers) server->drop_all();
        } else {
            CHECK(predecessor.front->connections() == 0);
            client.send(next.substr(half));
        }
        CHECK(client.reply() == "TDCZ");
        CHECK(client.value == "1");
        hand();
        CHECK(predecessor.front->connections() == 0);
        REQUIRE(d.loop.until([&] { return predecessor.handover.all_sent(); }));
        late.send(startup.substr(cut));
        CHECK(late.reply() == "RZ");
        client.send(write_to("a3"));  // on the same connection, at the successor; the predecessor hears of it
        CHECK(client.reply() == "TDCZ");
        REQUIRE(d.loop.until([&] { return predecessor.knows("a3"); }));
        Client fresh(d.loop, successor.front->local());
        fresh.send(pg::Writer().startup("u", "d").take());
        CHECK(fresh.reply() == "RZ");
        // What was written through the predecessor binds reads at the successor: a lagging replica won't do.
        for (int i : {1, 2}) d.hosts[i].lag_ms = 60000, d.hosts[i].checks = true;
        int before = d.hosts[0].queries;
        fresh.send(read_of("a1"));
        CHECK(fresh.reply() == "TDCZ");
        CHECK(d.hosts[0].queries == before + 1);
        CHECK(successor.front->connections() == 3);
    }
}

TEST_CASE("a predecessor that is absent, silent, dead or half done: the successor goes on alone") {
    PgDeployment d;
    Folder folder;
    Process alone(d, "");
    CHECK(!alone.handover.request_state());
    alone.serve();
    CHECK(!alone.handover.another_process());
    for (bool answers : {false, true}) {
        std::vector<Descriptor> accepted;  // a predecessor that says nothing, or not all
        transport::ChannelListener listener(d.loop.io, folder.path, "n1.peer", [&](Descriptor socket) {
            accepted.push_back(std::move(socket));
            if (answers) CHECK(::send(accepted.back().get(), "F12345678", 9, 0) == 9);
            if (answers) accepted.clear();
        });
        Process successor(d, folder.path, 5ms);
        REQUIRE(successor.handover.request_state());
        REQUIRE(d.loop.until([&] { return !successor.handover.inheriting(); }));
        CHECK(!successor.inherited);
        CHECK(!successor.handover.another_process());
        successor.serve();
        Client client(d.loop, successor.front->local());
        client.send(pg::Writer().startup("u", "d").take());
        CHECK(client.reply() == "RZ");
    }
}

TEST_CASE("a successor that dies, or speaks another version, leaves the predecessor as it was") {
    PgDeployment d;
    Folder folder;
    Process predecessor(d, folder.path);
    predecessor.serve();
    for (std::string hello : {std::string("H\1\0\0\0", 5), std::string("H\7\0\0\0", 5), std::string("R")}) {
        End end;
        end.reads = false;
        auto successor = Channel::connect(d.loop.io, folder.path, "n1.peer", end);
        REQUIRE(successor);
        successor->start();
        successor->send(hello);
        d.loop.settle();
        CHECK(predecessor.handover.another_process() == (hello[1] == '\1'));
        CHECK(!predecessor.handover.successor_ready());
        successor->close();
        REQUIRE(d.loop.until([&] { return !predecessor.handover.another_process(); }));
    }
    Client client(d.loop, predecessor.front->local());
    client.send(pg::Writer().startup("u", "d").take());
    CHECK(client.reply() == "RZ");
}

}  // namespace
}  // namespace indigovane::testing
