// One owner at a time for work that is done once for the whole fleet: leases granted by a quorum of voters,
// terms that only grow, and a fence at whoever is acted upon. Pure decisions: events with a time go in,
// messages come out. No I/O, no clock, no thread, no random device: the caller hands in times and uniform
// draws. One thread at a time per object.
//
// The guarantee, with its assumptions about clocks, is in docs/ownership.md (where a named lease is called a
// duty). Terms as in M. Burrows, "The Chubby lock service", OSDI 2006 (lease, sequencer = fencing token), and
// D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014 (term,
// vote, candidate); leases by time: C. Gray, D. Cheriton, SOSP 1989.
//
// This header: the terms that all parts share.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace indigovane::ownership {

using Duration = std::chrono::microseconds;
// Of one node's steady clock. Times of two nodes are never compared.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum class NodeId : std::uint16_t {};   // position in the configured list of poolers, equal at all of them
enum class LeaseId : std::uint64_t {};  // lease_id() of its name
using Term = std::uint64_t;             // of one lease; grows with each owner; 0: none yet

// Leases that a voter or a fence remembers; it denies others.
inline constexpr std::size_t kMaxLeases = 16384;

// The id of a lease's name, which is the kind of work and what it is about: "probe/host-7", "list",
// "return/zone-b". A hash (XXH3, 64 bits): the same at all nodes.
LeaseId lease_id(std::string_view name);

// One process of a node. Two of them may run at once (an upgrade), and a message to an earlier one must not
// be taken for one to this.
struct Participant {
    NodeId node{};
    std::uint64_t incarnation = 0;  // random, drawn at the start of the process
    auto operator<=>(const Participant&) const = default;
};

// What an owner shows with each act: the term of its lease, and itself.
struct FencingToken {
    Term term = 0;
    Participant owner{};
    auto operator<=>(const FencingToken&) const = default;
};

}  // namespace indigovane::ownership
