#include "routing/site_shell.hpp"

#include <cstdio>

namespace indigovane::routing {

using starlingpond::Status;

namespace {
// Where hosts tell only the requests that they hold: so many are busy cores (the module reckons alike).
constexpr double kHeldBusy = 6;
site::HostId host(MemberId m) {
    return site::HostId{std::uint32_t(m)};
}
std::string decimal(double v) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", v);
    return text;
}
}  // namespace

SiteShell::SiteShell(const site::Settings& settings, site::Surroundings around, std::uint64_t seed)
    : random_(seed ^ 0x736974657321u),  // not the module's stream
      director_(settings, std::move(around), [this] { return draw(); }) {}

std::vector<site::Demand> site_classes(const starlingpond::Settings& settings,
                                       const std::vector<std::string>& names) {
    using starlingpond::Consistency;
    std::vector<site::Demand> out;
    for (const starlingpond::ClassSettings& k : settings.classes) {
        site::Demand d;
        if (out.size() < names.size()) d.cls = names[out.size()];
        auto consistency = k.consistency.value_or(Consistency::write);
        d.primary = consistency == Consistency::write || consistency == Consistency::fresh;
        d.worth = k.worth.value_or(1);
        out.push_back(std::move(d));
    }
    return out;
}

bool SiteShell::admit(const Item& item, Time now) {
    return director_.admit({site::GroupId{std::uint32_t(item.group)}, std::size_t(item.cls), item.tenant,
                            draw(), item.patience, item.repeat},
                           time(now));
}

// What an end says of the host. A client that left early, or a connection that nobody could open for want of
// descriptors, says nothing.
void SiteShell::ended(MemberId member, bool probe, Time sent, Status status, Duration connect_timeout,
                      Time now) {
    std::optional<site::Sign> sign;
    Duration took = now - sent;
    switch (status) {
        case Status::ok:
        case Status::error:
        case Status::full:
        case Status::miss:
        case Status::stale:
            sign = site::Sign::answer;
            break;
        case Status::timeout:
            sign = site::Sign::mute;
            break;
        case Status::unreachable:
            sign = took < connect_timeout / 2 && !probe ? site::Sign::broken : site::Sign::mute;
            break;
        case Status::reset:
            sign = site::Sign::broken;
            break;
        case Status::cancelled:
            if (took >= director_.settings().quiet) sign = site::Sign::mute;
            break;
        case Status::moot:
            break;
    }
    director_.over(host(member));
    if (sign) director_.sign(host(member), *sign, time(sent), time(now));
}

void SiteShell::sent(MemberId member, Time now) {
    director_.sent(host(member), time(now));
}

void SiteShell::begun(MemberId member, Time now) {
    director_.sign(host(member), site::Sign::answer, time(now), time(now));
}

void SiteShell::heard(MemberId member, std::optional<starlingpond::Role> role,
                      const starlingpond::Report& report) {
    if (role == starlingpond::Role::primary || report.primary == true) director_.primary(host(member));
    if (report.busy)
        director_.busy(host(member), *report.busy);
    else if (report.held)
        director_.busy(host(member), std::min(1.0, *report.held / kHeldBusy));
}

void SiteShell::took(const Item& item, Duration latency) {
    director_.took(site::GroupId{std::uint32_t(item.group)}, std::size_t(item.cls), latency);
}

std::optional<Time> SiteShell::next() const {
    auto next = director_.next();
    return next ? std::optional(time(*next)) : std::nullopt;
}

std::vector<SiteShell::Use> SiteShell::look(Time now, Logger& logger) {
    std::vector<Use> uses;
    auto member = [](site::HostId h) { return MemberId(std::uint32_t(h)); };
    for (const site::Effect& effect : director_.tick(time(now))) {
        if (auto* out = std::get_if<site::HoldOut>(&effect)) {
            uses.push_back({Use::What::hold_out, member(out->host), std::nullopt, out->silent});
        } else if (auto* in = std::get_if<site::LetIn>(&effect)) {
            uses.push_back({Use::What::let_in, member(in->host),
                            in->started ? std::optional(time(*in->started)) : std::nullopt});
        } else if (auto* probe = std::get_if<site::ProbeHost>(&effect)) {
            uses.push_back({Use::What::probe, member(probe->host), std::nullopt});
        } else {
            const site::Note& n = std::get<site::Note>(effect);
            const site::SiteEvidence& e = n.change.evidence;
            logger.log(Level::notice, "site", n.change.why,
                       {{"zone", std::to_string(std::uint32_t(n.change.site))},
                        {"was", site::name(n.change.before)},
                        {"is", site::name(n.change.now)},
                        {"hosts", std::to_string(e.hosts)},
                        {"answering", std::to_string(e.answering)},
                        {"silent", std::to_string(e.mute)},
                        {"refusing", std::to_string(e.broken)},
                        {"hold_s", decimal(n.hold_s)},
                        {"ramp_s", decimal(n.ramp_s)},
                        {"falls", std::to_string(n.falls)}});
        }
    }
    return uses;
}

}  // namespace indigovane::routing
