#include "site/site_manager.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::site {

namespace {
// Time between evaluations while a host is unresponsive or a site has a fault.
constexpr Duration kFaultInterval = milliseconds(50);
// Time between evaluations otherwise. They are needed because evidence ages and rates decay.
constexpr Duration kIdleInterval = seconds(1);
// Weight of one answer in the average latency.
constexpr double kLatencyGain = 0.02;

bool are_classes_equal(const std::vector<Demand>& a, const std::vector<Demand>& b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const Demand& x, const Demand& y) {
        return x.request_class == y.request_class && x.priority_weight == y.priority_weight &&
               x.needs_primary == y.needs_primary;
    });
}
}  // namespace

SiteManager::SiteManager(const Settings& settings, FleetContext context, std::function<double()> draw)
    : settings_(settings),
      context_(std::move(context)),
      draw_(std::move(draw)),
      health_(settings),
      probe_scheduler_(settings, draw_),
      shedder_(settings, context_.classes),
      retry_budget_(settings) {}

void SiteManager::update_settings(const Settings& settings, FleetContext context) {
    bool are_classes_unchanged = are_classes_equal(context.classes, context_.classes);
    settings_ = settings;
    context_ = std::move(context);
    health_.update_settings(settings);
    probe_scheduler_.update_settings(settings);
    shedder_.update_settings(settings);
    retry_budget_.update_settings(settings);
    if (!are_classes_unchanged) shedder_.replace_classes(context_.classes);
    plan_outdated_ = true;
}

void SiteManager::set_hosts(const std::vector<Host>& hosts, Time now) {
    std::map<HostId, std::optional<Time>> started_before;
    for (const Host& host : evidence_.hosts()) started_before[host.id] = host.started;
    evidence_.set_hosts(hosts);
    std::set<HostId> listed;
    for (const Host& host : hosts) {
        listed.insert(host.id);
        auto before = started_before.find(host.id);
        bool was_listed = before != started_before.end();
        update_listed_host(host, was_listed, was_listed ? before->second : std::nullopt, now);
    }
    for (auto& [site, ramp] : ramps_)
        for (const auto& [id, started] : started_before)
            if (!listed.count(id)) ramp.remove(id);
    std::erase_if(excluded_, [&](HostId id) { return !listed.count(id); });
    std::erase_if(primaries_, [&](const auto& primary) { return !listed.count(primary.second); });
    plan_outdated_ = true;
    next_evaluation_ = now;
}

void SiteManager::update_listed_host(const Host& host, bool was_listed, std::optional<Time> started_before,
                                     Time now) {
    if (!is_site_excluded(host.site)) return;
    bool has_restarted = was_listed && host.started && started_before != host.started;
    // A restart after the loss, as the endpoint list reports it, counts as an answer.
    if (has_restarted && *host.started > health_.of_site(host.site).since) {
        if (has_mostly_restarted(host.site)) health_.mark_restarted(host.site);
        health_.record_answer(host.site, host.id, now);
    }
    // The list may describe a new host as it was before its site was lost. The host stays excluded until the
    // site recovers.
    if (settings_.exclude && !was_listed && excluded_.insert(host.id).second)
        actions_.push_back(ExcludeHost{host.id});
}

// A single host may restart by coincidence during a partition. The other hosts then need no slow start, and
// the endpoint list gives that host its slow start.
bool SiteManager::has_mostly_restarted(SiteId site) const {
    Time since = health_.of_site(site).since;
    unsigned ready_count = 0;
    unsigned restarted_count = 0;
    for (const Host& host : evidence_.hosts()) {
        if (host.site != site || !host.ready) continue;
        ++ready_count;
        restarted_count += host.started && *host.started > since;
    }
    return restarted_count * 2 >= ready_count;
}

void SiteManager::record_primary(HostId id) {
    if (const Host* host = evidence_.find_host(id)) primaries_[host->group] = id;
}

void SiteManager::record_contact(HostId id, ContactResult result, Time sent, Time now) {
    evidence_.record_contact(id, result, sent, now);
    const Host* host = evidence_.find_host(id);
    if (!host) return;
    if (result != ContactResult::answered) return schedule_evaluation(now + kFaultInterval);
    if (is_site_excluded(host->site)) health_.record_answer(host->site, id, now);
    if (auto ramp = ramps_.find(host->site); ramp != ramps_.end()) ramp->second.record_answer(id);
}

void SiteManager::record_sent(HostId host, Time now) {
    evidence_.record_sent(host, now);
    bool sends_confirmations = settings_.confirmation_probes > 0;
    schedule_evaluation(
        now + (sends_confirmations ? settings_.unresponsive_after / 2 : settings_.unresponsive_after));
}

