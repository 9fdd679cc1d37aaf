// The emulator of ownership: the real stewards of a fleet in virtual time, a network that delays, doubles and
// loses, clocks that go at different rates, nodes that end or stand still. A witness at each duty keeps what
// its fence let through.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/random.hpp"
#include "lab/timeline.hpp"
#include "ownership/fence.hpp"
#include "ownership/lease_node.hpp"

namespace indigovane::lab {

struct QuorumOptions {
    unsigned nodes = 10, voters = 5, duties = 20;
    ownership::Settings settings;
    double seconds = 60;
    double loss = 0, doubled = 0;  // of datagrams
    Duration fastest = std::chrono::microseconds(1300), slowest = std::chrono::milliseconds(23);
    double late = 0;  // so many come up to a minute late
    double act_every_s = 0.25;
    // One node at a time, by chance, ends (and is back, with another life, after 5 s) or stands still that
    // long.
    double end_every_s = 0, stall_every_s = 0, away_s = 5;
    bool disks = true;
    std::uint64_t seed = 1;
};

struct QuorumSummary {
    std::vector<double> vacant_s;       // each time that a duty lost its owner; sorted
    std::uint64_t owners = 0;           // turns to owner
    std::uint64_t false_takeovers = 0;  // of these, while the one before was well and had not given it back
    std::uint64_t messages = 0, refused = 0, acts = 0;
    std::uint64_t two_owners = 0, acts_out_of_order = 0;  // breaches of the guarantee
    double owned_share = 0;                               // of all duties' time, after the first 10 s
    double vacant(double quantile) const;
    std::string text() const;
};

QuorumSummary run(const QuorumOptions& options);

}  // namespace indigovane::lab
