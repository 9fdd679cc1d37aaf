#include "site/site_health.hpp"

#include <algorithm>
#include <cmath>

namespace indigovane::site {

namespace {
// Doubled with each loss after the first.
Duration exponential_backoff(Duration initial, Duration max, unsigned losses) {
    Duration duration = initial;
    for (unsigned i = 1; i < losses && duration < max; ++i) duration *= 2;
    return std::min(duration, max);
}
}  // namespace

bool is_lost(SiteState state) {
    return state == SiteState::lost || state == SiteState::partitioned;
}

bool is_excluded(SiteState state) {
    return is_lost(state) || state == SiteState::drained;
}

// Answers from before the loss do not count against it: most of a site's hosts have been sent nothing since.
// That the unanswered work was sent `unresponsive_after` ago matters as much as when it ended: a shorter
// pause of the network loses no site.
bool SiteHealthTracker::is_unresponsive(const SiteEvidence& evidence, Time now) const {
    auto of_those_in_use = unsigned(std::ceil(settings_.lost_share * double(evidence.in_use)));
    unsigned required = std::max(std::min(evidence.hosts, settings_.min_unresponsive_hosts), of_those_in_use);
    if (evidence.hosts == 0 || evidence.newly_unresponsive < std::max(1u, required)) return false;
    return now - evidence.last_answer.value_or(*evidence.unresponsive_since) >= settings_.unresponsive_after;
}

bool SiteHealthTracker::is_degraded(const SiteEvidence& evidence) const {
    return evidence.hosts > 0 &&
           evidence.unresponsive >= std::min(evidence.hosts, settings_.min_unresponsive_hosts) &&
           evidence.unresponsive_share() >= settings_.degraded_share;
}

void SiteHealthTracker::begin_loss(SiteHealth& health, SiteState state, Time now,
                                   const SiteEvidence& evidence) const {
    if (health.last_loss && now - *health.last_loss > settings_.relapse_window) health.losses = 0;
    ++health.losses;
    health.last_loss = now;
    health.excluded_until =
        now + exponential_backoff(settings_.min_exclusion, settings_.max_exclusion, health.losses);
    health.last_confirmed = now;
    health.restarted = state == SiteState::lost && evidence.resetting * 2 > evidence.unresponsive;
    health.warm = state == SiteState::partitioned;
}

StateChange SiteHealthTracker::enter(SiteId site, SiteState state, Time now, const SiteEvidence& evidence,
                                     const char* reason) {
    SiteHealth& health = sites_[site];
    StateChange change{site, health.state, state, evidence, reason};
    if (is_lost(state) && !is_lost(health.state)) {
        begin_loss(health, state, now, evidence);
        answers_.erase(site);
    }
    if (state == SiteState::recovering) {
        Duration initial = health.restarted ? settings_.restart_ramp
                           : health.warm    ? settings_.warm_ramp
                                            : settings_.default_ramp;
        health.ramp = exponential_backoff(initial, settings_.max_ramp, health.losses);
    }
    health.state = state;
    health.since = now;
    health.evidence = evidence;
    return change;
}

SiteHealthTracker::Survey SiteHealthTracker::survey(const ContactEvidence& evidence, Time now,
                                                    Duration response_timeout) {
    Survey survey;
    for (SiteId site : evidence.sites()) {
        SiteEvidence sum = evidence.of_site(site, now, settings_.evidence_window, response_timeout);
        bool lost = is_unresponsive(sum, now) || is_lost(sites_[site].state);
        (lost ? survey.unresponsive_hosts : survey.answering_hosts) += sum.hosts;
        // An answer from before the others became unresponsive says nothing about this pooler's own link.
        if (!lost && sum.last_answer && now - *sum.last_answer < settings_.unresponsive_after)
            survey.any_answer = true;
        if (!lost && sum.unresponsive == 0) survey.any_unused = true;
        survey.sites[site] = sum;
    }
    return survey;
}

// With no site answering, none is lost. Where a site has had nothing to answer it is open which of the two it
// is, and the evidence is retained: a pooler with a few requests a second has such moments all the time.
bool SiteHealthTracker::is_uplink_down(const Survey& survey, Time now) const {
    if (!settings_.detect_own_faults || survey.any_answer || survey.unresponsive_hosts == 0) return false;
    if (!uplink_down_ && survey.any_unused) return false;
    return std::any_of(survey.sites.begin(), survey.sites.end(),
                       [&](const auto& site) { return is_unresponsive(site.second, now); });
}

std::vector<StateChange> SiteHealthTracker::evaluate(const ContactEvidence& evidence, Time now,
                                                     Duration response_timeout) {
    Survey current = survey(evidence, now, response_timeout);
    std::erase_if(sites_, [&](const auto& site) { return !current.sites.count(site.first); });
    std::erase_if(answers_, [&](const auto& site) { return !current.sites.count(site.first); });

    bool was_down = std::exchange(uplink_down_, is_uplink_down(current, now));
    // What was unanswered while the link was down says nothing about any site: the caller discards it first.
    if (was_down && !uplink_down_) {
        uplink_recovered_ = true;
        return {};
    }
    std::vector<StateChange> changes;
    for (const auto& [site, sum] : current.sites) {
        SiteState state = sites_[site].state;
        if (state == SiteState::drained) continue;
        auto change =
            is_lost(state) ? evaluate_lost(site, sum, now) : evaluate_present(site, sum, current, now);
        if (change) changes.push_back(*change);
    }
    return changes;
}

std::optional<StateChange> SiteHealthTracker::evaluate_lost(SiteId site, const SiteEvidence& evidence,
                                                            Time now) {
    SiteHealth& health = sites_[site];
    if (evidence.last_unanswered)
        health.last_confirmed = std::max(health.last_confirmed, *evidence.last_unanswered);
    auto& answers = answers_[site];
    std::erase_if(answers, [&](const auto& answer) {
        return now - answer.second > settings_.evidence_window + settings_.min_exclusion;
    });
    if (now < health.excluded_until) return std::nullopt;
    unsigned required = std::max(1u, std::min(settings_.min_recovered_hosts, evidence.hosts));
    if (answers.size() >= required)
        return enter(site, SiteState::recovering, now, evidence, "hosts answer again");
    if (now - health.last_confirmed > settings_.unconfirmed_loss_timeout)
        return enter(site, SiteState::recovering, now, evidence, "the verdict has lapsed");
    return std::nullopt;
}

std::optional<StateChange> SiteHealthTracker::evaluate_present(SiteId site, const SiteEvidence& evidence,
                                                               const Survey& survey, Time now) {
    if (is_unresponsive(evidence, now) && survey.any_answer) {
        // Most hosts answer: it is that site. Most are unresponsive: it may as well be this pooler's side.
        if (survey.unresponsive_hosts > survey.answering_hosts)
            return enter(site, SiteState::partitioned, now, evidence,
                         "silent, as most hosts are to this pooler");
        bool resets = evidence.resetting > evidence.unresponsive / 2;
        return enter(site, SiteState::lost, now, evidence,
                     resets ? "its hosts refuse or reset" : "its hosts are silent");
    }
    SiteState state = sites_[site].state;
    if (state == SiteState::recovering) return std::nullopt;  // ends by complete_recovery() or a relapse
    if (state == SiteState::reachable && is_degraded(evidence) && !uplink_down_)
        return enter(site, SiteState::degraded, now, evidence, "several of its hosts are silent");
    // Hysteresis: it ends where unresponsive hosts are few, not where they are a little fewer.
    if (state == SiteState::degraded && evidence.unresponsive_share() < settings_.degraded_share / 2)
        return enter(site, SiteState::reachable, now, evidence, "its hosts answer");
    return std::nullopt;
}

void SiteHealthTracker::record_answer(SiteId site, HostId host, Time now) {
    auto it = sites_.find(site);
    if (it != sites_.end() && is_lost(it->second.state)) answers_[site][host] = now;
}

std::optional<StateChange> SiteHealthTracker::complete_recovery(SiteId site, Time now) {
    auto it = sites_.find(site);
    if (it == sites_.end() || it->second.state != SiteState::recovering) return std::nullopt;
    return enter(site, SiteState::reachable, now, {}, "all of its hosts are in use");
}

std::optional<StateChange> SiteHealthTracker::drain(SiteId site, bool drained, Time now) {
    SiteHealth& health = sites_[site];
    if (drained == (health.state == SiteState::drained)) return std::nullopt;
    if (!drained && !health.drain_ordered) return std::nullopt;
    health.drain_ordered = drained;
    health.warm = true;
    health.restarted = false;
    if (drained) return enter(site, SiteState::drained, now, {}, "operators sent its load away");
    return enter(site, SiteState::recovering, now, {}, "operators let it back");
}

const SiteHealth& SiteHealthTracker::of_site(SiteId site) const {
    static const SiteHealth unknown;
    auto it = sites_.find(site);
    return it == sites_.end() ? unknown : it->second;
}

bool SiteHealthTracker::answered_since_loss(SiteId site) const {
    auto it = answers_.find(site);
    return it != answers_.end() && !it->second.empty();
}

bool SiteHealthTracker::any_fault() const {
    return std::any_of(sites_.begin(), sites_.end(),
                       [](const auto& site) { return site.second.state != SiteState::reachable; });
}

}  // namespace indigovane::site