void SiteManager::schedule_evaluation(Time at) {
    if (!next_evaluation_ || *next_evaluation_ > at) next_evaluation_ = at;
}

void SiteManager::record_latency(GroupId group, std::size_t request_class, Duration latency) {
    shedder_.record_latency(group, request_class, latency);
    average_latency_us_ += kLatencyGain * (double(latency.count()) - average_latency_us_);
}

Duration SiteManager::response_timeout() const {
    Duration multiple_of_average(std::int64_t(average_latency_us_ * settings_.response_timeout_multiple));
    return std::max(settings_.unresponsive_after, multiple_of_average);
}

bool SiteManager::admit(const RequestArrival& arrival, Time now) {
    if (!next_evaluation_) next_evaluation_ = now + kIdleInterval;
    retry_budget_.earn();
    return shedder_.admit(arrival, now) || !settings_.shed_by_plan;
}

bool SiteManager::may_retry() {
    if (!settings_.limit_retries || !health_.has_any_fault()) return true;
    if (retry_budget_.spend()) return true;
    ++retries_denied_;
    return false;
}

bool SiteManager::drain(SiteId site, bool drained, Time now) {
    std::vector<SiteId> sites = evidence_.sites();
    if (std::find(sites.begin(), sites.end(), site) == sites.end()) return false;
    auto change = health_.drain(site, drained, now);
    if (!change) return false;
    operator_changes_.push_back(*change);
    next_evaluation_ = now;
    return true;
}

SiteActions SiteManager::evaluate(Time now) {
    // If the call comes much later than requested, this process or its machine was paused. Answers missed
    // during the pause are no evidence, so no site is lost before new evidence has arrived.
    bool was_paused = next_evaluation_ && now - *next_evaluation_ > settings_.process_pause_threshold;
    if (settings_.detect_own_faults && was_paused) evidence_.discard_unanswered(now);
    for (const StateChange& change : std::exchange(operator_changes_, {})) apply(change, now);
    for (const StateChange& change : health_.evaluate(evidence_, now, response_timeout())) apply(change, now);
    if (health_.take_uplink_recovered()) evidence_.discard_unanswered(now);
    send_probes(now);
    advance_ramps(now);
    if (std::exchange(plan_outdated_, false)) update_plan(now);
    bool has_fault = health_.has_any_fault() || !ramps_.empty() || has_unresponsive_host(now);
    next_evaluation_ = now + (has_fault ? kFaultInterval : kIdleInterval);
    return std::exchange(actions_, {});
}

bool SiteManager::has_unresponsive_host(Time now) const {
    std::vector<SiteId> sites = evidence_.sites();
    return std::any_of(sites.begin(), sites.end(), [&](SiteId site) {
        return evidence_.of_site(site, now, settings_.evidence_window, response_timeout()).unresponsive > 0;
    });
}

ProbeScheduler::View SiteManager::probe_view() const {
    return {evidence_, health_, excluded_, context_.poolers, response_timeout()};
}

void SiteManager::send_probes(Time now) {
    if (settings_.confirmation_probes > 0 && context_.may_probe)
        for (HostId host : probe_scheduler_.confirmation_probes(probe_view(), now))
            actions_.push_back(ProbeHost{host});
    for (const auto& [site, health] : health_.sites()) {
        if (!is_lost(health.state)) continue;
        if (context_.may_probe) {
            if (auto host = probe_scheduler_.recovery_probe(probe_view(), site, now))
                actions_.push_back(ProbeHost{*host});
        } else if (auto host = probe_scheduler_.recovery_trial(probe_view(), site, now)) {
            // Probes are not allowed, so a client's request tests the site: one host is readmitted, and the
            // host of the previous trial is excluded again.
            exclude_site(site, now);
            readmit(*host, false, now);
        }
    }
}

void SiteManager::advance_ramps(Time now) {
    for (auto it = ramps_.begin(); it != ramps_.end();) {
        auto due_hosts = it->second.take_due_hosts(now, settings_.probe_interval);
        for (HostId host : due_hosts.to_probe) actions_.push_back(ProbeHost{host});
        bool has_restarted = health_.of_site(it->first).has_restarted;
        for (HostId host : due_hosts.to_readmit) readmit(host, has_restarted, now);
        if (!it->second.is_finished()) {
            ++it;
            continue;
        }
        SiteId site = it->first;
        it = ramps_.erase(it);
        if (auto change = health_.complete_recovery(site, now)) apply(*change, now);
    }
}

