// One node's whole part in ownership: its vote, its claims, whom it stands behind. What it is told goes in,
// what is to be sent, kept and logged comes out; a shell carries it.
#pragma once

#include <set>

#include "ownership/claims.hpp"
#include "ownership/placement.hpp"
#include "ownership/voter.hpp"

namespace indigovane::ownership {

struct OutgoingMessage {
    NodeId to{};
    std::variant<LeaseRequest, LeaseReply, LeaseRelease> message;
};
struct NodeOutput {
    // In this order: what is in `keep` is on disk before any of `send` leaves.
    std::vector<Promise> keep;
    std::vector<OutgoingMessage> send;
    std::vector<ClaimTransition> turns;
};

class LeaseNode {
  public:
    // `kept`: the promises that the store holds. `candidates`: so many stand for each duty at a time.
    LeaseNode(const Participant& self, const Settings& settings, const std::vector<Promise>& kept,
              std::function<double()> draw, Time started, std::size_t candidates = 3);

    // All duties there are, and who is thought to be alive: from then on it stands for those that it is among
    // the first for. What it owns it keeps while it lives, whoever comes: nothing is taken away in peace.
    NodeOutput duties(const std::vector<DutyId>& duties, Time now);
    NodeOutput members(std::vector<NodeId> alive, Time now);

    NodeOutput receive(const LeaseRequest& ask, Time now);
    NodeOutput receive(const LeaseReply& answer, Time now);
    NodeOutput receive(const LeaseRelease& release, Time now);
    void heard(DutyId duty, Term term, Time now) { claims_.heard(duty, term, now); }
    NodeOutput refused(DutyId duty, Term highest, Time now);
    NodeOutput move(DutyId duty, Time now);
    NodeOutput leave(Time now);  // at the end: all that it owns is given back
    NodeOutput tick(Time now);
    std::optional<Time> next() const { return claims_.next(); }

    std::optional<Term> may_act(DutyId duty, Time now) const { return claims_.may_act(duty, now); }
    const Claims& claims() const { return claims_; }
    const Voter& voter() const { return voter_; }
    bool votes() const { return votes_; }

  private:
    void place(DutyId duty, Time now, NodeOutput& work);
    void take(const ClaimOutput& out, NodeOutput& work);

    Participant self_;
    Settings set_;
    Claims claims_;
    Voter voter_;
    bool votes_;
    std::size_t candidates_;
    std::set<DutyId> duties_;
    std::vector<NodeId> alive_;
};

}  // namespace indigovane::ownership
