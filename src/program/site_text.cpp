#include "program/site_text.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace indigovane::program {

using nlohmann::ordered_json;

namespace {

constexpr std::size_t kMaxLine = 256;  // bytes
// A host's capacity from this value on counts as unknown.
constexpr double kUnlimitedCapacity = 1e6;
constexpr double kMicrosecondsPerSecond = 1e6;

std::string zone_name(const std::vector<std::string>& zones, site::SiteId id) {
    auto number = std::size_t(id);
    return number < zones.size() ? zones[number] : std::to_string(number);
}

// Rounds to three decimals. Adding zero makes a negative zero positive: JSON would show its sign.
double rounded(double value) {
    return std::trunc(value * 1000 + 0.5) / 1000 + 0.0;
}

// The seconds from `at` to `now`, or null if there is no `at`.
ordered_json seconds_since(std::optional<site::Time> at, site::Time now) {
    if (!at) return nullptr;
    return rounded(double((now - *at).count()) / kMicrosecondsPerSecond);
}

template <typename... Values>
std::string format_line(const char* format, Values... values) {
    char text[kMaxLine];
    std::snprintf(text, sizeof text, format, values...);
    return text;
}

// The fraction of the offered priority weight that would still be served.
double retained_weight(const site::Plan& plan) {
    return plan.weight_offered > 0 ? plan.weight_retained / plan.weight_offered : 1;
}

bool is_shed(const site::AdmittedShare& share) {
    return share.admitted_share < 1;
}

ordered_json groups_json(const site::Plan& plan) {
    ordered_json groups = ordered_json::array();
    for (const auto& [id, group] : plan.groups) {
        ordered_json json;
        json["group"] = std::uint32_t(id);
        json["primary_lost"] = group.primary_lost;
        json["moved"] = rounded(group.moved_work);
        json["refused"] = rounded(group.shed_work);
        json["strain"] = rounded(group.load_ratio);
        groups.push_back(std::move(json));
    }
    return groups;
}

ordered_json shed_json(const site::Plan& plan) {
    ordered_json shed = ordered_json::array();
    for (const site::AdmittedShare& share : plan.shares) {
        if (!is_shed(share)) continue;
        ordered_json json;
        json["rank"] = share.rank;
        json["class"] = share.request_class;
        json["group"] = std::uint32_t(share.group);
        json["let_in"] = rounded(share.admitted_share);
        for (const auto& [tenant, tenant_share] : share.tenants)
            json["tenants"][tenant] = rounded(tenant_share);
        shed.push_back(std::move(json));
    }
    return shed;
}

ordered_json hosts_json(const site::Plan& plan, const std::vector<std::string>& zones,
                        const HostName& host_name) {
    ordered_json hosts = ordered_json::array();
    for (const site::HostLoad& host : plan.hosts) {
        ordered_json json;
        json["host"] = host_name(host.host);
        json["zone"] = zone_name(zones, host.site);
        json["group"] = std::uint32_t(host.group);
        json["lost"] = host.is_lost;
        json["before"] = rounded(host.load_before);
        json["after"] = rounded(host.load_after);
        if (host.capacity < kUnlimitedCapacity) json["capacity"] = rounded(host.capacity);
        hosts.push_back(std::move(json));
    }
    return hosts;
}

std::string groups_text(const site::Plan& plan) {
    std::string out = "group  primary            work moved  work refused  a replica's load\n";
    for (const auto& [id, group] : plan.groups)
        out += format_line("%-6u %-18s %10.2f  %12.2f  %10.2f times\n", std::uint32_t(id),
                           group.primary_lost ? "lost: waits" : "stays", group.moved_work, group.shed_work,
                           group.load_ratio);
    return out;
}

std::string shed_text(const site::Plan& plan) {
    std::string out = "\nrefused, in this order\nrank   class                group  let in\n";
    bool has_shed_shares = false;
    for (const site::AdmittedShare& share : plan.shares) {
        if (!is_shed(share)) continue;
        has_shed_shares = true;
        out += format_line("%-6u %-20s %5u  %5.1f%%\n", share.rank, share.request_class.c_str(),
                           std::uint32_t(share.group), share.admitted_share * 100);
        for (const auto& [tenant, tenant_share] : share.tenants)
            out += format_line("         tenant %-24s %5.1f%%\n", tenant.c_str(), tenant_share * 100);
    }
    if (!has_shed_shares) out += "nothing\n";
    return out;
}

std::string utilization_text(const site::HostLoad& host) {
    if (host.is_lost) return "lost";
    return host.capacity > 0 ? format_line("%.0f%%", host.load_after / host.capacity * 100) : "";
}

std::string hosts_text(const site::Plan& plan, const std::vector<std::string>& zones,
                       const HostName& host_name) {
    std::string out = "\nhost                 zone         group  role       before    after  of capacity\n";
    for (const site::HostLoad& host : plan.hosts)
        out += format_line("%-20s %-12s %5u  %-8s %8.2f %8.2f  %s\n", host_name(host.host).c_str(),
                           zone_name(zones, host.site).c_str(), std::uint32_t(host.group),
                           host.primary ? "primary" : "replica", host.load_before, host.load_after,
                           utilization_text(host).c_str());
    return out;
}

ordered_json site_json(const site::SiteManager& manager, site::SiteId id,
                       const std::vector<std::string>& zones, site::Time now) {
    const site::SiteHealth& health = manager.health().of_site(id);
    site::SiteEvidence evidence =
        manager.evidence().of_site(id, now, manager.settings().evidence_window, manager.response_timeout());
    ordered_json json;
    json["zone"] = zone_name(zones, id);
    json["is"] = site::state_name(health.state);
    json["for_s"] = health.since == site::Time{} ? ordered_json(nullptr) : seconds_since(health.since, now);
    json["hosts"] = evidence.hosts;
    json["answering"] = evidence.answering;
    json["silent"] = evidence.unresponsive;
    json["refusing"] = evidence.resetting;
    json["answered_s"] = seconds_since(evidence.last_answer, now);
    json["silent_s"] = seconds_since(evidence.unresponsive_since, now);
    json["falls"] = health.losses;
    return json;
}

}  // namespace

