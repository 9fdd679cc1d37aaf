// Ownership in the emulator: real stewards, a bad network, nodes that end, stand still and wake.
#include "lab/quorum_simulation.hpp"

#include <doctest/doctest.h>

#include <cstdio>

namespace indigovane::lab {
namespace {

QuorumOptions rough(unsigned nodes, std::uint64_t seed) {
    QuorumOptions o;
    o.nodes = nodes, o.seed = seed;
    o.loss = 0.1, o.doubled = 0.05, o.late = 0.01;
    o.end_every_s = 4, o.stall_every_s = 5;
    return o;
}

TEST_CASE(
    "ownership: in a bad network nobody acts beside another, no late act counts, duties find owners anew") {
    for (bool disks : {true, false}) {
        QuorumOptions o = rough(10, 3);
        o.disks = disks;
        QuorumSummary s = run(o);
        CHECK(s.two_owners == 0);
        CHECK(s.acts_out_of_order == 0);
        CHECK(s.refused > 0);  // late acts came, so that the fence has had something to do
        CHECK(s.vacant_s.size() > 50);
        // A lease, one that asked at a bad moment waits another; five nodes of ten are voters and end too.
        CHECK(s.vacant(0.5) < 5);
        CHECK(s.owned_share > 0.6);
        CHECK(run(o).text() == s.text());
    }
}

TEST_CASE(
    "ownership: a process that wakes and does not look acts beside another, and the fence turns it away") {
    QuorumOptions o = rough(10, 4);
    o.settings.check_before_act = false;
    QuorumSummary s = run(o);
    CHECK(s.two_owners > 0);
    CHECK(s.acts_out_of_order == 0);
    o.settings.fence = false;
    CHECK(run(o).acts_out_of_order > 0);
}

TEST_CASE(
    "ownership: with nothing wrong an owner stays, and 10% loss takes no duty away from one in a minute") {
    QuorumOptions o;
    o.loss = 0.1;
    QuorumSummary s = run(o);
    CHECK(s.false_takeovers == 0);
    CHECK(s.owned_share > 0.99);
    // An owner renews three times a lease with five voters, two others ask once a lease; each is answered.
    double most = o.duties * 5 * 2 * (3 * 1.5 + 2 * 1.5) / 3 * o.seconds;
    CHECK(double(s.messages) < most);
}

TEST_CASE("ownership: table" * doctest::skip()) {
    std::printf("%6s %6s %10s %10s %8s %8s %14s\n", "nodes", "loss", "p50 s", "p99 s", "owned", "false",
                "messages/s/node");
    for (unsigned nodes : {10u, 100u, 300u, 1000u})
        for (double loss : {0.0, 0.1}) {
            QuorumOptions o;
            o.nodes = nodes, o.duties = nodes / 2, o.loss = loss, o.seed = 7;
            o.end_every_s = 300.0 / nodes, o.seconds = nodes > 100 ? 60 : 600;  // each once in five minutes
            QuorumSummary s = run(o);
            std::printf("%6u %6.2f %10.2f %10.2f %8.4f %8llu %14.2f\n", nodes, loss, s.vacant(0.5),
                        s.vacant(0.99), s.owned_share, static_cast<unsigned long long>(s.false_takeovers),
                        double(s.messages) / o.seconds / nodes);
            CHECK(s.two_owners + s.acts_out_of_order == 0);
        }
}

}  // namespace
}  // namespace indigovane::lab
