// Datagrams between poolers: malformed, foreign, duplicated or overtaken ones are dropped, and gossip that is
// received leads to a health check, no more.
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

peer::Message message(std::uint32_t number = 1, std::uint64_t incarnation = 7) {
    return {peer::cluster_number("a"), incarnation, number, {{3, 1'700'000'000'123'456, "s-5be2a07c"}}};
}
std::string bytes(peer::Message m) {
    return peer::write(m);
}

TEST_CASE("peer messages: written and read again; as many as fit; every bit that flips is seen") {
    peer::Message m = message();
    std::string whole = bytes(m);
    CHECK(whole.size() == 20 + 14 + 10 + 4);
    CHECK(peer::read(whole) == m);
    for (std::size_t i = 0; i < whole.size() * 8; ++i) {
        std::string flipped = whole;
        flipped[i / 8] ^= char(1 << i % 8);
        CHECK_FALSE(peer::read(flipped));
    }
    for (std::size_t i = 0; i < whole.size(); ++i) CHECK_FALSE(peer::read(whole.substr(0, i)));
    CHECK_FALSE(peer::read(whole + '\0'));
    m.primaries.assign(40, {1, -5, std::string(64, 'u')});
    m.primaries.insert(m.primaries.begin(),
                       {1, 2, std::string(65, 'u')});  // can't be written, and is dropped
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
    "peer messages: random bytes with a valid checksum are read or dropped, and never beyond their end") {
    Dice dice(5);
    int accepted = 0, dropped = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string whole = bytes(message());
        whole.resize(whole.size() - 4);
        for (std::size_t n = dice.below(6); n > 0; --n)
            whole[3 + dice.below(whole.size() - 3)] = char(dice.below(256));
        whole.resize(20 + dice.below(whole.size() - 19));
        std::uint32_t sum = XXH32(whole.data(), whole.size(), 0);
        for (int shift = 24; shift >= 0; shift -= 8) whole.push_back(char(sum >> shift & 0xff));
        auto read = peer::read(whole);
        ++(read ? accepted : dropped);
        if (read)
            for (const peer::Primary& p : read->primaries) CHECK(p.uid.size() <= peer::kMaxUidBytes);
    }
    CHECK(accepted > 100);
    CHECK(dropped > 100);
}

struct PeerLinkRig {
    Loop loop;
    std::vector<peer::Primary> received;
    udp::socket other{loop.io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    std::unique_ptr<PeerLink> link;
    PeerLinkRig() {
        adapters::PeerOptions o;
        o.listen = udp::endpoint(boost::asio::ip::address_v4::loopback(), 0);
        o.peers = {other.local_endpoint()};
        o.cluster = peer::cluster_number("a");
        o.incarnation = 9;
        o.again = 1ms;
        o.gather = 1ms;
        link =
            std::make_unique<PeerLink>(loop.io, o, [this](const peer::Primary& p) { received.push_back(p); });
        other.non_blocking(true);
    }
    std::uint64_t processed() const {
        const auto& c = link->counts();
        return c.accepted + c.malformed + c.foreign + c.old;
    }
    void deliver(const std::string& datagram, udp::socket& from) {
        std::uint64_t before = processed();
        from.send_to(boost::asio::buffer(datagram), link->local());
        REQUIRE(loop.until([&] { return processed() > before; }));
    }
};

TEST_CASE("a peer link drops malformed, foreign, duplicated or overtaken datagrams, and counts them") {
    PeerLinkRig rig;
    udp::socket stranger(rig.loop.io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    rig.deliver(bytes(message(5)), rig.other);
    CHECK(rig.received == message().primaries);
    rig.deliver(bytes(message(5)), rig.other);  // doubled
    rig.deliver(bytes(message(4)), rig.other);  // overtaken
    CHECK(rig.link->counts().old == 2);
    rig.deliver(bytes(message(6)), stranger);
    peer::Message elsewhere = message(6);
    elsewhere.cluster = peer::cluster_number("b");
    rig.deliver(bytes(elsewhere), rig.other);
    CHECK(rig.link->counts().foreign == 2);
    rig.deliver("IV", rig.other);
    rig.deliver(std::string(300, 'x'), rig.other);
    CHECK(rig.link->counts().malformed == 2);
    CHECK(rig.received.size() == 1);
    rig.deliver(bytes(message(1, 8)), rig.other);  // the sender has started again
    CHECK(rig.received.size() == 2);
}

TEST_CASE(
    "a peer link sends each change twice, the newest of a group only, and goes on when nobody receives") {
    PeerLinkRig rig;
    rig.link->announce({3, 1, "old"});
    rig.link->announce({3, 2, "new"});
    std::vector<peer::Message> messages;
    auto more = [&] {
        char buffer[300];
        boost::system::error_code ec;
        udp::endpoint from;
        std::size_t n = rig.other.receive_from(boost::asio::buffer(buffer), from, 0, ec);
        if (!ec) messages.push_back(*peer::read({buffer, n}));
        return messages.size() == 2;
    };
    REQUIRE(rig.loop.until(more));
    for (const auto& m : messages) CHECK(m.primaries == std::vector<peer::Primary>{{3, 2, "new"}});
    CHECK(messages[1].number > messages[0].number);
    rig.other.close();
    std::uint64_t before = rig.link->counts().sent + rig.link->counts().dropped;
    rig.link->announce({3, 3, "newer"});
    REQUIRE(
        rig.loop.until([&] { return rig.link->counts().sent + rig.link->counts().dropped >= before + 2; }));
}

TEST_CASE("a core reports a change of primary once, and gossip makes it send a health check, no more") {
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
    CHECK(reported.empty());  // it has no evidence of its own
    // The first primary that it sees itself is no change, the next one is.
    pooler.hosts[0].primary = false;
    pooler.hosts[1].primary = true;
    before = pooler.hosts[1].probes;
    CHECK(pooler.core.on_primary_gossip("m1", 3, now()));
    REQUIRE(pooler.loop.until([&] { return pooler.hosts[1].probes > before; }));
    std::this_thread::sleep_for(5ms);  // a report has milliseconds, and the next is to be newer
    pooler.loop.settle();
    pooler.hosts[1].primary = false;
    pooler.hosts[2].primary = true;
    before = pooler.hosts[2].probes;
    CHECK(pooler.core.on_primary_gossip("m2", 3, now()));
    REQUIRE(pooler.loop.until([&] { return !reported.empty(); }));
    CHECK(reported == std::vector<std::string>{"m2"});
}

TEST_CASE("configuration: peers are used where the platform permits and names them") {
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
