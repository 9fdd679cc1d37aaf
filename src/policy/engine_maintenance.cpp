#include <algorithm>
#include <string>

#include "policy/engine.hpp"
#include "policy/engine_timers.hpp"
#include "policy/health_check_schedule.hpp"

namespace indigovane::policy {

/// The first use of a group sends health checks to its endpoints. Each use starts maintenance of the group,
/// which goes on until the group is idle.
void Engine::record_use(ReplicaGroup& group, const Request& request) {
    if (!group.first_used) {
        group.first_used = now_;
        for (Endpoint* endpoint : first_use_checks(group, health_check_cost(settings_), random_))
            check_health(*endpoint, HealthCheckPurpose::scheduled);
    }
    if (required_position_of(request)) group.position_reads.record(now_);
    if (group.is_maintained) return;
    group.is_maintained = true;
    maintained_groups_.push_back(&group);
    if (maintained_groups_.size() == 1) append_action(SetTimer{kMaintenanceTimer, kMaintenanceInterval});
}

void Engine::maintain_groups() {
    for (ReplicaGroup* group : maintained_groups_) {
        maintain(*group);
        bool is_busy =
            std::ranges::any_of(group->endpoints, [](const Endpoint* it) { return it->in_flight > 0; });
        group->is_maintained =
            is_busy || !group->queue.empty() ||
            is_in_steady_use(*group, health_check_interval_, health_check_cost(settings_), now_);
    }
    std::erase_if(maintained_groups_, [](const ReplicaGroup* group) { return !group->is_maintained; });
    if (!maintained_groups_.empty()) append_action(SetTimer{kMaintenanceTimer, kMaintenanceInterval});
}

void Engine::maintain(ReplicaGroup& group) {
    for (Endpoint* endpoint : group.endpoints)
        if (endpoint->ejection.is_unresponsive(endpoint->in_flight, endpoint->limit.usual_latency_ms(), now_))
            eject(*endpoint, Fault::unresponsive);
    Endpoint* primary = known_primary(group);
    if (primary && group.logged_primary != primary->id) {
        log("primary is endpoint " + std::to_string(std::uint32_t(primary->id)));
        group.logged_primary = primary->id;
    }
    HealthCheckSchedule schedule(group, primary, health_check_interval_, health_check_cost(settings_), now_);
    for (Endpoint* endpoint : group.endpoints) {
        if (!endpoint->is_listed) continue;
        bool trial_due = schedule.is_trial_due(*endpoint);
        if (!trial_due && !schedule.is_check_due(*endpoint)) continue;
        if (trial_due) endpoint->ejection.start_trial(now_);
        check_health(*endpoint, HealthCheckPurpose::scheduled);
    }
    dispatch_queued(group);
}

/// Sends a health check, unless one is in flight at the endpoint, the budget is used up, or the settings or
/// the endpoint list do not allow it. All health checks are sent here.
void Engine::check_health(Endpoint& endpoint, HealthCheckPurpose purpose) {
    if (!health_checks_allowed(settings_) || endpoint.health_check.is_in_flight() || !endpoint.is_listed)
        return;
    if (!health_check_budget_.spend(purpose, health_check_cost(settings_))) return;
    endpoint.health_check.record_sent(now_);
    append_action(CheckHealth{endpoint.id});
}

}  // namespace indigovane::policy
