#include "site/probe_scheduler.hpp"

#include <algorithm>

namespace indigovane::site {

namespace {
std::vector<HostId> ready_hosts(const ContactEvidence& evidence, SiteId site) {
    std::vector<HostId> hosts;
    for (const Host& host : evidence.hosts())
        if (host.site == site && host.ready) hosts.push_back(host.id);
    return hosts;
}
}  // namespace

Duration ProbeScheduler::fair_interval(double probes, unsigned hosts, unsigned poolers) const {
    double per_second = std::max(1u, hosts) * settings_.probes_per_host_per_second;
    return Duration(std::int64_t(1e6 * double(poolers) * probes / per_second));
}

HostId ProbeScheduler::take_random(std::vector<HostId>& hosts) {
    auto chosen = hosts.begin() + std::ptrdiff_t(draw_() * double(hosts.size()));
    HostId host = *chosen;
    hosts.erase(chosen);
    return host;
}

// Only after the full response timeout without any answer of the site: on a usual day one answer in a hundred
// is slow, and a pooler with a few requests a second to a site receives nothing else from it meanwhile.
bool ProbeScheduler::is_suspected(const SiteEvidence& evidence, const View& view, Time now) const {
    if (evidence.newly_unresponsive == 0) return false;
    if (!evidence.last_answer) return true;
    return *evidence.last_answer < *evidence.unresponsive_since &&
           now - *evidence.last_answer >= view.response_timeout;
}

bool ProbeScheduler::take_confirmation(SiteId site, const SiteEvidence& evidence, const View& view,
                                       Time now) {
    auto [last, first] = confirmed_.try_emplace(site, now);
    Duration interval = fair_interval(settings_.confirmation_probes, evidence.hosts, view.poolers);
    if (!first && now - last->second < std::max(settings_.evidence_window, interval)) return false;
    last->second = now;
    return true;
}

std::vector<HostId> ProbeScheduler::confirmation_probes(const View& view, Time now) {
    std::vector<HostId> probes;
    for (SiteId site : view.evidence.sites()) {
        SiteState state = view.health.of_site(site).state;
        if (state != SiteState::reachable && state != SiteState::degraded) continue;
        SiteEvidence evidence =
            view.evidence.of_site(site, now, settings_.evidence_window, view.response_timeout);
        if (!is_suspected(evidence, view, now)) continue;
        if (!take_confirmation(site, evidence, view, now)) continue;
        confirm_site(site, view, probes);
        confirm_uplink(site, view, now, probes);
    }
    return probes;
}

void ProbeScheduler::confirm_site(SiteId site, const View& view, std::vector<HostId>& probes) {
    std::vector<HostId> others = ready_hosts(view.evidence, site);
    std::erase_if(others, [&](HostId id) {
        const HostEvidence* host = view.evidence.of_host(id);
        return view.excluded.count(id) || (host && (host->in_flight > 0 || host->unanswered_since));
    });
    for (unsigned n = 0; n < settings_.confirmation_probes && !others.empty(); ++n)
        probes.push_back(take_random(others));
}

void ProbeScheduler::confirm_uplink(SiteId suspected, const View& view, Time now,
                                    std::vector<HostId>& probes) {
    for (SiteId site : view.evidence.sites()) {
        if (site == suspected || is_excluded(view.health.of_site(site).state)) continue;
        auto last_answer =
            view.evidence.of_site(site, now, settings_.evidence_window, view.response_timeout).last_answer;
        if (last_answer && now - *last_answer < settings_.unresponsive_after / 2) continue;
        std::vector<HostId> hosts = ready_hosts(view.evidence, site);
        std::erase_if(hosts, [&](HostId id) { return view.excluded.count(id) > 0; });
        if (!hosts.empty()) probes.push_back(take_random(hosts));
    }
}

std::vector<HostId> ProbeScheduler::take_due_candidates(const View& view, SiteId site, Time now) {
    const SiteHealth& health = view.health.of_site(site);
    // From just before the exclusion ends, so that the answers are there by then.
    if (now + settings_.unresponsive_after < health.excluded_until) return {};

    Duration interval =
        std::max(settings_.probe_interval, fair_interval(1, health.evidence.hosts, view.poolers));
    Schedule& schedule = recovery_.try_emplace(site, Schedule{now - interval, now}).first->second;
    // An answer is followed up at once, whatever was drawn before: the second one decides.
    Time due = view.health.answered_since_loss(site)
                   ? std::min(schedule.due, schedule.last + settings_.probe_interval)
                   : schedule.due;
    if (now < due) return {};
    std::vector<HostId> hosts = ready_hosts(view.evidence, site);
    if (hosts.empty()) return {};
    double jitter = 0.5 + draw_();
    schedule = {now, now + Duration(std::int64_t(double(interval.count()) * jitter))};
    return hosts;
}

std::optional<HostId> ProbeScheduler::recovery_probe(const View& view, SiteId site, Time now) {
    std::vector<HostId> hosts = take_due_candidates(view, site, now);
    if (hosts.empty()) return std::nullopt;
    auto first = std::size_t(draw_() * double(hosts.size()));
    std::size_t& next = next_in_turn_.try_emplace(site, first).first->second;
    HostId host = hosts[next % hosts.size()];
    ++next;
    return host;
}

std::optional<HostId> ProbeScheduler::recovery_trial(const View& view, SiteId site, Time now) {
    std::vector<HostId> hosts = take_due_candidates(view, site, now);
    if (hosts.empty()) return std::nullopt;
    return hosts[std::size_t(draw_() * double(hosts.size())) % hosts.size()];
}

}  // namespace indigovane::site
