// Claims: the leases that one node stands by for, requests or owns.
//
// A candidate requests a lease from all voters in a term above any that it knows. Once a quorum has granted
// it, the candidate owns the lease for `ownership_duration()` since it sent the request, by its own clock. It
// renews the lease in the same term several times before it expires. An owner calls fencing_token() right
// before each act with the current time, because the lease of a process that was paused may have expired.
//
// Settings: all of settings.hpp except wait_after_start, persist_grants and fencing. Source:
// docs/ownership.md.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "ownership/messages.hpp"
#include "ownership/settings.hpp"

namespace indigovane::ownership {

enum class ClaimState : std::uint8_t {
    waiting,     // until its standby delay has passed or another node's lease has ended
    requesting,  // has requested the lease from the voters in a new term
    owner,
};
// The state's name as written to the log.
const char* state_name(ClaimState state);

// A change of state, to be logged.
struct ClaimTransition {
    LeaseId lease{};
    ClaimState before{};
    ClaimState after{};
    Term term = 0;
    const char* reason = "";  // string literal
};

struct ClaimOutput {
    std::vector<Message> messages;  // each goes to all voters, including this node if it is a voter
    std::vector<ClaimTransition> transitions;
};

// Requests that were sent to all voters at the same time.
struct RequestRound {
    Time sent{};
    std::vector<NodeId> granted_by;
};

// Invariant: `recent_rounds` and `denied_until` are empty while the state is `waiting`.
struct Claim {
    ClaimState state = ClaimState::waiting;
    unsigned standby_rank = 0;                            // rank 0 requests the lease first
    Term term = 0;                                        // term that was requested or is owned
    Term highest_term = 0;                                // highest known term of the lease
    std::uint32_t latest_round = 0;                       // number of the last round sent
    std::uint32_t split_votes = 0;                        // votes without a winner since it was last owner
    std::map<std::uint32_t, RequestRound> recent_rounds;  // latest rounds of this term, by number
    std::map<NodeId, Time> denied_until;  // per voter that denied this term: the earliest time of a grant
    Time owned_until{};
    Time next_action_at{};  // when to request, to give up a vote or to renew
};

class LeaseClaims {
  public:
    // `draw`: returns uniform random numbers in [0, 1).
    LeaseClaims(const Participant& self, const Settings& settings, std::function<double()> draw);

    // Starts to stand by for a lease, or changes the standby rank.
    void stand_by(LeaseId lease, unsigned standby_rank, Time now);
    // Stops standing by. A lease that this node owns is released at once.
    ClaimOutput withdraw(LeaseId lease, Time now);
    // Releases a lease that this node owns so that another node can take it. This node requests it again only
    // after a lease's duration.
    ClaimOutput hand_over(LeaseId lease, Time now);

    ClaimOutput receive(const LeaseReply& reply, Time now);
    // Records that a fence rejected an act of this node, because it had accepted `highest_term`: a newer
    // term, or the same term of another participant.
    ClaimOutput record_rejection(LeaseId lease, Term highest_term, Time now);
    // Records that an owner has acted in `term`: a request before its lease may have expired is pointless.
    void record_owner(LeaseId lease, Term term, Time now);
    // Records that the owner has released the lease: this node need not wait until it expires.
    void record_release(LeaseId lease, Term term, Time now);

    // Does what is due at `now`. It must be called at next_due() at the latest and may be called at any time.
    ClaimOutput advance(Time now);
    std::optional<Time> next_due() const;

    // Returns the token to act with, or nothing if this node is not the owner. Every act needs a token from
    // here; `now` must be read right before the act, after everything that may have taken time.
    std::optional<FencingToken> fencing_token(LeaseId lease, Time now) const;

    const std::map<LeaseId, Claim>& claims() const { return claims_; }

  private:
    void send_requests(LeaseId lease, Claim& claim, Time now, ClaimOutput& output);
    void request_new_term(LeaseId lease, Claim& claim, Time now, ClaimOutput& output);
    void renew(LeaseId lease, Claim& claim, Time now, ClaimOutput& output);
    void receive_grant(const LeaseReply& reply, Claim& claim, Time now, ClaimOutput& output);
    void receive_denial(const LeaseReply& reply, Claim& claim, Time now, ClaimOutput& output);
    void change_state(LeaseId lease, Claim& claim, ClaimState state, const char* reason, ClaimOutput& output);
    void schedule_request(Claim& claim, Time now, Duration minimum_wait);
    void give_up(LeaseId lease, Claim& claim, Time now, Duration minimum_wait, const char* reason,
                 ClaimOutput& output);

    Participant self_;
    Settings settings_;
    std::function<double()> draw_;
    std::map<LeaseId, Claim> claims_;
    // Number of the last round over all leases. A number is never reused within an incarnation.
    std::uint32_t latest_round_ = 0;
};

}  // namespace indigovane::ownership
