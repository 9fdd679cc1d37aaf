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

Duration ProbeScheduler::fair_interval(double probe_count, unsigned hosts, unsigned poolers) const {
    double probes_per_second = std::max(1u, hosts) * settings_.probes_per_host_per_second;
    return Duration(std::int64_t(1e6 * double(poolers) * probe_count / probes_per_second));
}

HostId ProbeScheduler::take_random_host(std::vector<HostId>& hosts) {
    auto chosen = hosts.begin() + std::ptrdiff_t(draw_() * double(hosts.size()));
    HostId host = *chosen;
    hosts.erase(chosen);
    return host;
}

// A site is suspected only after a full response timeout without any answer. Normally one answer in a hundred
// is slow, and a pooler with a few requests per second to the site receives nothing else from it in the
// meantime.
bool ProbeScheduler::is_suspected(const SiteEvidence& evidence, const View& view, Time now) const {
    if (evidence.newly_unresponsive == 0) return false;
    if (!evidence.last_answer) return true;
    return *evidence.last_answer < *evidence.unresponsive_since &&
           now - *evidence.last_answer >= view.response_timeout;
}

bool ProbeScheduler::take_due_confirmation(SiteId site, const SiteEvidence& evidence, const View& view,
                                           Time now) {
    auto [last, is_first] = last_confirmation_.try_emplace(site, now);
    Duration interval = fair_interval(settings_.confirmation_probes, evidence.hosts, view.poolers);
    if (!is_first && now - last->second < std::max(settings_.evidence_window, interval)) return false;
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
        if (!take_due_confirmation(site, evidence, view, now)) continue;
        add_site_probes(site, view, probes);
        add_uplink_probes(site, view, now, probes);
    }
    return probes;
}

void ProbeScheduler::add_site_probes(SiteId site, const View& view, std::vector<HostId>& probes) {
    std::vector<HostId> other_hosts = ready_hosts(view.evidence, site);
    std::erase_if(other_hosts, [&](HostId id) {
        const HostEvidence* host = view.evidence.of_host(id);
        return view.excluded.count(id) || (host && (host->in_flight > 0 || host->unanswered_since));
    });
    for (unsigned n = 0; n < settings_.confirmation_probes && !other_hosts.empty(); ++n)
        probes.push_back(take_random_host(other_hosts));
}

void ProbeScheduler::add_uplink_probes(SiteId suspected, const View& view, Time now,
                                       std::vector<HostId>& probes) {
    for (SiteId site : view.evidence.sites()) {
        if (site == suspected || is_excluded(view.health.of_site(site).state)) continue;
        auto last_answer =
            view.evidence.of_site(site, now, settings_.evidence_window, view.response_timeout).last_answer;
        if (last_answer && now - *last_answer < settings_.unresponsive_after / 2) continue;
        std::vector<HostId> hosts = ready_hosts(view.evidence, site);
        std::erase_if(hosts, [&](HostId id) { return view.excluded.count(id) > 0; });
        if (!hosts.empty()) probes.push_back(take_random_host(hosts));
    }
}

std::vector<HostId> ProbeScheduler::take_due_candidates(const View& view, SiteId site, Time now) {
    const SiteHealth& health = view.health.of_site(site);
    // Probes start shortly before the exclusion ends, so that the answers have arrived by then.
    if (now + settings_.unresponsive_after < health.excluded_until) return {};

    Duration interval =
        std::max(settings_.probe_interval, fair_interval(1, health.evidence.hosts, view.poolers));
    Schedule& schedule = recovery_schedules_.try_emplace(site, Schedule{now - interval, now}).first->second;
    // After an answer the next probe follows at the latest one `probe_interval` after the last one, whatever
    // random delay was drawn, because a second answer is needed for the recovery.
    Time next_probe = view.health.answered_since_loss(site)
                          ? std::min(schedule.next_probe, schedule.last_probe + settings_.probe_interval)
                          : schedule.next_probe;
    if (now < next_probe) return {};
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
