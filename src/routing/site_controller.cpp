#include "routing/site_controller.hpp"

#include <cstdio>

namespace indigovane::routing {

using policy::AttemptStatus;

namespace {
// Where hosts report only their requests in flight: with so many all cores are busy. The routing policy
// counts alike.
constexpr double kInFlightAllBusy = 6;
constexpr std::uint64_t kSeedOfSites = 0x736974657321u;  // other draws than the policy's of the same seed
constexpr int kUnusedBits = 11;                          // a double's mantissa holds 53 of 64
constexpr double kDrawUnit = 0x1.0p-53;

site::HostId host(EndpointId endpoint) {
    return site::HostId{std::uint32_t(endpoint)};
}

EndpointId endpoint_of(site::HostId host) {
    return EndpointId(std::uint32_t(host));
}

std::string two_decimals(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

// What an end says of the host. A client that left early, or a connection that could not be opened for want
// of descriptors, says nothing.
std::optional<site::ContactResult> contact_result(const BackendTask& task, AttemptStatus status,
                                                  Duration took, Duration connect_timeout,
                                                  Duration unresponsive_after) {
    switch (status) {
        case AttemptStatus::ok:
        case AttemptStatus::error:
        case AttemptStatus::rejected:
        case AttemptStatus::miss:
        case AttemptStatus::stale:
            return site::ContactResult::answered;
        case AttemptStatus::timeout:
            return site::ContactResult::unanswered;
        case AttemptStatus::unreachable:
            return took < connect_timeout / 2 && !task.health_check ? site::ContactResult::reset
                                                                    : site::ContactResult::unanswered;
        case AttemptStatus::reset:
            return site::ContactResult::reset;
        case AttemptStatus::cancelled:
            if (took >= unresponsive_after) return site::ContactResult::unanswered;
            break;
        case AttemptStatus::not_started:
            break;
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
    : random_(seed ^ kSeedOfSites), manager_(settings, std::move(fleet), [this] { return draw(); }) {}

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
    manager_.record_ended(host(endpoint));
    if (result) manager_.record_contact(host(endpoint), *result, time(task.sent), time(now));
}

void SiteController::task_sent(EndpointId endpoint, Time now) {
    manager_.record_sent(host(endpoint), time(now));
}

void SiteController::response_started(EndpointId endpoint, Time now) {
    manager_.record_contact(host(endpoint), site::ContactResult::answered, time(now), time(now));
}

void SiteController::report_received(EndpointId endpoint, std::optional<policy::Role> role,
                                     const policy::LoadReport& report) {
    if (role == policy::Role::primary || report.primary == true) manager_.record_primary(host(endpoint));
    if (report.cpu_utilization)
        manager_.record_utilization(host(endpoint), *report.cpu_utilization);
    else if (report.in_flight)
        manager_.record_utilization(host(endpoint), std::min(1.0, *report.in_flight / kInFlightAllBusy));
}

void SiteController::record_latency(const ClientRequest& request, Duration latency) {
    manager_.record_latency(site::GroupId{std::uint32_t(request.group)}, std::size_t(request.request_class),
                            latency);
}

std::optional<Time> SiteController::next() const {
    auto next = manager_.next_evaluation();
    return next ? std::optional(time(*next)) : std::nullopt;
}

std::vector<SiteController::EndpointChange> SiteController::take_changes(Time now, Logger& logger) {
    using Kind = EndpointChange::Kind;
    std::vector<EndpointChange> changes;
    for (const site::SiteAction& action : manager_.evaluate(time(now))) {
        if (auto* exclude = std::get_if<site::ExcludeHost>(&action)) {
            changes.push_back(
                {Kind::exclude, endpoint_of(exclude->host), std::nullopt, exclude->unresponsive});
        } else if (auto* readmit = std::get_if<site::ReadmitHost>(&action)) {
            auto started = readmit->started ? std::optional(time(*readmit->started)) : std::nullopt;
            changes.push_back({Kind::readmit, endpoint_of(readmit->host), started, false});
        } else if (auto* probe = std::get_if<site::ProbeHost>(&action)) {
            changes.push_back({Kind::check_health, endpoint_of(probe->host), std::nullopt, false});
        } else {
            log_transition(std::get<site::SiteTransition>(action), logger);
        }
    }
    return changes;
}

}  // namespace indigovane::routing
