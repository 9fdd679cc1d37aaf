#include "ownership/lease_claims.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::ownership {

namespace {
constexpr int kRenewalsPerLease = 3;
constexpr std::size_t kMaxRecentRounds = 4;  // a reply to an older round is of no use
constexpr unsigned kMaxBackoffDoublings = 10;
}  // namespace

const char* state_name(ClaimState state) {
    switch (state) {
        case ClaimState::waiting:
            return "waiting";
        case ClaimState::requesting:
            return "asking";
        case ClaimState::owner:
            return "owner";
    }
    return "";
}

LeaseClaims::LeaseClaims(const Participant& self, const Settings& settings, std::function<double()> draw)
    : self_(self), settings_(settings), draw_(std::move(draw)) {}

void LeaseClaims::change_state(LeaseId lease, Claim& claim, ClaimState state, const char* reason,
                               ClaimOutput& output) {
    output.transitions.push_back({lease, claim.state, state, claim.term, reason});
    claim.state = state;
}

// Schedules the next request. When an owner is lost, candidates do not request all at once: each waits for
// the delay of its rank plus a random time of up to half a standby delay. Split votes add a random backoff.
void LeaseClaims::schedule_request(Claim& claim, Time now, Duration minimum_wait) {
    Duration jitter(std::int64_t(double(settings_.standby_delay.count()) * 0.5 * draw_()));
    Duration delay = settings_.standby_delay * claim.standby_rank + jitter;
    Duration backoff = Duration::zero();
    if (claim.split_votes > 0) {
        Duration doubled = settings_.standby_delay * (1 << std::min(claim.split_votes, kMaxBackoffDoublings));
        Duration max = std::min(settings_.max_backoff, doubled);
        backoff = Duration(std::int64_t(double(max.count()) * draw_()));
    }
    claim.next_action_at = now + std::max(Duration::zero(), minimum_wait) + delay + backoff;
}

void LeaseClaims::stand_by(LeaseId lease, unsigned standby_rank, Time now) {
    auto [it, inserted] = claims_.try_emplace(lease);
    Claim& claim = it->second;
    if (!inserted && claim.standby_rank == standby_rank) return;
    claim.standby_rank = standby_rank;
    if (claim.state != ClaimState::waiting) return;
    if (inserted || claim.next_action_at <= now) schedule_request(claim, now, Duration::zero());
}

void LeaseClaims::give_up(LeaseId lease, Claim& claim, Time now, Duration minimum_wait, const char* reason,
                          ClaimOutput& output) {
    if (claim.state != ClaimState::waiting) {
        // This node does nothing in this term any more, so the voters need not wait for it to expire.
        output.messages.push_back(LeaseRelease{lease, claim.term, self_, claim.state == ClaimState::owner});
        change_state(lease, claim, ClaimState::waiting, reason, output);
    }
    claim.recent_rounds.clear();
    claim.denied_until.clear();
    claim.owned_until = {};
    schedule_request(claim, now, minimum_wait);
}

ClaimOutput LeaseClaims::withdraw(LeaseId lease, Time now) {
    ClaimOutput output;
    auto it = claims_.find(lease);
    if (it == claims_.end()) return output;
    give_up(lease, it->second, now, Duration::zero(), "no longer stands by for it", output);
    claims_.erase(it);
    return output;
}

ClaimOutput LeaseClaims::hand_over(LeaseId lease, Time now) {
    ClaimOutput output;
    auto it = claims_.find(lease);
    if (it == claims_.end() || !fencing_token(lease, now)) return output;
    give_up(lease, it->second, now, settings_.lease_duration, "handed over", output);
    return output;
}

void LeaseClaims::send_requests(LeaseId lease, Claim& claim, Time now, ClaimOutput& output) {
    ++latest_round_;
    claim.latest_round = latest_round_;
    claim.recent_rounds[claim.latest_round] = {now, {}};
    while (claim.recent_rounds.size() > kMaxRecentRounds)
        claim.recent_rounds.erase(claim.recent_rounds.begin());
    output.messages.push_back(LeaseRequest{lease, claim.term, self_, claim.latest_round});
}

ClaimOutput LeaseClaims::receive(const LeaseReply& reply, Time now) {
    ClaimOutput output;
    auto it = claims_.find(reply.lease);
    if (it == claims_.end() || reply.to != self_) return output;
    Claim& claim = it->second;
    claim.highest_term = std::max(claim.highest_term, reply.highest_term);
    const std::vector<NodeId>& voters = settings_.voters;
    bool from_voter = std::find(voters.begin(), voters.end(), reply.from) != voters.end();
    if (!from_voter || claim.state == ClaimState::waiting || reply.term != claim.term) return output;
    if (reply.granted)
        receive_grant(reply, claim, now, output);
    else
        receive_denial(reply, claim, now, output);
    return output;
}

