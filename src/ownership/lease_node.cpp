#include "ownership/lease_node.hpp"

#include <algorithm>

namespace indigovane::ownership {

LeaseNode::LeaseNode(const Participant& self, const Settings& settings, const std::vector<Promise>& kept,
                     std::function<double()> draw, Time started, std::size_t candidates)
    : self_(self),
      set_(settings),
      claims_(self, settings, std::move(draw)),
      voter_(self.node, settings, kept, started),
      votes_(std::find(settings.voters.begin(), settings.voters.end(), self.node) != settings.voters.end()),
      candidates_(candidates) {}

NodeOutput LeaseNode::duties(const std::vector<DutyId>& duties, Time now) {
    NodeOutput work;
    std::set<DutyId> all(duties.begin(), duties.end());
    for (DutyId gone : duties_)
        if (!all.count(gone)) take(claims_.leave(gone, now), work);
    duties_ = std::move(all);
    for (DutyId duty : duties_) place(duty, now, work);
    return work;
}

NodeOutput LeaseNode::members(std::vector<NodeId> alive, Time now) {
    NodeOutput work;
    std::sort(alive.begin(), alive.end());
    if (alive == alive_) return work;
    alive_ = std::move(alive);
    for (DutyId duty : duties_) place(duty, now, work);
    return work;
}

void LeaseNode::place(DutyId duty, Time now, NodeOutput& work) {
    auto first = candidates(duty, alive_, candidates_);
    auto me = std::find(first.begin(), first.end(), self_.node);
    if (me != first.end())
        claims_.stand(duty, unsigned(me - first.begin()), now);
    else if (!claims_.may_act(duty, now))
        take(claims_.leave(duty, now), work);
}

// To all voters, itself among them if it is one: that way its own vote, too, counts only once it is kept.
// What is released is told to those that stand for it as well, so that they need not wait for a lapse.
void LeaseNode::take(const ClaimOutput& out, NodeOutput& work) {
    work.turns.insert(work.turns.end(), out.turns.begin(), out.turns.end());
    for (const Message& m : out.messages) {
        std::vector<NodeId> to = set_.voters;
        if (auto* release = std::get_if<LeaseRelease>(&m); release && release->owned)
            for (NodeId n : candidates(release->duty, alive_, candidates_))
                if (std::find(to.begin(), to.end(), n) == to.end()) to.push_back(n);
        for (NodeId n : to) std::visit([&](const auto& what) { work.send.push_back({n, what}); }, m);
    }
}

NodeOutput LeaseNode::receive(const LeaseRequest& ask, Time now) {
    NodeOutput work;
    if (!votes_) return work;
    Voter::Reply reply = voter_.ask(ask, now);
    if (reply.keep) work.keep.push_back(*reply.keep);
    work.send.push_back({ask.from.node, reply.answer});
    return work;
}

NodeOutput LeaseNode::receive(const LeaseReply& answer, Time now) {
    NodeOutput work;
    take(claims_.answer(answer, now), work);
    return work;
}

NodeOutput LeaseNode::receive(const LeaseRelease& release, Time now) {
    NodeOutput work;
    if (auto keep = votes_ ? voter_.release(release) : std::nullopt) work.keep.push_back(*keep);
    if (release.owned) claims_.released(release.duty, release.term, now);
    return work;
}

NodeOutput LeaseNode::refused(DutyId duty, Term highest, Time now) {
    NodeOutput work;
    take(claims_.refused(duty, highest, now), work);
    return work;
}

NodeOutput LeaseNode::move(DutyId duty, Time now) {
    NodeOutput work;
    take(claims_.move(duty, now), work);
    return work;
}

NodeOutput LeaseNode::leave(Time now) {
    NodeOutput work;
    for (DutyId duty : duties_) take(claims_.leave(duty, now), work);
    duties_.clear();
    return work;
}

NodeOutput LeaseNode::tick(Time now) {
    NodeOutput work;
    take(claims_.tick(now), work);
    return work;
}

}  // namespace indigovane::ownership
