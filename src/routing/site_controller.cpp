#include "routing/site_controller.hpp"

#include <cstdio>

namespace indigovane::routing {

using policy::AttemptStatus;

namespace {
// Where hosts tell only the requests that they hold: so many are busy cores (the module reckons alike).
constexpr double kHeldBusy = 6;
site::HostId host(EndpointId m) {
    return site::HostId{std::uint32_t(m)};
}
std::string decimal(double v) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", v);
    return text;
}
}  // namespace

SiteController::SiteController(const site::Settings& settings, site::FleetContext around, std::uint64_t seed)
    : random_(seed ^ 0x736974657321u),  // not the module's stream
      manager_(settings, std::move(around), [this] { return draw(); }) {}

std::vector<site::Demand> site_classes(const policy::Settings& settings,
                                       const std::vector<std::string>& names) {
    using policy::Consistency;
    std::vector<site::Demand> out;
    for (const policy::ClassSettings& k : settings.classes) {
        site::Demand d;
        if (out.size() < names.size()) d.request_class = names[out.size()];
        auto consistency = k.consistency.value_or(Consistency::write);
        d.primary = consistency == Consistency::write || consistency == Consistency::fresh;
        d.priority_weight = k.priority_weight.value_or(1);
        out.push_back(std::move(d));
    }
    return out;
}

bool SiteController::admit(const ClientRequest& item, Time now) {
    return manager_.admit({site::GroupId{std::uint32_t(item.group)}, std::size_t(item.request_class),
                           item.tenant, draw(), item.client_timeout, item.repeat},
                          time(now));
}

// What an end says of the host. A client that left early, or a connection that nobody could open for want of
// descriptors, says nothing.
void SiteController::ended(EndpointId endpoint, bool probe, Time sent, AttemptStatus status,
                           Duration connect_timeout, Time now) {
    std::optional<site::ContactResult> sign;
    Duration took = now - sent;
    switch (status) {
        case AttemptStatus::ok:
        case AttemptStatus::error:
        case AttemptStatus::rejected:
        case AttemptStatus::miss:
        case AttemptStatus::stale:
            sign = site::ContactResult::answered;
            break;
        case AttemptStatus::timeout:
            sign = site::ContactResult::unanswered;
            break;
        case AttemptStatus::unreachable:
            sign = took < connect_timeout / 2 && !probe ? site::ContactResult::reset
                                                        : site::ContactResult::unanswered;
            break;
        case AttemptStatus::reset:
            sign = site::ContactResult::reset;
            break;
        case AttemptStatus::cancelled:
            if (took >= manager_.settings().unresponsive_after) sign = site::ContactResult::unanswered;
            break;
        case AttemptStatus::not_started:
            break;
    }
    manager_.record_ended(host(endpoint));
    if (sign) manager_.record_contact(host(endpoint), *sign, time(sent), time(now));
}

void SiteController::sent(EndpointId endpoint, Time now) {
    manager_.record_sent(host(endpoint), time(now));
}

void SiteController::begun(EndpointId endpoint, Time now) {
    manager_.record_contact(host(endpoint), site::ContactResult::answered, time(now), time(now));
}

void SiteController::heard(EndpointId endpoint, std::optional<policy::Role> role,
                           const policy::LoadReport& report) {
    if (role == policy::Role::primary || report.primary == true) manager_.record_primary(host(endpoint));
    if (report.cpu_utilization)
        manager_.record_utilization(host(endpoint), *report.cpu_utilization);
    else if (report.in_flight)
        manager_.record_utilization(host(endpoint), std::min(1.0, *report.in_flight / kHeldBusy));
}

void SiteController::took(const ClientRequest& item, Duration latency) {
    manager_.record_latency(site::GroupId{std::uint32_t(item.group)}, std::size_t(item.request_class),
                            latency);
}

std::optional<Time> SiteController::next() const {
    auto next = manager_.next_evaluation();
    return next ? std::optional(time(*next)) : std::nullopt;
}

std::vector<SiteController::Use> SiteController::look(Time now, Logger& logger) {
    std::vector<Use> uses;
    auto endpoint = [](site::HostId h) { return EndpointId(std::uint32_t(h)); };
    for (const site::SiteAction& effect : manager_.evaluate(time(now))) {
        if (auto* out = std::get_if<site::ExcludeHost>(&effect)) {
            uses.push_back({Use::What::exclude, endpoint(out->host), std::nullopt, out->unresponsive});
        } else if (auto* in = std::get_if<site::ReadmitHost>(&effect)) {
            uses.push_back({Use::What::let_in, endpoint(in->host),
                            in->started ? std::optional(time(*in->started)) : std::nullopt});
        } else if (auto* probe = std::get_if<site::ProbeHost>(&effect)) {
            uses.push_back({Use::What::probe, endpoint(probe->host), std::nullopt});
        } else {
            const site::SiteTransition& n = std::get<site::SiteTransition>(effect);
            const site::SiteEvidence& e = n.change.evidence;
            logger.log(Level::notice, "site", n.change.reason,
                       {{"zone", std::to_string(std::uint32_t(n.change.site))},
                        {"was", site::state_name(n.change.before)},
                        {"is", site::state_name(n.change.after)},
                        {"hosts", std::to_string(e.hosts)},
                        {"answering", std::to_string(e.answering)},
                        {"silent", std::to_string(e.unresponsive)},
                        {"refusing", std::to_string(e.resetting)},
                        {"hold_s", decimal(n.exclusion_seconds)},
                        {"ramp_s", decimal(n.ramp_seconds)},
                        {"falls", std::to_string(n.losses)}});
        }
    }
    return uses;
}

}  // namespace indigovane::routing
