// Datagrams between poolers. Anyone can send a datagram, and networks lose, duplicate and reorder them:
// malformed, foreign, duplicated or overtaken ones must have no effect, and gossip must cause a health check
// and nothing else.
#define XXH_INLINE_ALL
#include "adapters/peer_link.hpp"

#include <xxhash.h>

#include <thread>

#include "program/config.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

namespace peer = protocol::peer;
using adapters::PeerLink;
using udp = boost::asio::ip::udp;

peer::Message make_message(std::uint32_t number = 1, std::uint64_t incarnation = 7) {
    return {peer::cluster_number("a"), incarnation, number, {{3, 1'700'000'000'123'456, "s-5be2a07c"}}};
}
std::string write_message(peer::Message m) {
    return peer::write(m);
}

TEST_CASE(
    "peer messages: written primaries are read again, as many as fit per datagram, and each flipped bit is "
    "found") {
    peer::Message m = make_message();
    std::string datagram = write_message(m);
    CHECK(datagram.size() == 20 + 14 + 10 + 4);
    CHECK(peer::read(datagram) == m);
    for (std::size_t i = 0; i < datagram.size() * 8; ++i) {
        std::string flipped = datagram;
        flipped[i / 8] ^= char(1 << i % 8);
        CHECK_FALSE(peer::read(flipped));
    }
    for (std::size_t i = 0; i < datagram.size(); ++i) CHECK_FALSE(peer::read(datagram.substr(0, i)));
    CHECK_FALSE(peer::read(datagram + '\0'));
    m.primaries.assign(40, {1, -5, std::string(64, 'u')});
    m.primaries.insert(m.primaries.begin(),
                       {1, 2, std::string(65, 'u')});  // its uid is too long to be written, so it is dropped
    std::size_t reported = 0;
    while (!m.primaries.empty()) {
        std::string part = peer::write(m);
        CHECK(part.size() <= peer::kMaxDatagramBytes);
        auto back = peer::read(part);
        REQUIRE(back);
        reported += back->primaries.size();
    }
    CHECK(reported == 40);
}

TEST_CASE(
    "peer messages: random bytes with a valid checksum are accepted or dropped and never read beyond "
    "their end") {
    Dice dice(5);
    int accepted = 0, dropped = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string datagram = write_message(make_message());
        datagram.resize(datagram.size() - 4);
        for (std::size_t n = dice.below(6); n > 0; --n)
            datagram[3 + dice.below(datagram.size() - 3)] = char(dice.below(256));
        datagram.resize(20 + dice.below(datagram.size() - 19));
        std::uint32_t sum = XXH32(datagram.data(), datagram.size(), 0);
        for (int shift = 24; shift >= 0; shift -= 8) datagram.push_back(char(sum >> shift & 0xff));
        auto read = peer::read(datagram);
        ++(read ? accepted : dropped);
        if (read)
            for (const peer::Primary& p : read->primaries) CHECK(p.uid.size() <= peer::kMaxUidBytes);
    }
    CHECK(accepted > 100);
    CHECK(dropped > 100);
}

struct PeerLinkFixture {
    Loop loop;
    std::vector<peer::Primary> received;
    udp::socket other{loop.io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    std::unique_ptr<PeerLink> link;
    PeerLinkFixture() {
        adapters::PeerOptions options;
        options.listen = udp::endpoint(boost::asio::ip::address_v4::loopback(), 0);
        options.peers = {other.local_endpoint()};
        options.cluster = peer::cluster_number("a");
        options.incarnation = 9;
        options.again = 1ms;
        options.gather = 1ms;
        link = std::make_unique<PeerLink>(loop.io, options,
                                          [this](const peer::Primary& p) { received.push_back(p); });
        other.non_blocking(true);
    }
    std::uint64_t processed() const {
        const auto& counts = link->counts();
        return counts.accepted + counts.malformed + counts.foreign + counts.old;
    }
    void deliver(const std::string& datagram, udp::socket& from) {
        std::uint64_t before = processed();
        from.send_to(boost::asio::buffer(datagram), link->local());
        REQUIRE(loop.until([&] { return processed() > before; }));
    }
};

TEST_CASE("a peer link drops malformed, foreign, duplicated or overtaken datagrams, and counts them") {
    PeerLinkFixture fixture;
    udp::socket stranger(fixture.loop.io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    fixture.deliver(write_message(make_message(5)), fixture.other);
    CHECK(fixture.received == make_message().primaries);
    fixture.deliver(write_message(make_message(5)), fixture.other);  // a duplicate
    fixture.deliver(write_message(make_message(4)), fixture.other);  // overtaken
    CHECK(fixture.link->counts().old == 2);
    fixture.deliver(write_message(make_message(6)), stranger);
    peer::Message other_cluster = make_message(6);
    other_cluster.cluster = peer::cluster_number("b");
    fixture.deliver(write_message(other_cluster), fixture.other);
    CHECK(fixture.link->counts().foreign == 2);
    fixture.deliver("IV", fixture.other);
    fixture.deliver(std::string(300, 'x'), fixture.other);
    CHECK(fixture.link->counts().malformed == 2);
    CHECK(fixture.received.size() == 1);
    fixture.deliver(write_message(make_message(1, 8)),
                    fixture.other);  // a new incarnation: the sender has restarted
    CHECK(fixture.received.size() == 2);
}

TEST_CASE(
    "a peer link sends each change twice, only the newest of a group, and continues if no peer receives") {
    PeerLinkFixture fixture;
    fixture.link->announce({3, 1, "old"});
    fixture.link->announce({3, 2, "new"});
    std::vector<peer::Message> messages;
    auto received_both = [&] {
        char buffer[300];
        boost::system::error_code ec;
        udp::endpoint from;
        std::size_t n = fixture.other.receive_from(boost::asio::buffer(buffer), from, 0, ec);
        if (!ec) messages.push_back(*peer::read({buffer, n}));
        return messages.size() == 2;
    };
    REQUIRE(fixture.loop.until(received_both));
    for (const auto& m : messages) CHECK(m.primaries == std::vector<peer::Primary>{{3, 2, "new"}});
    CHECK(messages[1].number > messages[0].number);
    fixture.other.close();
    std::uint64_t before = fixture.link->counts().sent + fixture.link->counts().dropped;
    fixture.link->announce({3, 3, "newer"});
    REQUIRE(fixture.loop.until(
        [&] { return fixture.link->counts().sent + fixture.link->counts().dropped >= before + 2; }));
}

TEST_CASE("a core reports a change of primary once, and gossip causes a health check and nothing else") {
    Deployment<adapters::PgBackend, PgHost> pooler;
    std::vector<std::string> reported;
    pooler.core.on_primary([&](const EndpointInfo& m, routing::Time) { reported.push_back(m.uid); });
    auto now = [&] { return pooler.clock.to_unix(pooler.clock.now()); };
    CHECK_FALSE(pooler.core.on_primary_gossip("nobody", 3, now()));
    CHECK_FALSE(pooler.core.on_primary_gossip("m1", 4, now()));               // of another group
    CHECK_FALSE(pooler.core.on_primary_gossip("m1", 3, now() - 60'000'000));  // old
    CHECK_FALSE(pooler.core.on_primary_gossip("m1", 3, now() + 60'000'000));
    int before = pooler.hosts[1].probes;
    CHECK(pooler.core.on_primary_gossip("m1", 3, now()));
    REQUIRE(pooler.loop.until([&] { return pooler.hosts[1].probes > before; }));
    CHECK(reported.empty());  // gossip alone is no evidence of a change
    // The first primary that the core observes itself is not a change, the next one is.
    pooler.hosts[0].primary = false;
    pooler.hosts[1].primary = true;
    before = pooler.hosts[1].probes;
    CHECK(pooler.core.on_primary_gossip("m1", 3, now()));
    REQUIRE(pooler.loop.until([&] { return pooler.hosts[1].probes > before; }));
    std::this_thread::sleep_for(5ms);  // positions are in milliseconds, and the next report must be newer
    pooler.loop.settle();
    pooler.hosts[1].primary = false;
    pooler.hosts[2].primary = true;
    before = pooler.hosts[2].probes;
    CHECK(pooler.core.on_primary_gossip("m2", 3, now()));
    REQUIRE(pooler.loop.until([&] { return !reported.empty(); }));
    CHECK(reported == std::vector<std::string>{"m2"});
}

TEST_CASE("configuration: peers are used only if the platform permits and names them") {
    std::string start = R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","peer_listen":"127.0.0.1:9",)",
                end = R"(,"settings":{"allowed":{"peerMessages":true}}})";
    auto config = program::parse_platform_config(start + R"("peers":["127.0.0.1:8","127.0.0.1:9"])" + end);
    CHECK(config.peers.size() == 1);
    program::set_peers(program::parse_peer_config("[peers]\ncluster = \"a\"", "f"), "f", config);
    CHECK(config.peering->cluster == "a");
    auto named = program::parse_platform_config(start + R"("peers":{"n1":"127.0.0.1:8","n2":17})" + end);
    CHECK(named.peers.size() == 1);
    auto expect_rejected = [&](const std::string& text) {
        auto bad = program::parse_platform_config(text);
        CHECK_THROWS_AS(program::set_peers({"a"}, "f", bad), program::ConfigError);
    };
    expect_rejected(start + R"("peers":[])" + end);
    expect_rejected(start + R"("peers":"127.0.0.1:8")" + end);
    expect_rejected(start + R"("peers":["127.0.0.1:8"],"settings":{}})");
    CHECK_THROWS_AS(program::parse_peer_config("[peers]\nclustre = \"a\"", "f"), program::ConfigError);
    CHECK_THROWS_AS(program::parse_peer_config("[peers]\ncluster = \"a\"\nagain = \"0ms\"", "f"),
                    program::ConfigError);
}

}  // namespace
}  // namespace indigovane::testing