void SiteManager::apply(const StateChange& change, Time now) {
    const SiteHealth& health = health_.of_site(change.site);
    SiteTransition transition{change, 0, 0, health.losses};
    if (is_lost(change.after)) transition.exclusion_seconds = to_seconds(health.excluded_until - now);
    if (change.after == SiteState::recovering) transition.ramp_seconds = to_seconds(health.ramp);
    actions_.push_back(transition);
    ramps_.erase(change.site);
    plan_outdated_ = true;
    switch (change.after) {
        case SiteState::degraded:
            // The routing policy judges each host by itself. The retry budget applies from now on.
            break;
        case SiteState::lost:
        case SiteState::partitioned:
        case SiteState::drained:
            exclude_site(change.site, now);
            break;
        case SiteState::recovering:
            start_recovery(change.site, now);
            break;
        case SiteState::reachable:
            readmit_site(change.site, now);
            break;
    }
}

void SiteManager::exclude_site(SiteId site, Time now) {
    if (!settings_.exclude) return;
    bool is_drained = health_.of_site(site).state == SiteState::drained;
    for (const Host& host : evidence_.hosts()) {
        if (host.site != site || excluded_.count(host.id)) continue;
        const HostEvidence* evidence = evidence_.of_host(host.id);
        bool is_answering = evidence && evidence->last_answer && !evidence->unanswered_since &&
                            now - *evidence->last_answer < settings_.unresponsive_after;
        if (!is_drained && is_answering) continue;
        excluded_.insert(host.id);
        actions_.push_back(ExcludeHost{host.id, !is_drained && settings_.abandon_unresponsive});
    }
}

void SiteManager::start_recovery(SiteId site, Time now) {
    std::vector<Host> recovering_hosts;
    std::map<GroupId, unsigned> ready_counts;
    std::map<GroupId, unsigned> excluded_counts;
    for (const Host& host : evidence_.hosts()) {
        if (!host.ready) continue;
        bool is_host_excluded = excluded_.count(host.id) > 0;
        ++ready_counts[host.group];
        excluded_counts[host.group] += is_host_excluded;
        if (host.site == site && is_host_excluded) recovering_hosts.push_back(host);
    }
    auto load_ratio = [&](GroupId group) {
        unsigned in_use = ready_counts[group] - excluded_counts[group];
        return in_use == 0 ? double(ready_counts[group]) + 1 : double(ready_counts[group]) / in_use;
    };
    // Evidence from before the recovery would end it at once.
    evidence_.forget_site(site, now);
    RecoveryRamp::Parameters parameters;
    parameters.length = settings_.pace_recovery ? health_.of_site(site).ramp : Duration::zero();
    parameters.initial_share = settings_.initial_share;
    parameters.requires_answer = context_.may_probe && settings_.probe_before_readmission;
    ramps_[site].start(recovering_hosts, load_ratio, parameters, draw_, now);
}

void SiteManager::readmit_site(SiteId site, Time now) {
    for (const Host& host : evidence_.hosts())
        if (host.site == site && excluded_.count(host.id)) readmit(host.id, false, now);
}

void SiteManager::readmit(HostId host, bool slow_start, Time now) {
    if (excluded_.erase(host) == 0) return;
    plan_outdated_ = true;
    // A restarted host may answer before the endpoint list reports its start.
    bool starts_slowly = slow_start && settings_.pace_recovery;
    actions_.push_back(ReadmitHost{host, starts_slowly ? std::optional(now) : std::nullopt});
}

std::vector<Host> SiteManager::hosts_with_roles() const {
    std::vector<Host> hosts = evidence_.hosts();
    for (Host& host : hosts)
        if (auto primary = primaries_.find(host.group); primary != primaries_.end())
            host.primary = primary->second == host.id;
    return hosts;
}

PlanInput SiteManager::plan_input(const std::set<SiteId>& lost, Time now) const {
    PlanInput input = shedder_.plan_input(hosts_with_roles(), now);
    input.lost_sites = lost;
    return input;
}

// Hosts of a partitioned site still carry load of other poolers, and so do the hosts that this pooler still
// reaches. What this pooler knows of their load does not tell how much they can take over from it. Such hosts
// therefore do not count as lost in the plan.
void SiteManager::update_plan(Time now) {
    std::set<HostId> lost;
    for (HostId id : excluded_) {
        const Host* host = evidence_.find_host(id);
        bool is_partitioned = host && health_.of_site(host->site).state == SiteState::partitioned;
        if (settings_.shed_by_plan && host && !is_partitioned) lost.insert(id);
    }
    shedder_.update_plan(hosts_with_roles(), lost, now);
}

}  // namespace indigovane::site
