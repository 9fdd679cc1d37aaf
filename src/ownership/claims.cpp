#include "ownership/claims.hpp"

#include <algorithm>

namespace indigovane::ownership {

namespace {
constexpr int kRenewals = 3;            // begun after such a part of the lease
constexpr std::size_t kRoundsKept = 4;  // an answer to an older one says nothing of use
}  // namespace

const char* name(ClaimState s) {
    switch (s) {
        case ClaimState::waiting:
            return "waiting";
        case ClaimState::requesting:
            return "asking";
        case ClaimState::owner:
            return "owner";
    }
    return "";
}

Duration Settings::own() const {
    double share = heed_drift ? (1 - drift) / (1 + drift) : 1;
    return std::max(Duration::zero(), Duration(std::int64_t(double(lease.count()) * share)) - margin);
}

Claims::Claims(const Participant& self, const Settings& settings, std::function<double()> draw)
    : self_(self), set_(settings), draw_(std::move(draw)) {}

void Claims::turn(DutyId duty, Claim& c, ClaimState to, const char* why, ClaimOutput& out) {
    out.turns.push_back({duty, c.standing, to, c.term, why});
    c.standing = to;
}

// Guards against all candidates asking at once, whenever an owner is lost: each has its rank's time, and half
// a step of its own. Votes that were split make the steps longer.
void Claims::wait(Claim& c, Time now, Duration least) {
    Duration own = set_.step * c.rank + Duration(std::int64_t(double(set_.step.count()) * 0.5 * draw_()));
    Duration more = Duration::zero();
    if (c.attempts > 0) {
        Duration most = std::min(set_.back_off_most, set_.step * (1 << std::min(c.attempts, 10u)));
        more = Duration(std::int64_t(double(most.count()) * draw_()));
    }
    c.due = now + std::max(Duration::zero(), least) + own + more;
}

void Claims::stand(DutyId duty, unsigned rank, Time now) {
    auto [it, first] = claims_.try_emplace(duty);
    Claim& c = it->second;
    if (!first && c.rank == rank) return;
    c.rank = rank;
    if (c.standing != ClaimState::waiting) return;
    if (first || c.due <= now) wait(c, now, Duration::zero());
}

void Claims::stop(DutyId duty, Claim& c, Time now, Duration least, const char* why, ClaimOutput& out) {
    if (c.standing != ClaimState::waiting) {
        // In this term nothing is done any more: the voters need not wait for it to lapse.
        out.messages.push_back(LeaseRelease{duty, c.term, self_, c.standing == ClaimState::owner});
        turn(duty, c, ClaimState::waiting, why, out);
    }
    c.rounds.clear();
    c.denied.clear();
    c.until = {};
    wait(c, now, least);
}

ClaimOutput Claims::leave(DutyId duty, Time now) {
    ClaimOutput out;
    auto it = claims_.find(duty);
    if (it == claims_.end()) return out;
    stop(duty, it->second, now, Duration::zero(), "stands for it no more", out);
    claims_.erase(it);
    return out;
}

ClaimOutput Claims::move(DutyId duty, Time now) {
    ClaimOutput out;
    auto it = claims_.find(duty);
    if (it == claims_.end() || !may_act(duty, now)) return out;
    stop(duty, it->second, now, set_.lease, "given to another", out);
    return out;
}

void Claims::ask(DutyId duty, Claim& c, Time now, ClaimOutput& out) {
    c.round = ++round_;
    c.rounds[c.round] = {now, {}};
    while (c.rounds.size() > kRoundsKept) c.rounds.erase(c.rounds.begin());
    out.messages.push_back(LeaseRequest{duty, c.term, self_, c.round});
}

ClaimOutput Claims::answer(const LeaseReply& a, Time now) {
    ClaimOutput out;
    auto it = claims_.find(a.duty);
    if (it == claims_.end() || a.to != self_) return out;
    Claim& c = it->second;
    c.highest = std::max(c.highest, a.highest);
    bool votes = std::find(set_.voters.begin(), set_.voters.end(), a.from) != set_.voters.end();
    if (!votes || c.standing == ClaimState::waiting || a.term != c.term) return out;
    if (!a.granted) {
        // An owner goes on to the end of what it has: a voter that has just started denies all.
        if (c.standing == ClaimState::owner) return out;
        // Once too many have denied it for a majority of the others, it waits until enough of them may grant
        // it: there is an owner, and nothing was wrong with the vote.
        c.denied[a.from] = now + std::min(a.left, set_.lease);
        std::size_t spare = set_.voters.size() - set_.majority();
        if (c.denied.size() <= spare) return out;
        std::vector<Time> free;
        for (const auto& [voter, at] : c.denied) free.push_back(at);
        std::sort(free.begin(), free.end());
        stop(a.duty, c, now, free[free.size() - spare - 1] - now, "others have it", out);
        return out;
    }
    auto round = c.rounds.find(a.round);
    if (round == c.rounds.end()) return out;
    auto& [asked, granted] = round->second;
    if (std::find(granted.begin(), granted.end(), a.from) != granted.end()) return out;
    granted.push_back(a.from);
    if (granted.size() < set_.majority()) return out;
    // Counted from when it asked, not from when it was answered: each voter counts from between the two.
    Time until = asked + set_.own();
    if (until <= now) return out;
    c.until = std::max(c.until, until);
    c.attempts = 0;
    c.due = std::min(c.until, std::max(now, asked + set_.own() / kRenewals));
    if (c.standing == ClaimState::requesting)
        turn(a.duty, c, ClaimState::owner, "a majority has granted it", out);
    return out;
}

ClaimOutput Claims::refused(DutyId duty, Term highest, Time now) {
    ClaimOutput out;
    auto it = claims_.find(duty);
    if (it == claims_.end()) return out;
    Claim& c = it->second;
    c.highest = std::max(c.highest, highest);
    if (c.standing != ClaimState::waiting && highest >= c.term)
        stop(duty, c, now, Duration::zero(), "a newer term has acted", out);
    return out;
}

void Claims::heard(DutyId duty, Term term, Time now) {
    auto it = claims_.find(duty);
    if (it == claims_.end() || term < it->second.highest) return;
    Claim& c = it->second;
    c.highest = term;
    if (c.standing == ClaimState::waiting) wait(c, now, set_.lease);
}

void Claims::released(DutyId duty, Term term, Time now) {
    auto it = claims_.find(duty);
    if (it == claims_.end() || term < it->second.highest) return;
    Claim& c = it->second;
    c.highest = term;
    if (c.standing == ClaimState::waiting && c.due > now) wait(c, now, Duration::zero());
}

ClaimOutput Claims::tick(Time now) {
    ClaimOutput out;
    for (auto& [duty, c] : claims_) {
        if (c.standing == ClaimState::owner && now >= c.until) {
            stop(duty, c, now, Duration::zero(), "its lease is over", out);
            continue;
        }
        if (now < c.due) continue;
        if (c.standing == ClaimState::waiting) {
            c.term = c.highest = c.highest + 1;
            c.until = {};
            turn(duty, c, ClaimState::requesting, "its turn", out);
            ask(duty, c, now, out);
            c.due = now + set_.reply_timeout;
        } else if (c.standing == ClaimState::requesting) {
            ++c.attempts;
            stop(duty, c, now, Duration::zero(), "no majority has granted it", out);
        } else {
            // Again as soon as that goes unanswered: a lease has room for several that get lost.
            ask(duty, c, now, out);
            c.due = std::min(c.until, now + std::min(set_.reply_timeout, set_.own() / kRenewals));
        }
    }
    return out;
}

std::optional<Time> Claims::next() const {
    std::optional<Time> next;
    for (const auto& [duty, c] : claims_) {
        Time at = c.standing == ClaimState::owner ? std::min(c.due, c.until) : c.due;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

std::optional<Term> Claims::may_act(DutyId duty, Time now) const {
    auto it = claims_.find(duty);
    if (it == claims_.end() || it->second.standing != ClaimState::owner) return std::nullopt;
    // Without this look an owner acts until its next tick, however long that was ago.
    if (set_.check_before_act && now >= it->second.until) return std::nullopt;
    return it->second.term;
}

}  // namespace indigovane::ownership
