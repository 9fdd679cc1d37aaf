// One node's complete part in ownership: its vote, its claims, and the leases that it stands by for. Events
// go in; messages, records to store and transitions to log come out, which the caller carries out. Source:
// docs/ownership.md.
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

// To be carried out in this order: what is in `persist` is stored before any of `send` leaves.
struct NodeOutput {
    std::vector<GrantRecord> persist;
    std::vector<OutgoingMessage> send;
    std::vector<ClaimTransition> transitions;
};

class LeaseNode {
  public:
    static constexpr std::size_t kDefaultStandbyCount = 3;

    // `stored`: the grants that the store holds. `standby_count`: so many nodes stand by for each lease.
    LeaseNode(const Participant& self, const Settings& settings, const std::vector<GrantRecord>& stored,
              std::function<double()> draw, Time started, std::size_t standby_count = kDefaultStandbyCount);

    // All leases there are, and the members that are taken to be alive: from then on it stands by for those
    // leases that it is among the first for. It keeps what it owns, whoever joins.
    NodeOutput set_leases(const std::vector<LeaseId>& leases, Time now);
    NodeOutput set_members(std::vector<NodeId> alive, Time now);

    NodeOutput receive(const LeaseRequest& request, Time now);
    NodeOutput receive(const LeaseReply& reply, Time now);
    NodeOutput receive(const LeaseRelease& release, Time now);

    // See LeaseClaims.
    void record_owner(LeaseId lease, Term term, Time now) { claims_.record_owner(lease, term, now); }
    NodeOutput record_rejection(LeaseId lease, Term highest_term, Time now);
    NodeOutput hand_over(LeaseId lease, Time now);
    // At the end of the process: releases all that it owns.
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
    void add(const ClaimOutput& claimed, NodeOutput& output) const;
    std::vector<NodeId> recipients(const Message& message) const;

    Participant self_;
    Settings settings_;
    LeaseClaims claims_;
    Voter voter_;
    bool is_voter_;
    std::size_t standby_count_;
    std::set<LeaseId> leases_;
    std::vector<NodeId> alive_;  // ascending
};

}  // namespace indigovane::ownership
