#include "routing/site_controller.hpp"

#include <cstdio>

namespace indigovane::routing {

using policy::AttemptStatus;

namespace {
// The number of requests in flight at which all cores of a host are busy, for hosts that report no CPU
// utilization. The routing policy uses the same number.
constexpr double kInFlightAllBusy = 6;
// Makes the random draws differ from those of the routing policy, which has the same seed.
constexpr std::uint64_t kSiteSeedMask = 0x736974657321u;
constexpr int kUnusedBits = 11;  // a double's mantissa holds only 53 of the 64 random bits
constexpr double kDrawUnit = 0x1.0p-53;

site::HostId host_id(EndpointId endpoint) {
    return site::HostId{std::uint32_t(endpoint)};
}

EndpointId endpoint_id(site::HostId host) {
    return EndpointId(std::uint32_t(host));
}

std::string two_decimals(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

// What the end of a task shows about the host. A client that left early, and a connection that could not be
// opened for lack of file descriptors, show nothing.
std::optional<site::ContactResult> contact_result(const BackendTask& task, AttemptStatus status,
                                                  Duration duration, Duration connect_timeout,
                                                  Duration unresponsive_after) {
    if (policy::is_answer(status)) return site::ContactResult::answered;
    switch (status) {
        case AttemptStatus::timeout:
            return site::ContactResult::unanswered;
        case AttemptStatus::unreachable:
            return duration < connect_timeout / 2 && !task.is_health_check ? site::ContactResult::reset
                                                                           : site::ContactResult::unanswered;
        case AttemptStatus::reset:
            return site::ContactResult::reset;
        case AttemptStatus::cancelled:
            if (duration >= unresponsive_after) return site::ContactResult::unanswered;
            break;
        default:
            break;  // shows nothing
    }
    return std::nullopt;
}

void log_transition(const site::SiteTransition& transition, Logger& logger) {
    const site::SiteEvidence& evidence = transition.change.evidence;
    logger.log(Level::notice, "site", transition.change.reason,
               {{"zone", std::to_string(std::uint32_t(transition.change.site))},
                {"was", site::state_name(transition.change.before)},
                {"is", site::state_name(transition.change.after)},
                {"hosts", std::to_string(evidence.hosts)},
                {"answering", std::to_string(evidence.answering)},
                {"silent", std::to_string(evidence.unresponsive)},
                {"refusing", std::to_string(evidence.resetting)},
                {"hold_s", two_decimals(transition.exclusion_seconds)},
                {"ramp_s", two_decimals(transition.ramp_seconds)},
                {"falls", std::to_string(transition.losses)}});
}
}  // namespace

SiteController::SiteController(const site::Settings& settings, site::FleetContext fleet, std::uint64_t seed)
    : random_(seed ^ kSiteSeedMask), manager_(settings, std::move(fleet), [this] { return draw(); }) {}

double SiteController::draw() {
    return double(random_() >> kUnusedBits) * kDrawUnit;
}

std::vector<site::Demand> site_classes(const policy::Settings& settings,
                                       const std::vector<std::string>& names) {
    using policy::Consistency;
    std::vector<site::Demand> demands;
    for (const policy::ClassSettings& class_settings : settings.classes) {
        site::Demand demand;
        if (demands.size() < names.size()) demand.request_class = names[demands.size()];
        auto consistency = class_settings.consistency.value_or(Consistency::write);
        demand.needs_primary = consistency == Consistency::write || consistency == Consistency::fresh;
        demand.priority_weight = class_settings.priority_weight.value_or(1);
        demands.push_back(std::move(demand));
    }
    return demands;
}

bool SiteController::admit(const ClientRequest& request, Time now) {
    return manager_.admit({site::GroupId{std::uint32_t(request.group)}, std::size_t(request.request_class),
                           request.tenant, draw(), request.client_timeout, request.is_retry},
                          time(now));
}

void SiteController::task_ended(EndpointId endpoint, const BackendTask& task, AttemptStatus status,
                                Duration connect_timeout, Time now) {
    std::optional<site::ContactResult> result = contact_result(task, status, now - task.sent, connect_timeout,
                                                               manager_.settings().unresponsive_after);
    manager_.record_ended(host_id(endpoint));
    if (result) manager_.record_contact(host_id(endpoint), *result, time(task.sent), time(now));
}

void SiteController::task_sent(EndpointId endpoint, Time now) {
    manager_.record_sent(host_id(endpoint), time(now));
}

void SiteController::response_started(EndpointId endpoint, Time now) {
    manager_.record_contact(host_id(endpoint), site::ContactResult::answered, time(now), time(now));
}

void SiteController::report_received(EndpointId endpoint, std::optional<policy::Role> role,
                                     const policy::LoadReport& report) {
    if (role == policy::Role::primary || report.primary == true) manager_.record_primary(host_id(endpoint));
    if (report.cpu_utilization)
        manager_.record_utilization(host_id(endpoint), *report.cpu_utilization);
    else if (report.in_flight)
        manager_.record_utilization(host_id(endpoint), std::min(1.0, *report.in_flight / kInFlightAllBusy));
}

void SiteController::record_latency(const ClientRequest& request, Duration latency) {
    manager_.record_latency(site::GroupId{std::uint32_t(request.group)}, std::size_t(request.request_class),
                            latency);
}

std::optional<Time> SiteController::next_evaluation() const {
    auto next = manager_.next_evaluation();
    return next ? std::optional(time(*next)) : std::nullopt;
}

std::vector<SiteController::EndpointChange> SiteController::take_changes(Time now, Logger& logger) {
    using Kind = EndpointChange::Kind;
    std::vector<EndpointChange> changes;
    for (const site::SiteAction& action : manager_.evaluate(time(now))) {
        if (auto* exclude = std::get_if<site::ExcludeHost>(&action)) {
            changes.push_back(
                {Kind::exclude, endpoint_id(exclude->host), std::nullopt, exclude->unresponsive});
        } else if (auto* readmit = std::get_if<site::ReadmitHost>(&action)) {
            auto started = readmit->started ? std::optional(time(*readmit->started)) : std::nullopt;
            changes.push_back({Kind::readmit, endpoint_id(readmit->host), started, false});
        } else if (auto* probe = std::get_if<site::ProbeHost>(&action)) {
            changes.push_back({Kind::check_health, endpoint_id(probe->host), std::nullopt, false});
        } else {
            log_transition(std::get<site::SiteTransition>(action), logger);
        }
    }
    return changes;
}

}  // namespace indigovane::routing
