#include "site/site_health.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace indigovane::site {

namespace {
bool given_up(SiteState s) {
    return s == SiteState::lost || s == SiteState::cut_off;
}
Duration doubled(Duration first, Duration most, unsigned falls) {
    Duration d = first;
    for (unsigned i = 1; i < falls && d < most; ++i) d *= 2;
    return std::min(d, most);
}
}  // namespace

// Enough different hosts without an answer, and none from any of the site for a while. What was answered
// before the silence began is no witness against it: most of a site's hosts have not been asked since. That
// the silent work was sent `quiet` ago matters as much as when it ended: a shorter pause of the network ends
// nothing.
bool SiteHealthTracker::silent(const SiteEvidence& e, Time now) const {
    unsigned wanted =
        std::max(std::min(e.hosts, set_.least), unsigned(std::ceil(set_.witness * double(e.known))));
    if (e.hosts == 0 || e.run < std::max(1u, wanted)) return false;
    return now - e.answered.value_or(*e.mute_since) >= set_.quiet;
}

bool SiteHealthTracker::doubtful(const SiteEvidence& e) const {
    return e.hosts > 0 && e.mute >= std::min(e.hosts, set_.least) && e.silent_share() >= set_.doubt;
}

Change SiteHealthTracker::enter(SiteId site, SiteState standing, Time now, const SiteEvidence& evidence,
                                const char* why) {
    SiteHealth& v = sites_[site];
    Change change{site, v.standing, standing, evidence, why};
    if (given_up(standing) && !given_up(v.standing)) {
        if (v.fell && now - *v.fell > set_.flap_memory) v.falls = 0;
        ++v.falls;
        v.fell = now;
        v.look_at = now + doubled(set_.hold, set_.hold_most, v.falls);
        v.confirmed = now;
        v.restarted = standing == SiteState::lost && evidence.broken * 2 > evidence.mute;
        v.warm = standing == SiteState::cut_off;
        answers_.erase(site);
    }
    if (standing == SiteState::returning) {
        Duration first = v.restarted ? set_.ramp : v.warm ? set_.ramp_warm : set_.ramp_unsure;
        v.ramp = doubled(first, set_.ramp_most, std::max(1u, v.falls));
    }
    v.standing = standing;
    v.since = now;
    v.evidence = evidence;
    return change;
}

std::vector<Change> SiteHealthTracker::look(const Evidence& evidence, Time now, Duration response_timeout) {
    std::vector<Change> changes;
    std::map<SiteId, SiteEvidence> seen;
    unsigned hosts_silent = 0, hosts_answering = 0;
    bool anything = false, unasked = false;
    for (SiteId s : evidence.sites()) {
        SiteEvidence e = evidence.of(s, now, set_.fresh, response_timeout);
        bool gone = silent(e, now) || given_up(sites_[s].standing);
        (gone ? hosts_silent : hosts_answering) += e.hosts;
        // A site of which nothing was asked lately says nothing for or against this pooler's own link. That
        // it answered before the silence does not either.
        if (!gone && e.answered && now - *e.answered < set_.quiet) anything = true;
        if (!gone && e.mute == 0) unasked = true;
        seen[s] = e;
    }
    std::erase_if(sites_, [&](const auto& s) { return !seen.count(s.first); });
    std::erase_if(answers_, [&](const auto& s) { return !seen.count(s.first); });

    // Guards against a pooler that has lost its own link: with nobody to be heard, nobody is lost. Where a
    // site has nothing to answer it is open which of the two it is, and what speaks for a loss is kept: a
    // pooler with a few requests a second has such moments all the time.
    bool all_silent =
        set_.doubt_self && !anything && hosts_silent > 0 && (uplink_down_ || !unasked) &&
        std::any_of(seen.begin(), seen.end(), [&](const auto& s) { return silent(s.second, now); });
    // What was silent while the link was down says nothing of anybody once it is back.
    if (std::exchange(uplink_down_, all_silent) && !all_silent) {
        uplink_back_ = true;
        return changes;
    }

    for (auto& [s, e] : seen) {
        SiteHealth& v = sites_[s];
        if (v.standing == SiteState::drained) continue;
        if (given_up(v.standing)) {
            if (e.mute_at) v.confirmed = std::max(v.confirmed, *e.mute_at);
            auto& back = answers_[s];
            std::erase_if(back, [&](const auto& a) { return now - a.second > set_.fresh + set_.hold; });
            unsigned wanted = std::max(1u, std::min(set_.back, e.hosts));
            if (now >= v.look_at && back.size() >= wanted)
                changes.push_back(enter(s, SiteState::returning, now, e, "hosts answer again"));
            else if (now >= v.look_at && now - v.confirmed > set_.lapse)
                changes.push_back(enter(s, SiteState::returning, now, e, "the verdict has lapsed"));
            continue;
        }
        if (silent(e, now) && anything) {
            // Most hosts answer: it is that site. Most are silent: it may as well be this pooler's side.
            bool mine = hosts_silent > hosts_answering;
            changes.push_back(enter(s, mine ? SiteState::cut_off : SiteState::lost, now, e,
                                    mine                    ? "silent, as most hosts are to this pooler"
                                    : e.broken > e.mute / 2 ? "its hosts refuse or reset"
                                                            : "its hosts are silent"));
            continue;
        }
        if (v.standing == SiteState::returning) continue;  // until home(), or until it is silent again
        bool doubt = doubtful(e) && !uplink_down_;
        if (doubt && v.standing == SiteState::reachable)
            changes.push_back(enter(s, SiteState::doubtful, now, e, "several of its hosts are silent"));
        // Hysteresis: doubt ends where silent ones are few, not where they are a little fewer.
        else if (v.standing == SiteState::doubtful && e.silent_share() < set_.doubt / 2)
            changes.push_back(enter(s, SiteState::reachable, now, e, "its hosts answer"));
    }
    return changes;
}

void SiteHealthTracker::answered(SiteId site, HostId host, Time now) {
    auto it = sites_.find(site);
    if (it != sites_.end() && given_up(it->second.standing)) answers_[site][host] = now;
}

std::optional<Change> SiteHealthTracker::home(SiteId site, Time now) {
    auto it = sites_.find(site);
    if (it == sites_.end() || it->second.standing != SiteState::returning) return std::nullopt;
    return enter(site, SiteState::reachable, now, {}, "all of its hosts are in use");
}

std::optional<Change> SiteHealthTracker::drain(SiteId site, bool on, Time now) {
    SiteHealth& v = sites_[site];
    if (on == (v.standing == SiteState::drained)) return std::nullopt;
    if (!on && !v.ordered) return std::nullopt;
    v.ordered = on;
    v.warm = true;
    v.restarted = false;
    return enter(site, on ? SiteState::drained : SiteState::returning, now, {},
                 on ? "operators sent its load away" : "operators let it back");
}

const SiteHealth& SiteHealthTracker::of(SiteId site) const {
    static const SiteHealth none;
    auto it = sites_.find(site);
    return it == sites_.end() ? none : it->second;
}

bool SiteHealthTracker::heard(SiteId site) const {
    auto it = answers_.find(site);
    return it != answers_.end() && !it->second.empty();
}

bool SiteHealthTracker::any_trouble() const {
    return std::any_of(sites_.begin(), sites_.end(),
                       [](const auto& s) { return s.second.standing != SiteState::reachable; });
}

}  // namespace indigovane::site
