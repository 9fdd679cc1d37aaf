#include "site/evidence.hpp"

#include <algorithm>
#include <set>

namespace indigovane::site {

const char* name(SiteState s) {
    switch (s) {
        case SiteState::reachable:
            return "reachable";
        case SiteState::doubtful:
            return "doubtful";
        case SiteState::lost:
            return "lost";
        case SiteState::cut_off:
            return "cut off";
        case SiteState::drained:
            return "drained";
        case SiteState::returning:
            return "returning";
    }
    return "";
}

void Evidence::hosts(const std::vector<Host>& hosts) {
    for (const Host& h : hosts) {
        const Host* before = host(h.id);
        // What an earlier life of the process did says nothing of this one.
        if (before && h.started && before->started != h.started) seen_.erase(std::uint32_t(h.id));
    }
    hosts_ = hosts;
    index_.clear();
    for (std::size_t i = 0; i < hosts_.size(); ++i) index_[std::uint32_t(hosts_[i].id)] = i;
    std::erase_if(seen_, [&](const auto& s) { return !index_.count(s.first); });
}

void Evidence::sent(HostId id, Time now) {
    if (!index_.count(std::uint32_t(id))) return;
    HostEvidence& e = seen_[std::uint32_t(id)];
    if (e.out++ == 0) e.waiting = now;
    e.asked = now;
}

void Evidence::over(HostId id) {
    auto it = seen_.find(std::uint32_t(id));
    if (it != seen_.end() && it->second.out > 0) --it->second.out;
}

void Evidence::sign(HostId id, ContactResult sign, Time sent, Time now) {
    if (!index_.count(std::uint32_t(id))) return;
    if (sign != ContactResult::answer && sent < woke_) return;
    HostEvidence& e = seen_[std::uint32_t(id)];
    if (sign == ContactResult::answer) {
        e.answered = e.waiting = now;
        e.mute_since.reset();
        e.mute_at.reset();
        e.mutes = e.broken = 0;
        return;
    }
    // Sent before the last answer came: it was slow, or lost, while the host could answer.
    if (e.answered && sent < *e.answered) return;
    if (!e.mute_since) e.mute_since = sent;
    e.mute_at = now;
    ++e.mutes;
    if (sign == ContactResult::broken) ++e.broken;
}

void Evidence::woke(Time now) {
    woke_ = now;
    for (auto& [id, e] : seen_) {
        e.mute_since.reset();
        e.mute_at.reset();
        e.mutes = e.broken = 0;
        e.waiting = now;  // what is out gets its time anew
    }
}

void Evidence::forget(SiteId site, Time now) {
    for (const Host& h : hosts_) {
        auto it = h.site == site ? seen_.find(std::uint32_t(h.id)) : seen_.end();
        if (it == seen_.end()) continue;
        // What is still out there was sent before: it is over one day, and says nothing of the present.
        std::uint32_t out = it->second.out;
        it->second = {};
        it->second.out = out;
        it->second.waiting = now;
    }
}

SiteEvidence Evidence::of(SiteId site, Time now, Duration fresh, Duration response_timeout) const {
    SiteEvidence out;
    for (const Host& h : hosts_) {
        const HostEvidence* e = h.site == site ? of(h.id) : nullptr;
        if (e && e->answered) out.answered = std::max(out.answered.value_or(*e->answered), *e->answered);
    }
    for (const Host& h : hosts_) {
        if (h.site != site || !h.ready) continue;
        ++out.hosts;
        const HostEvidence* e = of(h.id);
        if (!e) continue;
        // Not all that it ever dealt with: a small pooler comes to know every host of a large site in time,
        // and could never hear a third of them fall silent within `fresh`.
        if (e->out > 0 || (e->asked != Time::min() && now - e->asked <= fresh)) ++out.known;
        bool waits = e->out > 0 && now - e->waiting >= response_timeout;
        bool ended = e->mute_since && now - *e->mute_at <= fresh;
        if (waits || ended) {
            ++out.mute;
            if (waits || !out.answered || *e->mute_at > *out.answered) ++out.run;
            if (ended && e->broken * 2 > e->mutes) ++out.broken;
            Time since = ended ? *e->mute_since : e->waiting;
            out.mute_since = std::min(out.mute_since.value_or(since), since);
            Time at = waits ? now : *e->mute_at;
            out.mute_at = std::max(out.mute_at.value_or(at), at);
        } else if (!e->mute_since && e->answered && now - *e->answered <= fresh) {
            ++out.answering;
        }
    }
    return out;
}

const HostEvidence* Evidence::of(HostId host) const {
    auto it = seen_.find(std::uint32_t(host));
    return it == seen_.end() ? nullptr : &it->second;
}

const Host* Evidence::host(HostId id) const {
    auto it = index_.find(std::uint32_t(id));
    return it == index_.end() ? nullptr : &hosts_[it->second];
}

std::vector<SiteId> Evidence::sites() const {
    std::set<SiteId> out;
    for (const Host& h : hosts_) out.insert(h.site);
    return {out.begin(), out.end()};
}

}  // namespace indigovane::site
