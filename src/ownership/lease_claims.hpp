// Claims: one node's side of the leases that it stands by for, requests, or owns.
//
// The rule. A candidate requests a lease from all voters in a term above any that it knows of. With the
// grants of a quorum it owns the lease for `ownership_duration()` from when it sent the request, by its own
// clock. It renews in the same term, several times a lease. An owner calls fencing_token() right before each
// act, with the time of that moment: a process that was paused has no lease left.
//
// Settings: all of settings.hpp but wait_after_start, persist_grants and fencing. Source: docs/ownership.md.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "ownership/messages.hpp"
#include "ownership/settings.hpp"

namespace indigovane::ownership {

enum class ClaimState : std::uint8_t {
    waiting,     // for its rank's delay, or for another's lease to end
    requesting,  // from the voters, in a new term
    owner,
};
// The state's name in the log.
const char* state_name(ClaimState state);

// A change of state, for the log.
struct ClaimTransition {
    LeaseId lease{};
    ClaimState before{};
    ClaimState after{};
    Term term = 0;
    const char* reason = "";  // static
};

struct ClaimOutput {
    std::vector<Message> messages;  // each to all voters, itself too if it is one
    std::vector<ClaimTransition> transitions;
};

// Requests to all voters that were sent at one time.
struct RequestRound {
    Time sent{};
    std::vector<NodeId> granted_by;
};

// Invariant: `rounds` and `denied_until` are empty while it waits.
struct Claim {
    ClaimState state = ClaimState::waiting;
    unsigned standby_rank = 0;                     // 0 requests first
    Term term = 0;                                 // requested, or owned
    Term highest_term = 0;                         // known of
    std::uint32_t round = 0;                       // the latest
    std::uint32_t split_votes = 0;                 // since it was last owner
    std::map<std::uint32_t, RequestRound> rounds;  // the latest of this term
    std::map<NodeId, Time> denied_until;           // by voters, in this term; at least
    Time owned_until{};
    Time due{};  // the next thing to do
};

class LeaseClaims {
  public:
    // `draw`: uniform in [0, 1).
    LeaseClaims(const Participant& self, const Settings& settings, std::function<double()> draw);

    // Stands by for a lease from now on, or with another rank.
    void stand_by(LeaseId lease, unsigned standby_rank, Time now);
    // No more: a lease that it owns is released at once.
    ClaimOutput withdraw(LeaseId lease, Time now);
    // Releases a lease that it owns to another; stands by again only after a lease's duration.
    ClaimOutput hand_over(LeaseId lease, Time now);

    ClaimOutput receive(const LeaseReply& reply, Time now);
    // A fence has rejected an act: it has accepted a newer term, or the same one of another participant.
    ClaimOutput record_rejection(LeaseId lease, Term highest_term, Time now);
    // An owner is known to have acted: no need to request before its lease may have expired.
    void record_owner(LeaseId lease, Term term, Time now);
    // The owner has released it: no need to wait for the lease to expire.
    void record_release(LeaseId lease, Term term, Time now);

    // What is due. To be called when next_due() says, and may be called at any time.
    ClaimOutput advance(Time now);
    std::optional<Time> next_due() const;

    // What to act with, right now; none: it is not the owner. `now` is read after all that could have taken
    // time, right before the act. Every act goes through here.
    std::optional<FencingToken> fencing_token(LeaseId lease, Time now) const;

    const std::map<LeaseId, Claim>& claims() const { return claims_; }

  private:
    void send_requests(LeaseId lease, Claim& claim, Time now, ClaimOutput& output);
    void request_new_term(LeaseId lease, Claim& claim, Time now, ClaimOutput& output);
    void renew(LeaseId lease, Claim& claim, Time now, ClaimOutput& output);
    void receive_grant(const LeaseReply& reply, Claim& claim, Time now, ClaimOutput& output);
    void receive_denial(const LeaseReply& reply, Claim& claim, Time now, ClaimOutput& output);
    void enter(LeaseId lease, Claim& claim, ClaimState state, const char* reason, ClaimOutput& output);
    void wait(Claim& claim, Time now, Duration minimum);
    void give_up(LeaseId lease, Claim& claim, Time now, Duration minimum_wait, const char* reason,
                 ClaimOutput& output);

    Participant self_;
    Settings settings_;
    std::function<double()> draw_;
    std::map<LeaseId, Claim> claims_;
    std::uint32_t round_ = 0;  // the latest of all leases; never reused within an incarnation
};

}  // namespace indigovane::ownership