std::vector<site::Demand> site_classes(const Config& config) {
    std::vector<std::string> names;
    for (const adapters::ClassInfo& request_class : config.classes.all()) names.push_back(request_class.name);
    return routing::site_classes(config.settings, names);
}

std::optional<std::uint32_t> zone_number(const std::vector<std::string>& zones, const std::string& name) {
    auto found = std::find(zones.begin(), zones.end(), name);
    if (found == zones.end()) return std::nullopt;
    return std::uint32_t(found - zones.begin());
}

ordered_json plan_json(const site::Plan& plan, const std::vector<std::string>& zones,
                       const HostName& host_name) {
    ordered_json json;
    json["worth_kept"] = rounded(retained_weight(plan));
    json["groups"] = groups_json(plan);
    json["refused"] = shed_json(plan);
    json["hosts"] = hosts_json(plan, zones, host_name);
    return json;
}

std::string plan_text(const site::Plan& plan, const std::vector<std::string>& zones,
                      const HostName& host_name) {
    return format_line("worth kept        %.1f%%\n\n", retained_weight(plan) * 100) + groups_text(plan) +
           shed_text(plan) + hosts_text(plan, zones, host_name);
}

ordered_json status_json(const site::SiteManager& manager, const std::vector<std::string>& zones,
                         site::Time now) {
    ordered_json json;
    json["own_link_down"] = manager.health().uplink_down();
    json["hosts_out"] = manager.excluded_host_count();
    json["refused"] = manager.rejected_requests();
    json["repeats_held_back"] = manager.retries_denied();
    json["sites"] = ordered_json::array();
    for (site::SiteId id : manager.evidence().sites())
        json["sites"].push_back(site_json(manager, id, zones, now));
    return json;
}

}  // namespace indigovane::program
