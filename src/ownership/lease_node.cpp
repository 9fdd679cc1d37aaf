#include "ownership/lease_node.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::ownership {

namespace {
bool contains(const std::vector<NodeId>& nodes, NodeId node) {
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}
}  // namespace

LeaseNode::LeaseNode(const Participant& self, const Settings& settings,
                     const std::vector<GrantRecord>& stored, std::function<double()> draw, Time started,
                     std::size_t standby_count)
    : self_(self),
      settings_(settings),
      claims_(self, settings, std::move(draw)),
      voter_(self.node, settings, stored, started),
      is_voter_(contains(settings.voters, self.node)),
      standby_count_(standby_count) {}

NodeOutput LeaseNode::set_leases(const std::vector<LeaseId>& leases, Time now) {
    NodeOutput output;
    std::set<LeaseId> listed(leases.begin(), leases.end());
    for (LeaseId lease : leases_)
        if (!listed.count(lease)) add(claims_.withdraw(lease, now), output);
    leases_ = std::move(listed);
    for (LeaseId lease : leases_) update_standby(lease, now, output);
    return output;
}

NodeOutput LeaseNode::set_members(std::vector<NodeId> alive, Time now) {
    NodeOutput output;
    std::sort(alive.begin(), alive.end());
    if (alive == alive_) return output;
    alive_ = std::move(alive);
    for (LeaseId lease : leases_) update_standby(lease, now, output);
    return output;
}

void LeaseNode::update_standby(LeaseId lease, Time now, NodeOutput& output) {
    std::vector<NodeId> order = standby_order(lease, alive_, standby_count_);
    auto self = std::find(order.begin(), order.end(), self_.node);
    if (self != order.end())
        claims_.stand_by(lease, unsigned(self - order.begin()), now);
    else if (!claims_.fencing_token(lease, now))
        add(claims_.withdraw(lease, now), output);
}

// Returns all voters, including this node if it is one, because its own vote also counts only once it is
// stored. An owner's release also goes to the standby nodes, so that they need not wait until the lease
// expires.
std::vector<NodeId> LeaseNode::recipients(const Message& message) const {
    std::vector<NodeId> nodes = settings_.voters;
    const auto* release = std::get_if<LeaseRelease>(&message);
    if (!release || !release->was_owner) return nodes;
    for (NodeId node : standby_order(release->lease, alive_, standby_count_))
        if (!contains(nodes, node)) nodes.push_back(node);
    return nodes;
}

void LeaseNode::add(const ClaimOutput& claim_output, NodeOutput& output) const {
    output.transitions.insert(output.transitions.end(), claim_output.transitions.begin(),
                              claim_output.transitions.end());
    for (const Message& message : claim_output.messages)
        for (NodeId node : recipients(message)) output.send.push_back({node, message});
}

NodeOutput LeaseNode::receive(const LeaseRequest& request, Time now) {
    NodeOutput output;
    if (!is_voter_) return output;
    Voter::Vote vote = voter_.vote(request, now);
    if (vote.persist) output.persist.push_back(*vote.persist);
    output.send.push_back({request.from.node, vote.reply});
    return output;
}

NodeOutput LeaseNode::receive(const LeaseReply& reply, Time now) {
    NodeOutput output;
    add(claims_.receive(reply, now), output);
    return output;
}

NodeOutput LeaseNode::receive(const LeaseRelease& release, Time now) {
    NodeOutput output;
    if (auto record = is_voter_ ? voter_.release(release) : std::nullopt) output.persist.push_back(*record);
    if (release.was_owner) claims_.record_release(release.lease, release.term, now);
    return output;
}

NodeOutput LeaseNode::record_rejection(LeaseId lease, Term highest_term, Time now) {
    NodeOutput output;
    add(claims_.record_rejection(lease, highest_term, now), output);
    return output;
}

NodeOutput LeaseNode::hand_over(LeaseId lease, Time now) {
    NodeOutput output;
    add(claims_.hand_over(lease, now), output);
    return output;
}

NodeOutput LeaseNode::shut_down(Time now) {
    NodeOutput output;
    for (LeaseId lease : leases_) add(claims_.withdraw(lease, now), output);
    leases_.clear();
    return output;
}

NodeOutput LeaseNode::advance(Time now) {
    NodeOutput output;
    add(claims_.advance(now), output);
    return output;
}

}  // namespace indigovane::ownership
