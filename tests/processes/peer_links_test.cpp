// Links between real processes, with faults between them: what one has seen the others look at for
// themselves, and none serves worse for a link that fails.
#include "processes/harness.hpp"
#include "protocol/peer.hpp"

namespace indigovane::testing {
namespace {

// All have seen a primary before: the first that a pooler learns is no change.
void begin(Poolers& p) {
    for (std::size_t i = 0; i < p.processes.size(); ++i) CHECK(p.writes(i));
}

void stop(Poolers& p) {
    for (auto& process : p.processes) process->send(SIGCONT);
    for (auto& process : p.processes) CHECK(process->end(SIGTERM) == 0);
}

TEST_CASE("processes: a new primary that one has seen is health checked by the others") {
    Poolers p(3);
    begin(p);
    p.make_primary(1);
    int probes = p.hosts[1].probes;
    CHECK(p.writes(0));
    REQUIRE(p.loop.until([&] { return p.gossip_received(1, "h1") > 0 && p.gossip_received(2, "h1") > 0; }));
    REQUIRE(p.loop.until([&] { return p.hosts[1].probes >= probes + 2; }));
    CHECK(p.gossip_received(0, "h1") == 0);  // not its own gossip
    CHECK(p.writes(1));
    stop(p);
}

TEST_CASE("processes: links that drop all, one way or both, leave each pooler to itself") {
    Poolers p(3);
    begin(p);
    p.relay.fault(0, 1).drop = true;  // 1 hears nothing of 0, 0 hears of 1
    p.make_primary(1);
    CHECK(p.writes(0));
    REQUIRE(p.loop.until([&] { return p.gossip_received(2, "h1") > 0; }));
    CHECK(p.gossip_received(1, "h1") == 0);
    CHECK(p.writes(1));  // finds out for itself, and says so
    REQUIRE(p.loop.until([&] { return p.gossip_received(0, "h1") > 0; }));
    p.relay.all({.drop = true});
    p.make_primary(2);
    for (std::size_t i = 0; i < 3; ++i) CHECK(p.writes(i));
    for (std::size_t i = 0; i < 3; ++i) CHECK(p.gossip_received(i, "h2") == 0);
    stop(p);
}

TEST_CASE(
    "processes: duplicated and reordered datagrams are accepted once, and an overtaken one not at all") {
    Poolers p(2);
    begin(p);
    p.relay.fault(0, 1) = {.deliveries = 3, .queue = true};
    p.make_primary(1);
    CHECK(p.writes(0));
    REQUIRE(
        p.loop.until([&] { return p.relay.queued(0, 1) == 6; }));  // sent twice, each delivered three times
    p.relay.release(0, 1);                                         // the later one first
    REQUIRE(p.loop.until([&] { return p.gossip_received(1, "h1") > 0; }));
    p.relay.fault(0, 1) = {};
    p.make_primary(2);
    CHECK(p.writes(0));
    REQUIRE(p.loop.until([&] { return p.gossip_received(1, "h2") == 2; }));
    CHECK(p.gossip_received(1, "h1") == 1);
    stop(p);
}

TEST_CASE("processes: a stopped one resumes and serves, a killed one is accepted again after its restart") {
    Poolers p(2);
    begin(p);
    p.processes[1]->send(SIGSTOP);
    p.make_primary(1);
    CHECK(p.writes(0));  // whoever sleeps holds nobody up
    REQUIRE(p.loop.until([&] { return p.relay.passed(0, 1) >= 2; }));
    p.processes[1]->send(SIGCONT);
    CHECK(p.writes(1));
    p.processes[1]->end(SIGKILL);
    CHECK(p.writes(0));  // nobody listens there: an error of the socket ends nothing
    p.start(1);
    CHECK(p.writes(1));
    p.make_primary(2);
    CHECK(p.writes(1));  // its numbers begin anew, with another incarnation
    REQUIRE(p.loop.until([&] { return p.gossip_received(0, "h2") > 0; }));
    stop(p);
}

TEST_CASE("processes: datagrams of strangers, other clusters and noise are dropped, and harm nothing") {
    Poolers p(2);
    begin(p);
    namespace peer = protocol::peer;
    udp::socket stranger(p.loop.io, udp_loopback());
    udp::endpoint to = udp_loopback(p.processes[1]->port("poolers tell each other"));
    auto give = [&](const std::string& bytes) { stranger.send_to(boost::asio::buffer(bytes), to); };
    routing::Clock clock;
    peer::Message m{peer::cluster_number("test"), 1, 1, {{3, clock.to_unix(clock.now()), "h2"}}};
    give(peer::write(m));
    for (int i = 0; i < 100; ++i) give(std::string(std::size_t(i * 20), char(i)));
    p.make_primary(1);
    CHECK(p.writes(0));
    REQUIRE(p.loop.until([&] { return p.gossip_received(1, "h1") > 0; }));  // came after all of them
    CHECK(p.gossip_received(1, "h2") == 0);
    CHECK(p.writes(1));
    stop(p);
}

}  // namespace
}  // namespace indigovane::testing
