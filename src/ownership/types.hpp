// Leases: a task that is done once for the whole fleet has at most one owner at a time. A quorum of voters
// grants a lease, its term only grows, and a fence at each target rejects acts with an older fencing token.
// The module only decides: events with a time go in, messages come out. It uses no I/O, clock, thread or
// random device; the caller passes times and uniform random numbers. Each object is used by one thread at a
// time.
//
// The guarantee and its assumptions about clocks are in docs/ownership.md (which calls a named lease a duty).
// Terms as in M. Burrows, "The Chubby lock service", OSDI 2006 (lease, sequencer = fencing token), and
// D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014 (term,
// vote, candidate); leases by time: C. Gray, D. Cheriton, SOSP 1989.
//
// This header declares the types that all parts share.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace indigovane::ownership {

using Duration = std::chrono::microseconds;
// A reading of one node's steady clock. Times of two nodes are never compared.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Position in the configured list of poolers, which is the same on all nodes.
enum class NodeId : std::uint16_t {};
// Hash of the lease's name, see lease_id().
enum class LeaseId : std::uint64_t {};
// Number of an ownership of one lease. Each new owner has a higher one; 0 means that there was none yet.
using Term = std::uint64_t;

// Number of leases that a voter or a fence remembers. Requests and acts for further leases are denied.
inline constexpr std::size_t kMaxLeases = 16384;

// Returns the id of a lease's name: its XXH3 hash (64 bits), the same on all nodes. A name states the task
// and its subject: "probe/host-7", "list", "return/zone-b".
LeaseId lease_id(std::string_view name);

// One process of a node. During an upgrade two processes of a node run at once, and a message to the earlier
// one must not be accepted by the later one.
struct Participant {
    NodeId node{};
    std::uint64_t incarnation = 0;  // random number chosen when the process starts
    auto operator<=>(const Participant&) const = default;
};

// Sent with each act of an owner: the term of its lease and its identity.
struct FencingToken {
    Term term = 0;
    Participant owner{};
    auto operator<=>(const FencingToken&) const = default;
};

}  // namespace indigovane::ownership
