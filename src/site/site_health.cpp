#include "site/site_health.hpp"

#include <algorithm>
#include <cmath>

namespace indigovane::site {

namespace {
// Doubles `initial` with each loss after the first, up to `max`.
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

// Hosts that answered before the loss do not prevent it: most hosts of a site have been sent nothing since.
// The time counts from the last answer or, if there is none, from when the unanswered work was sent. When
// that work ended is not enough: a network pause shorter than `unresponsive_after` must not lose a site.
bool SiteHealthTracker::is_unresponsive(const SiteEvidence& evidence, Time now) const {
    auto required_of_hosts_in_use = unsigned(std::ceil(settings_.lost_share * double(evidence.in_use)));
    unsigned required =
        std::max(std::min(evidence.hosts, settings_.min_unresponsive_hosts), required_of_hosts_in_use);
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
    health.has_restarted = state == SiteState::lost && evidence.resetting * 2 > evidence.unresponsive;
    health.is_warm = state == SiteState::partitioned;
}

StateChange SiteHealthTracker::enter_state(SiteId site, SiteState state, Time now,
                                           const SiteEvidence& evidence, const char* reason) {
    SiteHealth& health = sites_[site];
    StateChange change{site, health.state, state, evidence, reason};
    if (is_lost(state) && !is_lost(health.state)) {
        begin_loss(health, state, now, evidence);
        answers_.erase(site);
    }
    if (state == SiteState::recovering) {
        Duration initial = health.has_restarted ? settings_.restart_ramp
                           : health.is_warm     ? settings_.warm_ramp
                                                : settings_.default_ramp;
        health.ramp = exponential_backoff(initial, settings_.max_ramp, health.losses);
    }
    health.state = state;
    health.since = now;
    health.evidence = evidence;
    return change;
}

SiteHealthTracker::FleetEvidence SiteHealthTracker::collect_evidence(const ContactEvidence& evidence,
                                                                     Time now, Duration response_timeout) {
    FleetEvidence fleet;
    for (SiteId site : evidence.sites()) {
        SiteEvidence site_evidence = evidence.of_site(site, now, settings_.evidence_window, response_timeout);
        bool is_unavailable = is_unresponsive(site_evidence, now) || is_lost(sites_[site].state);
        (is_unavailable ? fleet.unresponsive_hosts : fleet.answering_hosts) += site_evidence.hosts;
        // An older answer may have arrived before the other sites became unresponsive. It is no evidence that
        // this pooler's own link works.
        if (!is_unavailable && site_evidence.last_answer &&
            now - *site_evidence.last_answer < settings_.unresponsive_after)
            fleet.has_answering_site = true;
        if (!is_unavailable && site_evidence.unresponsive == 0) fleet.has_unsuspected_site = true;
        fleet.sites[site] = site_evidence;
    }
    return fleet;
}

// If no site answers, the own link is down and no site is lost. If a site that is not lost has no
// unresponsive host, the fault may be at the other sites or on the own link. The link is then not declared
// down, and the evidence is retained: a pooler with a few requests per second is in this situation often.
bool SiteHealthTracker::is_uplink_down(const FleetEvidence& fleet, Time now) const {
    if (!settings_.detect_own_faults || fleet.has_answering_site || fleet.unresponsive_hosts == 0)
        return false;
    if (!uplink_down_ && fleet.has_unsuspected_site) return false;
    return std::any_of(fleet.sites.begin(), fleet.sites.end(),
                       [&](const auto& site) { return is_unresponsive(site.second, now); });
}

std::vector<StateChange> SiteHealthTracker::evaluate(const ContactEvidence& evidence, Time now,
                                                     Duration response_timeout) {
    FleetEvidence fleet = collect_evidence(evidence, now, response_timeout);
    std::erase_if(sites_, [&](const auto& site) { return !fleet.sites.count(site.first); });
    std::erase_if(answers_, [&](const auto& site) { return !fleet.sites.count(site.first); });

    bool was_uplink_down = std::exchange(uplink_down_, is_uplink_down(fleet, now));
    // Contacts unanswered while the link was down are no evidence about any site. The caller discards them
    // before the next evaluation.
    if (was_uplink_down && !uplink_down_) {
        uplink_recovered_ = true;
        return {};
    }
    std::vector<StateChange> changes;
    for (const auto& [site, site_evidence] : fleet.sites) {
        SiteState state = sites_[site].state;
        if (state == SiteState::drained) continue;
        auto change = is_lost(state) ? evaluate_lost(site, site_evidence, now)
                                     : evaluate_not_lost(site, site_evidence, fleet, now);
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
        return enter_state(site, SiteState::recovering, now, evidence, "hosts of the site answer again");
    if (now - health.last_confirmed > settings_.unconfirmed_loss_timeout)
        return enter_state(site, SiteState::recovering, now, evidence,
                           "no recent evidence confirms the loss of the site");
    return std::nullopt;
}

std::optional<StateChange> SiteHealthTracker::evaluate_not_lost(SiteId site, const SiteEvidence& evidence,
                                                                const FleetEvidence& fleet, Time now) {
    if (is_unresponsive(evidence, now) && fleet.has_answering_site) {
        // If most hosts are unresponsive, the fault may be on this pooler's side.
        if (fleet.unresponsive_hosts > fleet.answering_hosts)
            return enter_state(site, SiteState::partitioned, now, evidence,
                               "neither the site nor most other hosts answer this pooler");
        bool is_resetting = evidence.resetting > evidence.unresponsive / 2;
        return enter_state(site, SiteState::lost, now, evidence,
                           is_resetting ? "hosts of the site refuse or reset connections"
                                        : "hosts of the site do not answer");
    }
    SiteState state = sites_[site].state;
    if (state == SiteState::recovering) return std::nullopt;  // ended by complete_recovery() or a relapse
    if (state == SiteState::reachable && is_degraded(evidence) && !uplink_down_)
        return enter_state(site, SiteState::degraded, now, evidence,
                           "several hosts of the site do not answer");
    // Hysteresis: the state ends at half of the share at which it begins.
    if (state == SiteState::degraded && evidence.unresponsive_share() < settings_.degraded_share / 2)
        return enter_state(site, SiteState::reachable, now, evidence, "hosts of the site answer");
    return std::nullopt;
}

void SiteHealthTracker::record_answer(SiteId site, HostId host, Time now) {
    auto it = sites_.find(site);
    if (it != sites_.end() && is_lost(it->second.state)) answers_[site][host] = now;
}

std::optional<StateChange> SiteHealthTracker::complete_recovery(SiteId site, Time now) {
    auto it = sites_.find(site);
    if (it == sites_.end() || it->second.state != SiteState::recovering) return std::nullopt;
    return enter_state(site, SiteState::reachable, now, {}, "all hosts of the site are in use");
}

std::optional<StateChange> SiteHealthTracker::drain(SiteId site, bool drained, Time now) {
    SiteHealth& health = sites_[site];
    if (drained == (health.state == SiteState::drained)) return std::nullopt;
    if (!drained && !health.is_drain_ordered) return std::nullopt;
    health.is_drain_ordered = drained;
    health.is_warm = true;
    health.has_restarted = false;
    if (drained) return enter_state(site, SiteState::drained, now, {}, "operators drained the site");
    return enter_state(site, SiteState::recovering, now, {}, "operators ended the drain of the site");
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

bool SiteHealthTracker::has_any_fault() const {
    return std::any_of(sites_.begin(), sites_.end(),
                       [](const auto& site) { return site.second.state != SiteState::reachable; });
}

}  // namespace indigovane::site
