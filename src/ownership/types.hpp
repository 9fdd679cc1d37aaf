// One owner at a time for the fleet's work: leases by a majority of voters, terms that only grow, and a fence
// at whoever is acted upon. Pure decisions: events with a time in, messages out. No I/O, no clock, no thread,
// no randomness (draws are handed in). This header: terms, settings, messages. docs/ownership.md has the
// guarantee with its assumptions, and the reasons.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace indigovane::ownership {

using Duration = std::chrono::microseconds;
// Of one node's steady clock. Times of two nodes are never compared.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum class NodeId : std::uint16_t {};  // its place in the configured list of poolers, equal at all of them
enum class DutyId : std::uint64_t {};  // duty_id() of its name
inline constexpr std::size_t kMostDuties = 16384;  // that a voter or a fence remembers; beyond it says no
using Term = std::uint64_t;                        // of one duty; grows with each owner; 0: none yet

// One life of a node: two processes of it may be there at once (an upgrade), and what was sent to an earlier
// one must not be taken for an answer to this. `life`: random, drawn at the start.
struct Participant {
    NodeId node{};
    std::uint64_t incarnation = 0;
    auto operator<=>(const Participant&) const = default;
};

// A duty's name is its kind and what it is about: "probe/host-7", "list", "return/zone-b".
DutyId duty_id(std::string_view name);

struct Settings {
    std::vector<NodeId> voters;                  // 1, 3 or 5 of the configured poolers, the same everywhere
    Duration lease = seconds(3);                 // by the voters' clocks
    double drift = 0.01;                         // the rate of any steady clock is off by at most this share
    Duration margin = milliseconds(0);           // an owner stops so much sooner still
    Duration reply_timeout = milliseconds(400);  // with voters that have not answered
    Duration step = milliseconds(150);           // a candidate of rank r waits r steps longer than the first
    Duration back_off_most = seconds(5);         // after votes that were split
    // Each can be switched off, to show in tests that it is needed.
    bool heed_drift = true, sit_out = true, keep_votes = true, fence = true, check_before_act = true;

    std::size_t majority() const { return voters.size() / 2 + 1; }
    // For so long after it asked an owner may act, by its own clock. Its clock may be the slowest and the
    // voters' the fastest: own / (1 - drift) <= lease / (1 + drift) in real time.
    Duration own() const;
};

// A candidate's or an owner's to each voter. In the term that it owns: a renewal.
struct LeaseRequest {
    DutyId duty{};
    Term term = 0;
    Participant from{};
    std::uint32_t round = 0;  // the answer tells it again: a late one counts for the time it was asked at
    auto operator<=>(const LeaseRequest&) const = default;
};
struct LeaseReply {
    DutyId duty{};
    Term term = 0;  // as asked for
    NodeId from{};
    Participant to{};
    std::uint32_t round = 0;
    bool granted = false;
    Term highest = 0;  // that the voter knows of
    Duration left{};   // not granted: for so long at least it will not be, by the voter's clock
    auto operator<=>(const LeaseReply&) const = default;
};
// An owner's that has stopped, or a candidate's that gives up: nothing is done in this term any more.
struct LeaseRelease {
    DutyId duty{};
    Term term = 0;
    Participant from{};
    bool owned = false;  // those that stand for it need not wait; else nothing has changed for them
    auto operator<=>(const LeaseRelease&) const = default;
};

}  // namespace indigovane::ownership
