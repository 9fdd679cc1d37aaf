#include "program/site_text.hpp"

#include <algorithm>
#include <cstdio>

namespace indigovane::program {

using nlohmann::ordered_json;

namespace {

std::string zone_name(const std::vector<std::string>& zones, site::SiteId id) {
    auto n = std::size_t(id);
    return n < zones.size() ? zones[n] : std::to_string(n);
}

double rounded(double v) {
    return double(std::int64_t(v * 1000 + 0.5)) / 1000;
}

// Seconds since; null where it has not been.
ordered_json age(std::optional<site::Time> at, site::Time now) {
    if (!at) return nullptr;
    return rounded(double((now - *at).count()) / 1e6);
}

template <typename... Values>
std::string line(const char* format, Values... values) {
    char text[256];
    std::snprintf(text, sizeof text, format, values...);
    return text;
}

}  // namespace

std::vector<site::Demand> site_classes(const Config& config) {
    std::vector<std::string> names;
    for (const adapters::ClassInfo& c : config.classes.all()) names.push_back(c.name);
    return routing::site_classes(config.settings, names);
}

std::optional<std::uint32_t> zone_number(const std::vector<std::string>& zones, const std::string& name) {
    auto it = std::find(zones.begin(), zones.end(), name);
    if (it == zones.end()) return std::nullopt;
    return std::uint32_t(it - zones.begin());
}

ordered_json plan_json(const site::Plan& plan, const std::vector<std::string>& zones,
                       const std::function<std::string(site::HostId)>& name) {
    ordered_json o;
    o["worth_kept"] = plan.weight_offered > 0 ? rounded(plan.weight_retained / plan.weight_offered) : 1.0;
    o["groups"] = ordered_json::array();
    for (const auto& [id, g] : plan.groups) {
        ordered_json j;
        j["group"] = std::uint32_t(id);
        j["primary_lost"] = g.primary_lost;
        j["moved"] = rounded(g.moved);
        j["refused"] = rounded(g.shed);
        j["strain"] = rounded(g.load_ratio);
        o["groups"].push_back(std::move(j));
    }
    o["refused"] = ordered_json::array();
    for (const site::AdmittedShare& s : plan.shares) {
        if (s.admitted >= 1) continue;
        ordered_json j;
        j["rank"] = s.rank;
        j["class"] = s.request_class;
        j["group"] = std::uint32_t(s.group);
        j["let_in"] = rounded(s.admitted);
        for (const auto& [tenant, part] : s.tenants) j["tenants"][tenant] = rounded(part);
        o["refused"].push_back(std::move(j));
    }
    o["hosts"] = ordered_json::array();
    for (const site::HostLoad& h : plan.hosts) {
        ordered_json j;
        j["host"] = name(h.host);
        j["zone"] = zone_name(zones, h.site);
        j["group"] = std::uint32_t(h.group);
        j["lost"] = h.lost;
        j["before"] = rounded(h.before);
        j["after"] = rounded(h.after);
        if (h.capacity < 1e6) j["capacity"] = rounded(h.capacity);
        o["hosts"].push_back(std::move(j));
    }
    return o;
}

std::string plan_text(const site::Plan& plan, const std::vector<std::string>& zones,
                      const std::function<std::string(site::HostId)>& name) {
    std::string out;
    double kept = plan.weight_offered > 0 ? plan.weight_retained / plan.weight_offered : 1;
    out += line("worth kept        %.1f%%\n\n", kept * 100);
    out += "group  primary            work moved  work refused  a replica's load\n";
    for (const auto& [id, g] : plan.groups)
        out += line("%-6u %-18s %10.2f  %12.2f  %10.2f times\n", std::uint32_t(id),
                    g.primary_lost ? "lost: waits" : "stays", g.moved, g.shed, g.load_ratio);
    out += "\nrefused, in this order\nrank   class                group  let in\n";
    bool any = false;
    for (const site::AdmittedShare& s : plan.shares) {
        if (s.admitted >= 1) continue;
        any = true;
        out += line("%-6u %-20s %5u  %5.1f%%\n", s.rank, s.request_class.c_str(), std::uint32_t(s.group),
                    s.admitted * 100);
        for (const auto& [tenant, part] : s.tenants)
            out += line("         tenant %-24s %5.1f%%\n", tenant.c_str(), part * 100);
    }
    if (!any) out += "nothing\n";
    out += "\nhost                 zone         group  role       before    after  of capacity\n";
    for (const site::HostLoad& h : plan.hosts) {
        std::string use = h.lost ? "lost" : h.capacity > 0 ? line("%.0f%%", h.after / h.capacity * 100) : "";
        out += line("%-20s %-12s %5u  %-8s %8.2f %8.2f  %s\n", name(h.host).c_str(),
                    zone_name(zones, h.site).c_str(), std::uint32_t(h.group),
                    h.primary ? "primary" : "replica", h.before, h.after, use.c_str());
    }
    return out;
}

ordered_json status_json(const site::SiteManager& manager, const std::vector<std::string>& zones,
                         site::Time now) {
    ordered_json o;
    o["own_link_down"] = manager.health().uplink_down();
    o["hosts_out"] = manager.excluded_hosts();
    o["refused"] = manager.rejected();
    o["repeats_held_back"] = manager.retries_denied();
    o["sites"] = ordered_json::array();
    for (site::SiteId id : manager.evidence().sites()) {
        const site::SiteHealth& v = manager.health().of_site(id);
        site::SiteEvidence e = manager.evidence().of_site(id, now, manager.settings().evidence_window,
                                                          manager.response_timeout());
        ordered_json j;
        j["zone"] = zone_name(zones, id);
        j["is"] = site::state_name(v.state);
        j["for_s"] = v.since == site::Time{} ? ordered_json(nullptr) : age(v.since, now);
        j["hosts"] = e.hosts;
        j["answering"] = e.answering;
        j["silent"] = e.unresponsive;
        j["refusing"] = e.resetting;
        j["answered_s"] = age(e.last_answer, now);
        j["silent_s"] = age(e.unresponsive_since, now);
        j["falls"] = v.losses;
        o["sites"].push_back(std::move(j));
    }
    return o;
}

}  // namespace indigovane::program
