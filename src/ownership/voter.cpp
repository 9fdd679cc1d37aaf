#include "ownership/voter.hpp"

#include <algorithm>

namespace indigovane::ownership {

namespace {
LeaseReply denial(NodeId voter, const LeaseRequest& request) {
    LeaseReply reply;
    reply.lease = request.lease;
    reply.term = request.term;
    reply.from = voter;
    reply.to = request.from;
    reply.round = request.round;
    return reply;
}
}  // namespace

Voter::Voter(NodeId self, const Settings& settings, const std::vector<GrantRecord>& stored, Time started)
    : self_(self),
      settings_(settings),
      grants_from_(settings.wait_after_start ? started + settings.lease_duration : started) {
    for (const GrantRecord& record : stored) grants_[record.lease] = {record, started};
}

Voter::Vote Voter::vote(const LeaseRequest& request, Time now) {
    LeaseReply reply = denial(self_, request);
    // Bounds the memory that a peer can use up by requesting ever new leases.
    if (grants_.size() >= kMaxLeases && !grants_.count(request.lease)) {
        reply.denied_for = settings_.lease_duration;
        return {std::nullopt, reply};
    }
    Grant& grant = grants_[request.lease];
    GrantRecord& record = grant.record;
    reply.highest_term = record.term;
    if (waits_after_start(now)) {
        reply.denied_for = grants_from_ - now;
        return {std::nullopt, reply};
    }
    bool renewal = request.term == record.term && request.from == record.holder && !record.released;
    // A participant that requests a new term has given up its old one, so its own earlier grant does not
    // block it.
    bool available =
        record.term == 0 || record.released || now >= grant.expires || request.from == record.holder;
    bool newer = request.term > record.term;
    if (!renewal && !(newer && available)) {
        if (!available) reply.denied_for = grant.expires - now;
        return {std::nullopt, reply};
    }
    record = {request.lease, request.term, request.from, false};
    grant.expires = now + settings_.lease_duration;
    reply.granted = true;
    reply.highest_term = request.term;
    return {renewal ? std::nullopt : std::optional(record), reply};
}

std::optional<GrantRecord> Voter::release(const LeaseRelease& release) {
    auto it = grants_.find(release.lease);
    if (it == grants_.end()) return std::nullopt;
    GrantRecord& record = it->second.record;
    if (record.term != release.term || record.holder != release.from || record.released) return std::nullopt;
    record.released = true;
    return record;
}

}  // namespace indigovane::ownership
