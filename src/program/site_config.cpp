#include "program/site_config.hpp"

#include "program/toml_reader.hpp"

namespace indigovane::program {

namespace {

void share(TomlReader::Table& t, const char* key, double& out) {
    t.unit<double>(key, out, "a share like \"80%\", up to 100%", [](std::string_view text) {
        auto v = read_percentage(text);
        return v && *v >= 0 && *v <= 1 ? v : std::nullopt;
    });
}

void positive(TomlReader::Table& t, const char* key, double& out) {
    const toml::node* node = t.get(key);
    if (!node) return;
    if (node->is_integer()) {
        std::int64_t v = 0;
        t.value<std::int64_t>(key, v, "a number above 0", [](std::int64_t n) { return n > 0; });
        if (v > 0) out = double(v);
    } else {
        t.value<double>(key, out, "a number above 0", [](double n) { return n > 0 && n < 1e9; });
    }
}

// A table of names, each with a number above 0.
std::map<std::string, double> weights(TomlReader& reader, TomlReader::Table& t, const char* key) {
    std::map<std::string, double> out;
    reader.one(t, key, [&](TomlReader::Table& names) {
        for (const auto& [name, node] : names.raw()) {
            double v = 0;
            positive(names, std::string(name.str()).c_str(), v);
            if (v > 0) out[std::string(name.str())] = v;
        }
    });
    return out;
}

void read_sites(TomlReader& reader, TomlReader::Table& t, site::Settings& s) {
    s.enabled = true;
    for (auto [key, out] : {std::pair{"quiet", &s.unresponsive_after},
                            {"fresh", &s.evidence_window},
                            {"stall", &s.process_pause_threshold},
                            {"lapse", &s.unconfirmed_loss_timeout},
                            {"hold", &s.min_exclusion},
                            {"hold_most", &s.max_exclusion},
                            {"flap_memory", &s.relapse_window},
                            {"ramp", &s.restart_ramp},
                            {"ramp_most", &s.max_ramp},
                            {"ramp_unsure", &s.default_ramp},
                            {"ramp_warm", &s.warm_ramp},
                            {"probe_every", &s.probe_interval},
                            {"starve", &s.starvation_interval},
                            {"retry_after", &s.retry_after}})
        t.duration(key, *out);
    for (auto [key, out] : {std::pair{"doubt", &s.degraded_share},
                            {"witness", &s.lost_share},
                            {"trickle", &s.initial_share},
                            {"ceiling", &s.max_utilization},
                            {"floor", &s.min_class_share}})
        share(t, key, *out);
    for (auto [key, out] : {std::pair{"hold_out", &s.exclude},
                            {"rescue", &s.abandon_unresponsive},
                            {"ramp_probes", &s.probe_before_readmission},
                            {"shed", &s.shed_by_plan},
                            {"budget", &s.limit_retries},
                            {"pace", &s.pace_recovery},
                            {"doubt_self", &s.detect_own_faults},
                            {"by_tenant", &s.tenant_fairness},
                            {"by_age", &s.shed_late_first}})
        t.value<bool>(key, *out, "true or false");
    t.size<unsigned>("least", s.min_unresponsive_hosts, 1, 1000);
    t.size<unsigned>("back", s.min_recovered_hosts, 1, 1000);
    t.size<unsigned>("confirm", s.confirmation_probes, 0, 1000);
    positive(t, "probes_per_host", s.probes_per_host_per_second);
    positive(t, "repeat_income", s.retry_budget_ratio);
    positive(t, "repeat_most", s.max_retry_budget);
    s.protected_classes = t.names("last");
    s.tenant_shares = weights(reader, t, "shares");
    auto ordered = [&](bool fits, const char* what) {
        if (!fits) reader.wrong(t.raw().source(), what);
    };
    // What contradicts itself would switch on and off by itself.
    ordered(s.unresponsive_after < s.evidence_window, "quiet: shorter than 'fresh'");
    ordered(s.min_exclusion <= s.max_exclusion, "hold: at most 'hold_most'");
    ordered(s.restart_ramp <= s.max_ramp, "ramp: at most 'ramp_most'");
    ordered(s.max_utilization > 0, "ceiling: above 0%");
}

}  // namespace

SiteConfig parse_site_config(const std::string& text, const std::string& file) {
    toml::table parsed = parse_toml(text, file);
    TomlReader reader(file);
    SiteConfig c;
    {
        TomlReader::Table root(reader, parsed, "the file");
        if (!root.get("sites")) reader.wrong(parsed.source(), "[sites] is missing");
        reader.one(root, "sites", [&](TomlReader::Table& t) { read_sites(reader, t, c.settings); });
        reader.one(root, "plan", [&](TomlReader::Table& t) { positive(t, "cores", c.cores); });
        reader.each(root, "demand", [&](TomlReader::Table& t) {
            SiteDemand d;
            d.request_class = t.name("class");
            if (t.get("group")) {
                std::uint32_t group = 0;
                t.size<std::uint32_t>("group", group, 0, 1'000'000);
                d.group = group;
            }
            positive(t, "per_second", d.per_second);
            d.tenants = weights(reader, t, "tenants");
            if (!d.tenants.empty()) {
                if (d.per_second > 0) reader.wrong(t.raw().source(), "[[demand]]: 'per_second' or 'tenants'");
                for (const auto& [name, rate] : d.tenants) d.per_second += rate;
            }
            t.duration("work", d.work);
            if (d.per_second <= 0 || d.work.count() <= 0)
                reader.wrong(t.raw().source(), "[[demand]] needs 'per_second' and 'work'");
            c.demand.push_back(std::move(d));
        });
    }
    reader.finish();
    return c;
}

SiteConfig read_site_config(const std::string& path) {
    return parse_site_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
