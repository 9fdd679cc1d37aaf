#include "lab/world.hpp"

#include <algorithm>

namespace indigovane::lab {

using namespace std::chrono_literals;
using policy::Consistency;
using Defect = FleetOptions::Defect;

namespace {

// Each part of the model draws its random numbers from its own stream.
enum StreamNumber : std::uint32_t { kTraffic = 1, kWork, kFaults };

// The auditor extends its limits on times by this: limits on real sockets are that much longer.
constexpr Duration kSocketSlack = 50ms;

Auditor::Limits auditor_limits(const FleetOptions& options) {
    Auditor::Limits limits;
    limits.drain_grace = options.drain_grace + kSocketSlack;
    limits.staleness_bound = options.staleness_bound + kSocketSlack;
    limits.slow_start_share = options.slow_start_share;
    limits.overload_multiple = options.overload_multiple;
    limits.slow_start_ramp = options.slow_start_ramp;
    limits.overload_window = options.overload_window;
    return limits;
}

policy::ClassSettings class_settings(const ClassOptions& options, Duration staleness_bound) {
    bool is_write = options.consistency == Consistency::write;
    policy::ClassSettings settings;
    settings.consistency = options.consistency;
    settings.idempotency = is_write ? policy::Idempotency::not_idempotent : policy::Idempotency::idempotent;
    settings.latency_objective = options.latency_objective;
    settings.deadline = options.deadline;
    settings.staleness_bound = staleness_bound;
    settings.priority_weight = options.priority_weight;
    settings.late_share = options.late_share;
    return settings;
}

}  // namespace

World::World(const FleetOptions& fleet_options)
    : options(fleet_options),
      timeline(fleet_options.permutation),
      clock(timeline),
      auditor(auditor_limits(fleet_options)),
      traffic_stream(fleet_options.seed, kTraffic),
      work_stream(fleet_options.seed, kWork),
      fault_stream(fleet_options.seed, kFaults),
      network(fleet_options.zones),
      discovery(*this),
      clients(*this),
      faults(*this) {}

policy::Settings World::settings() const {
    policy::Settings settings;
    settings.fleet_size = options.poolers;
    settings.endpoint_list_mode = options.list_calls_per_second > 0 ? policy::EndpointListMode::polled
                                                                    : policy::EndpointListMode::pushed;
    settings.may_check_health = true;
    settings.may_cancel_attempts = true;
    settings.may_send_retry_after = true;
    settings.hedging = options.hedging;
    settings.max_retry_after = 2s;
    settings.max_attempts = 10;
    settings.token_source =
        options.clients_carry_tokens ? policy::TokenSource::carried : policy::TokenSource::remembered;
    settings.staleness_check =
        options.hosts_check_staleness ? policy::StalenessCheck::refuse : policy::StalenessCheck::none;
    settings.health_check_price = options.health_check_price;
    settings.slow_start_share = options.slow_start_share;
    settings.slow_start_ramp = options.slow_start_ramp;
    settings.overload_multiple = options.overload_multiple;
    settings.overload_window = options.overload_window;
    for (const ClassOptions& request_class : options.classes)
        settings.classes.push_back(class_settings(request_class, options.staleness_bound));
    return settings;
}

void World::make_hosts() {
    for (unsigned group = 0; group < options.groups; ++group)
        for (unsigned index = 0; index < options.hosts_per_group; ++index) {
            std::uint32_t zone = (group + index) % std::max(1U, options.zones);
            hosts.push_back(std::make_unique<Host>(options, timeline, std::uint32_t(hosts.size()), group,
                                                   zone, index == 0));
        }
}

void World::start_pooler(std::unique_ptr<SimulatedPooler>& slot, std::uint32_t number, std::uint64_t seed) {
    slot = std::make_unique<SimulatedPooler>(*this, number, seed);
    if (options.sites) {
        std::vector<std::string> names;
        for (const ClassOptions& request_class : options.classes) names.push_back(request_class.name);
        slot->core.watch_sites(*options.sites, routing::site_classes(settings(), names),
                               options.seed * 7 + number);
    }
    discovery.add(*slot);
}

void World::restart_pooler(std::uint32_t number) {
    // The clients' connections break. Sending the requests again is up to the clients.
    clients.disconnect_from(number);
    poolers[number]->core.run_batch();
    poolers[number]->end_process();
    network.reconnect_pooler(number);
    ended_poolers_.push_back(std::move(poolers[number]));
    start_pooler(poolers[number], number, options.seed * 1000 + 500 + number);
}

void World::crash(Host& host, CrashMode mode) {
    host.crash();
    if (host.is_primary) schedule_election(host.group);
    if (mode == CrashMode::connections_reset) network.break_connections(host);
}

void World::restart(Host& host) {
    network.break_connections(host);  // the restarted machine does not know its old connections
    host.restart();
    auditor.host_started(host.number, timeline.now(), double(options.cores));
    discovery.notify(host);
}

void World::schedule_election(std::uint32_t group) {
    if (options.election_delay_s <= 0) return;
    timeline.schedule_after(duration_of_seconds(options.election_delay_s), EventRank::world,
                            [this, group] { elect(group); });
}

// Makes the first replica that is up the primary, unless the group's primary has returned.
void World::elect(std::uint32_t group) {
    Host* primary = nullptr;
    Host* candidate = nullptr;
    for (auto& host : hosts) {
        if (host->group != group) continue;
        if (host->is_primary)
            primary = host.get();
        else if (host->is_up() && !candidate)
            candidate = host.get();
    }
    if (!primary || primary->is_up() || !candidate) return;
    primary->is_primary = false;
    candidate->is_primary = true;
    discovery.notify(*candidate);
}

void World::plant_defect(const std::string& request, std::uint32_t pooler, std::uint32_t host) {
    Time now = timeline.now();
    if (options.defect == Defect::duplicate_attempt) auditor.attempt_sent(request, pooler, host + 1, now);
    if (options.defect != Defect::overloaded_slow_start) return;
    auditor.host_started(host, now, double(options.cores));
    for (int i = 0; i < 2000; ++i) auditor.work_sent(host, 50ms, now);
}

void World::schedule_cleanup() {
    timeline.schedule_after(1s, EventRank::batch, [this] {
        clients.forget_old_attempts();
        schedule_cleanup();
    });
}

FleetSummary World::run() {
    make_hosts();
    poolers.resize(options.poolers);
    for (std::uint32_t i = 0; i < options.poolers; ++i) start_pooler(poolers[i], i, options.seed * 1000 + i);
    faults.schedule_all();
    schedule_cleanup();
    clients.schedule_arrival();
    Duration longest_deadline{};
    for (const ClassOptions& request_class : options.classes)
        longest_deadline = std::max(longest_deadline, request_class.deadline);
    Time end = at_seconds(options.seconds) + longest_deadline * 2 + 1s;
    summary.was_cut_short = !timeline.run(end, options.max_events);
    finish();
    return std::move(summary);
}

void World::finish() {
    if (!summary.was_cut_short) auditor.finish(timeline.now());
    std::sort(summary.latency_us.begin(), summary.latency_us.end());
    summary.breaches = auditor.breaches();
    for (const Auditor::Breach& breach : summary.breaches)
        summary.overloads += breach.rule.find("cold") != std::string::npos;
    summary.checks = auditor.checks();
    summary.events = timeline.executed_events();
}

}  // namespace indigovane::lab
