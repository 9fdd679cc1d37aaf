#include "ownership/voter.hpp"

#include <algorithm>

namespace indigovane::ownership {

Voter::Voter(NodeId self, const Settings& settings, const std::vector<Promise>& kept, Time started)
    : self_(self), set_(settings), awake_(settings.sit_out ? started + settings.lease : started) {
    for (const Promise& p : kept) grants_[p.duty] = {p, started};
}

Voter::Reply Voter::ask(const LeaseRequest& a, Time now) {
    // Guards its memory against a peer that asks for ever new duties.
    if (grants_.size() >= kMostDuties && !grants_.count(a.duty))
        return {std::nullopt, {a.duty, a.term, self_, a.from, a.round, false, 0, set_.lease}};
    Grant& h = grants_[a.duty];
    LeaseReply answer{a.duty, a.term, self_, a.from, a.round, false, h.promise.term, {}};
    bool same = a.term == h.promise.term && a.from == h.promise.holder && !h.promise.released;
    // Its own earlier grant does not bar a party that asks again in a new term: it has given up the old one.
    bool free = h.promise.term == 0 || h.promise.released || now >= h.until || a.from == h.promise.holder;
    bool newer = a.term > h.promise.term;
    if (sits_out(now)) {
        answer.left = awake_ - now;
    } else if (same || (newer && free)) {
        h.promise = {a.duty, a.term, a.from, false};
        h.until = now + set_.lease;
        answer.granted = true;
        answer.highest = a.term;
        return {same ? std::nullopt : std::optional(h.promise), answer};
    } else if (!free) {
        answer.left = h.until - now;
    }
    return {std::nullopt, answer};
}

std::optional<Promise> Voter::release(const LeaseRelease& r) {
    auto it = grants_.find(r.duty);
    if (it == grants_.end()) return std::nullopt;
    Promise& p = it->second.promise;
    if (p.term != r.term || p.holder != r.from || p.released) return std::nullopt;
    p.released = true;
    return p;
}

}  // namespace indigovane::ownership