void LeaseClaims::receive_grant(const LeaseReply& reply, Claim& claim, Time now, ClaimOutput& output) {
    auto round = claim.recent_rounds.find(reply.round);
    if (round == claim.recent_rounds.end()) return;
    auto& [sent, granted_by] = round->second;
    if (std::find(granted_by.begin(), granted_by.end(), reply.from) != granted_by.end()) return;
    granted_by.push_back(reply.from);
    if (granted_by.size() < settings_.quorum()) return;
    // The duration counts from the request and not from the reply: each voter's lease began between the two.
    Duration duration = settings_.ownership_duration();
    Time until = sent + duration;
    if (until <= now) return;
    claim.owned_until = std::max(claim.owned_until, until);
    claim.split_votes = 0;
    claim.next_action_at = std::min(claim.owned_until, std::max(now, sent + duration / kRenewalsPerLease));
    if (claim.state == ClaimState::requesting)
        change_state(reply.lease, claim, ClaimState::owner, "granted by a quorum", output);
}

// Once the voters that have not denied the request are too few for a quorum, the candidate waits until enough
// voters may grant it. In that case there is an owner and the vote was not split.
void LeaseClaims::receive_denial(const LeaseReply& reply, Claim& claim, Time now, ClaimOutput& output) {
    // An owner keeps its lease until it expires: a voter that has just started denies every request.
    if (claim.state == ClaimState::owner) return;
    claim.denied_until[reply.from] = now + std::min(reply.denied_for, settings_.lease_duration);
    std::size_t dispensable = settings_.voters.size() - settings_.quorum();
    if (claim.denied_until.size() <= dispensable) return;
    std::vector<Time> ends;
    for (const auto& [voter, until] : claim.denied_until) ends.push_back(until);
    std::sort(ends.begin(), ends.end());
    Duration minimum_wait = ends[ends.size() - dispensable - 1] - now;
    give_up(reply.lease, claim, now, minimum_wait, "denied by too many voters", output);
}

ClaimOutput LeaseClaims::record_rejection(LeaseId lease, Term highest_term, Time now) {
    ClaimOutput output;
    auto it = claims_.find(lease);
    if (it == claims_.end()) return output;
    Claim& claim = it->second;
    claim.highest_term = std::max(claim.highest_term, highest_term);
    if (claim.state != ClaimState::waiting && highest_term >= claim.term)
        give_up(lease, claim, now, Duration::zero(), "a fence rejected its act", output);
    return output;
}

void LeaseClaims::record_owner(LeaseId lease, Term term, Time now) {
    auto it = claims_.find(lease);
    if (it == claims_.end() || term < it->second.highest_term) return;
    Claim& claim = it->second;
    claim.highest_term = term;
    if (claim.state == ClaimState::waiting) schedule_request(claim, now, settings_.lease_duration);
}

void LeaseClaims::record_release(LeaseId lease, Term term, Time now) {
    auto it = claims_.find(lease);
    if (it == claims_.end() || term < it->second.highest_term) return;
    Claim& claim = it->second;
    claim.highest_term = term;
    if (claim.state == ClaimState::waiting && claim.next_action_at > now)
        schedule_request(claim, now, Duration::zero());
}

ClaimOutput LeaseClaims::advance(Time now) {
    ClaimOutput output;
    for (auto& [lease, claim] : claims_) {
        if (claim.state == ClaimState::owner && now >= claim.owned_until) {
            give_up(lease, claim, now, Duration::zero(), "its lease has expired", output);
            continue;
        }
        if (now < claim.next_action_at) continue;
        switch (claim.state) {
            case ClaimState::waiting:
                request_new_term(lease, claim, now, output);
                break;
            case ClaimState::requesting:
                ++claim.split_votes;
                give_up(lease, claim, now, Duration::zero(), "not granted by a quorum in time", output);
                break;
            case ClaimState::owner:
                renew(lease, claim, now, output);
                break;
        }
    }
    return output;
}

void LeaseClaims::request_new_term(LeaseId lease, Claim& claim, Time now, ClaimOutput& output) {
    ++claim.highest_term;
    claim.term = claim.highest_term;
    claim.owned_until = {};
    change_state(lease, claim, ClaimState::requesting, "its standby delay is over", output);
    send_requests(lease, claim, now, output);
    claim.next_action_at = now + settings_.reply_timeout;
}

// Sends a renewal and schedules the next one for when this one has gone unanswered: a lease leaves time for
// several lost renewals.
void LeaseClaims::renew(LeaseId lease, Claim& claim, Time now, ClaimOutput& output) {
    send_requests(lease, claim, now, output);
    Duration interval = std::min(settings_.reply_timeout, settings_.ownership_duration() / kRenewalsPerLease);
    claim.next_action_at = std::min(claim.owned_until, now + interval);
}

std::optional<Time> LeaseClaims::next_due() const {
    std::optional<Time> next;
    for (const auto& [lease, claim] : claims_) {
        Time due = claim.state == ClaimState::owner ? std::min(claim.next_action_at, claim.owned_until)
                                                    : claim.next_action_at;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

std::optional<FencingToken> LeaseClaims::fencing_token(LeaseId lease, Time now) const {
    auto it = claims_.find(lease);
    if (it == claims_.end() || it->second.state != ClaimState::owner) return std::nullopt;
    const Claim& claim = it->second;
    // Without this check an owner acts until its next advance(), however long that takes.
    if (settings_.check_expiry && now >= claim.owned_until) return std::nullopt;
    return FencingToken{claim.term, self_};
}

}  // namespace indigovane::ownership
