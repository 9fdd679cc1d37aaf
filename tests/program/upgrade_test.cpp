// An upgrade with two processes of one pooler, which run in one event loop: the channel between them, the
// state that the successor inherits, and the handover of clients.
#include <sys/socket.h>

#include "program/process_handover.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using program::ProcessHandover;
using transport::Channel;
using transport::Descriptor;

struct ChannelRecorder : Channel::Handler {
    void on_message(Channel&, std::string_view message, Descriptor descriptor) override {
        received.emplace_back(message);
        if (!descriptor || !reads_descriptors) return;
        char byte = 0;
        CHECK(::read(descriptor.get(), &byte, 1) == 1);
        received.back() += byte;
    }
    void on_closed(Channel&) override { closed = true; }
    std::vector<std::string> received;
    // `reads_descriptors`: descriptors are pipes, from which one byte is read and appended to the message.
    bool closed = false, reads_descriptors = true;
};

// Both sides send messages of random sizes, some with a descriptor. Guards against messages that are split,
// merged, reordered, or received with another message's descriptor.
TEST_CASE("channel: each message arrives complete, in order, and with its descriptor") {
    Dice dice(4);
    for (int round = 0; round < 20; ++round) {
        Loop loop;
        Folder folder;
        ChannelRecorder recorders[2];
        std::shared_ptr<Channel> sides[2];
        CHECK(!Channel::connect(loop.io, folder.path, "peer", recorders[0]));
        transport::ChannelListener replaced(loop.io, folder.path, "peer", [](Descriptor) { CHECK(false); });
        transport::ChannelListener listener(loop.io, folder.path, "peer", [&](Descriptor socket) {
            sides[1] = std::make_shared<Channel>(loop.io, std::move(socket), recorders[1]);
            sides[1]->start();
        });
        sides[0] = Channel::connect(loop.io, folder.path, "peer", recorders[0]);
        REQUIRE(sides[0]);
        sides[0]->start();
        REQUIRE(loop.until([&] { return sides[1] != nullptr; }));
        std::vector<std::string> sent[2];
        for (int step = 0; step < 60; ++step) {
            std::size_t sender = dice.below(2);
            std::string message(1 + dice.below(dice.below(4) ? 50 : Channel::kMaxMessageBytes - 1),
                                char('a' + step % 26));
            Descriptor descriptor;
            sent[sender].push_back(message);
            if (dice.below(2)) {
                int pipe[2];
                REQUIRE(::pipe(pipe) == 0);
                Descriptor writer(pipe[1]);
                descriptor = Descriptor(pipe[0]);
                CHECK(::write(writer.get(), "!", 1) == 1);
                sent[sender].back() += '!';
            }
            sides[sender]->send(message, std::move(descriptor));
            if (dice.below(10) == 0) loop.settle();
        }
        REQUIRE(loop.until([&] {
            return recorders[1].received.size() == sent[0].size() &&
                   recorders[0].received.size() == sent[1].size();
        }));
        CHECK(recorders[1].received == sent[0]);
        CHECK(recorders[0].received == sent[1]);
        CHECK(sides[0]->all_sent());
        std::size_t closed_side = dice.below(2);
        sides[closed_side]->close();
        REQUIRE(loop.until([&] { return recorders[1 - closed_side].closed; }));
        CHECK(!recorders[closed_side].closed);
        sides[1 - closed_side]->send("to nobody");
        loop.settle();
    }
}

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

