// LeaseNode: everything that one node does for leases. It combines the node's voter, its claims and the
// choice of leases that it stands by for. Events go in; messages to send, records to store and transitions to
// log come out, and the caller processes them. Source: docs/ownership.md.
#pragma once

#include <set>

#include "ownership/lease_claims.hpp"
#include "ownership/standby_order.hpp"
#include "ownership/voter.hpp"

namespace indigovane::ownership {

struct OutgoingMessage {
    NodeId to{};
    Message message;
};

// The caller must store all of `persist` before it sends any of `send`.
struct NodeOutput {
    std::vector<GrantRecord> persist;
    std::vector<OutgoingMessage> send;
    std::vector<ClaimTransition> transitions;
};

class LeaseNode {
  public:
    static constexpr std::size_t kDefaultStandbyCount = 3;

    // `stored`: the grants from the store. `standby_count`: number of nodes that stand by for each lease.
    // `draw`: returns uniform random numbers in [0, 1).
    LeaseNode(const Participant& self, const Settings& settings, const std::vector<GrantRecord>& stored,
              std::function<double()> draw, Time started, std::size_t standby_count = kDefaultStandbyCount);

    // Set all existing leases and the members that are considered alive. The node then stands by for the
    // leases that it is among the first `standby_count` members for. It keeps a lease that it owns when
    // members join.
    NodeOutput set_leases(const std::vector<LeaseId>& leases, Time now);
    NodeOutput set_members(std::vector<NodeId> alive, Time now);

    NodeOutput receive(const LeaseRequest& request, Time now);
    NodeOutput receive(const LeaseReply& reply, Time now);
    NodeOutput receive(const LeaseRelease& release, Time now);

    // The following functions do what the functions of the same name in LeaseClaims do.
    void record_owner(LeaseId lease, Term term, Time now) { claims_.record_owner(lease, term, now); }
    NodeOutput record_rejection(LeaseId lease, Term highest_term, Time now);
    NodeOutput hand_over(LeaseId lease, Time now);
    // Releases all leases that it owns, at the end of the process.
    NodeOutput shut_down(Time now);
    NodeOutput advance(Time now);
    std::optional<Time> next_due() const { return claims_.next_due(); }
    std::optional<FencingToken> fencing_token(LeaseId lease, Time now) const {
        return claims_.fencing_token(lease, now);
    }

    const LeaseClaims& claims() const { return claims_; }
    const Voter& voter() const { return voter_; }
    bool is_voter() const { return is_voter_; }

  private:
    void update_standby(LeaseId lease, Time now, NodeOutput& output);
    void add(const ClaimOutput& claim_output, NodeOutput& output) const;
    std::vector<NodeId> recipients(const Message& message) const;

    Participant self_;
    Settings settings_;
    LeaseClaims claims_;
    Voter voter_;
    bool is_voter_;
    std::size_t standby_count_;
    std::set<LeaseId> leases_;
    std::vector<NodeId> alive_;  // in ascending order
};

}  // namespace indigovane::ownership