// One of the two processes. Both use the same hosts.
struct PoolerProcess : ProcessHandover::HandoverOwner {
    PoolerProcess(PgDeployment& shared_deployment, const std::string& folder,
                  std::chrono::milliseconds client_timeout = 20s)
        : deployment(shared_deployment),
          core(deployment.loop.io, deployment.clock, settings(), 9, limits(), deployment.backend,
               deployment.logger),
          handover(deployment.loop.io, folder, "n1", *this, client_timeout) {
        core.apply_endpoint_list(EndpointListKind::full, {deployment.endpoint(0, EndpointState::ready),
                                                          deployment.endpoint(1, EndpointState::ready),
                                                          deployment.endpoint(2, EndpointState::ready)});
        core.on_commit(
            [this](std::uint64_t session, routing::Time at) { handover.send_commit(session, at); });
        core.on_start([this](const routing::StartedRequests::Entry& request) {
            handover.send_started_request(request);
        });
    }
    // Readmissions are kept as long as endpoints that left the list. With the deployment's usual 0 s they are
    // forgotten at the next sweep, 10 ms later: whether both processes still knew them depended on the
    // machine's speed.
    static routing::CoreLimits limits() {
        routing::CoreLimits core_limits = PgDeployment::limits(64);
        core_limits.delisted_retention = 60s;
        return core_limits;
    }
    void serve() {
        front = std::make_unique<adapters::PgFront>(
            deployment.loop.io, transport::ListenAt(loopback(), true, inherited.release()), 64,
            deployment.known, adapters::PgOptions{}, core, deployment.logger);
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
    std::vector<routing::StartedRequests::Entry> started_requests() override {
        return core.started_requests();
    }
    void inherit_started_request(const routing::StartedRequests::Entry& request) override {
        core.merge_started_request(request);
    }
    void inherit_client(const std::string&, routing::ClientHandover handed_over) override {
        front->take_over(std::move(handed_over));
    }
    void on_process_change() override {}
    void on_successor_ready() override { ++ready; }
    bool knows_commit_of(const std::string& session) {
        for (auto& [key, at] : core.tokens().commits)
            if (std::uint64_t(key) == adapters::session_number(session)) return true;
        return false;
    }

    PgDeployment& deployment;
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

TEST_CASE("upgrade: the successor inherits listener, session commits and clients, and no request is lost") {
    Dice dice(8);
    for (int round = 0; round < 12; ++round) {
        PgDeployment deployment;
        for (Host& host : deployment.hosts) host.rows["a1"] = host.rows["a2"] = "1";
        Folder folder;
        PoolerProcess predecessor(deployment, folder.path), successor(deployment, folder.path);
        deployment.loop.batch = [&] { predecessor.core.run_batch(), successor.core.run_batch(); };
        CHECK(!predecessor.handover.request_state());  // there is no predecessor
        predecessor.serve();
        Client client(deployment.loop, predecessor.front->local());
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
        client.send(write_to("a1"));
        CHECK(client.reply() == "TDCZ");
        predecessor.core.set_excluded({"m1"});
        predecessor.core.set_excluded({});
        REQUIRE(successor.handover.request_state());
        REQUIRE(deployment.loop.until([&] { return !successor.handover.is_inheriting(); }));
        CHECK(successor.inherited);
        REQUIRE(deployment.loop.until([&] { return successor.knows_commit_of("a1"); }));
        CHECK(successor.core.readmissions() == predecessor.core.readmissions());
        CHECK(!predecessor.handover.is_successor_ready());
        successor.serve();
        REQUIRE(deployment.loop.until([&] { return predecessor.ready == 1; }));
        CHECK(successor.front->local() == predecessor.front->local());
        CHECK(successor.handover.has_other_process());
        client.send(write_to("a2"));  // the successor learns of each new commit
        CHECK(client.reply() == "TDCZ");
        REQUIRE(deployment.loop.until([&] { return successor.knows_commit_of("a2"); }));
        // Clients in all states: partway through startup, idle, partway through a message, or with a request
        // in flight.
        std::string startup = pg::Writer().startup("u", "d").take(), rest;
        Client starting_client(deployment.loop, predecessor.front->local());
        std::size_t cut = dice.below(startup.size());
        starting_client.send(startup.substr(0, cut));
        std::string request = read_of("a2");
        std::size_t request_cut = dice.below(request.size());
        bool has_request_in_flight = dice.below(2);
        if (has_request_in_flight) {
            for (Host& host : deployment.hosts) host.silent = true;
            client.send(request);
            REQUIRE(deployment.loop.until(
                [&] { return predecessor.core.requests() + successor.core.requests() == 1; }));
        } else {
            client.send(request.substr(0, request_cut));
        }
        deployment.loop.settle();
        predecessor.front->stop_accepting();
        auto hand_over_clients = [&] {
            return predecessor.front->hand_over(
                [&](auto handed_over) { predecessor.handover.send_client("pg", std::move(handed_over)); });
        };
        hand_over_clients();
        deployment.loop.settle();
        if (has_request_in_flight) {
            CHECK(predecessor.front->connections() == 1);  // the client stays until its request is answered
            for (Host& host : deployment.hosts) host.silent = false;
            for (auto& server : deployment.servers) server->drop_all();
        } else {
            CHECK(predecessor.front->connections() == 0);
            client.send(request.substr(request_cut));
        }
        CHECK(client.reply() == "TDCZ");
        CHECK(client.value == "1");
        hand_over_clients();
        CHECK(predecessor.front->connections() == 0);
        REQUIRE(deployment.loop.until([&] { return predecessor.handover.all_sent(); }));
        starting_client.send(startup.substr(cut));
        CHECK(starting_client.reply() == "RZ");
        client.send(write_to("a3"));  // through the successor; the predecessor learns of the commit
        CHECK(client.reply() == "TDCZ");
        REQUIRE(deployment.loop.until([&] { return predecessor.knows_commit_of("a3"); }));
        Client new_client(deployment.loop, successor.front->local());
        new_client.send(pg::Writer().startup("u", "d").take());
        CHECK(new_client.reply() == "RZ");
        // A read at the successor must see a commit made through the predecessor, so a lagging replica is not
        // used.
        for (int i : {1, 2}) deployment.hosts[i].lag_ms = 60000, deployment.hosts[i].checks = true;
        int before = deployment.hosts[0].queries;
        new_client.send(read_of("a1"));
        CHECK(new_client.reply() == "TDCZ");
        CHECK(deployment.hosts[0].queries == before + 1);
        CHECK(successor.front->connections() == 3);
    }
}

TEST_CASE(
    "upgrade: a successor serves alone if its predecessor is absent, silent, or ends before its state is "
    "sent") {
    PgDeployment deployment;
    Folder folder;
    PoolerProcess alone(deployment, "");
    CHECK(!alone.handover.request_state());
    alone.serve();
    CHECK(!alone.handover.has_other_process());
    for (bool sends_part : {false, true}) {
        std::vector<Descriptor> accepted;  // of a predecessor that sends nothing or only a part of its state
        transport::ChannelListener listener(
            deployment.loop.io, folder.path, "n1.peer", [&](Descriptor socket) {
                accepted.push_back(std::move(socket));
                if (sends_part) CHECK(::send(accepted.back().get(), "F12345678", 9, 0) == 9);
                if (sends_part) accepted.clear();
            });
        PoolerProcess successor(deployment, folder.path, 5ms);
        REQUIRE(successor.handover.request_state());
        REQUIRE(deployment.loop.until([&] { return !successor.handover.is_inheriting(); }));
        CHECK(!successor.inherited);
        CHECK(!successor.handover.has_other_process());
        successor.serve();
        Client client(deployment.loop, successor.front->local());
        client.send(pg::Writer().startup("u", "d").take());
        CHECK(client.reply() == "RZ");
    }
}

TEST_CASE("upgrade: a predecessor serves on if its successor ends or has another version") {
    PgDeployment deployment;
    Folder folder;
    PoolerProcess predecessor(deployment, folder.path);
    predecessor.serve();
    for (std::string hello : {std::string("H\1\0\0\0", 5), std::string("H\7\0\0\0", 5), std::string("R")}) {
        ChannelRecorder recorder;
        recorder.reads_descriptors = false;
        auto successor = Channel::connect(deployment.loop.io, folder.path, "n1.peer", recorder);
        REQUIRE(successor);
        successor->start();
        successor->send(hello);
        deployment.loop.settle();
        CHECK(predecessor.handover.has_other_process() == (hello[1] == '\1'));
        CHECK(!predecessor.handover.is_successor_ready());
        successor->close();
        REQUIRE(deployment.loop.until([&] { return !predecessor.handover.has_other_process(); }));
    }
    Client client(deployment.loop, predecessor.front->local());
    client.send(pg::Writer().startup("u", "d").take());
    CHECK(client.reply() == "RZ");
}

}  // namespace
}  // namespace indigovane::testing
