#include "program/site_config.hpp"

#include "program/toml_reader.hpp"

namespace indigovane::program {

using limits::Duration;

namespace {

constexpr unsigned kMaxHosts = 1000;  // for settings that count hosts or probes
constexpr std::uint32_t kMaxGroup = 1'000'000;
constexpr double kMaxNumber = 1e9;

// Maps a key of the file to its setting.
template <typename T>
struct Key {
    const char* name;
    T site::Settings::*setting;
};

constexpr Key<Duration> kDurations[] = {
    {"quiet", &site::Settings::unresponsive_after},
    {"fresh", &site::Settings::evidence_window},
    {"stall", &site::Settings::process_pause_threshold},
    {"lapse", &site::Settings::unconfirmed_loss_timeout},
    {"hold", &site::Settings::min_exclusion},
    {"hold_most", &site::Settings::max_exclusion},
    {"flap_memory", &site::Settings::relapse_window},
    {"ramp", &site::Settings::restart_ramp},
    {"ramp_most", &site::Settings::max_ramp},
    {"ramp_unsure", &site::Settings::default_ramp},
    {"ramp_warm", &site::Settings::warm_ramp},
    {"probe_every", &site::Settings::probe_interval},
    {"starve", &site::Settings::starvation_interval},
    {"retry_after", &site::Settings::retry_after},
};
constexpr Key<double> kPercentages[] = {
    {"doubt", &site::Settings::degraded_share},  {"witness", &site::Settings::lost_share},
    {"trickle", &site::Settings::initial_share}, {"ceiling", &site::Settings::max_utilization},
    {"floor", &site::Settings::min_class_share},
};
constexpr Key<bool> kSwitches[] = {
    {"hold_out", &site::Settings::exclude},
    {"rescue", &site::Settings::abandon_unresponsive},
    {"ramp_probes", &site::Settings::probe_before_readmission},
    {"shed", &site::Settings::shed_by_plan},
    {"budget", &site::Settings::limit_retries},
    {"pace", &site::Settings::pace_recovery},
    {"doubt_self", &site::Settings::detect_own_faults},
    {"by_tenant", &site::Settings::tenant_fairness},
    {"by_age", &site::Settings::shed_late_first},
};
constexpr Key<double> kNumbers[] = {
    {"probes_per_host", &site::Settings::probes_per_host_per_second},
    {"repeat_income", &site::Settings::retry_budget_ratio},
    {"repeat_most", &site::Settings::max_retry_budget},
};

void read_percentage_of(TomlReader::Table& table, const char* key, double& out) {
    table.read_with_unit<double>(key, out, R"(a share like "80%", up to 100%)", [](std::string_view text) {
        auto fraction = read_percentage(text);
        return fraction && *fraction >= 0 && *fraction <= 1 ? fraction : std::nullopt;
    });
}

// Reads a number above 0, written as an integer or a decimal.
void read_positive(TomlReader::Table& table, const char* key, double& out) {
    constexpr const char* kWanted = "a number above 0";
    const toml::node* node = table.find(key);
    if (!node) return;
    if (!node->is_integer())
        return table.read_value<double>(key, out, kWanted,
                                        [](double number) { return number > 0 && number < kMaxNumber; });
    std::int64_t integer = 0;
    table.read_value<std::int64_t>(key, integer, kWanted, [](std::int64_t number) { return number > 0; });
    if (integer > 0) out = double(integer);
}

// Reads a table whose keys are names and whose values are numbers above 0.
std::map<std::string, double> read_weights(TomlReader& reader, TomlReader::Table& table, const char* key) {
    std::map<std::string, double> weights;
    reader.read_table(table, key, [&](TomlReader::Table& names) {
        for (const auto& [name_key, node] : names.raw()) {
            std::string name(name_key.str());
            double weight = 0;
            read_positive(names, name.c_str(), weight);
            if (weight > 0) weights[name] = weight;
        }
    });
    return weights;
}

// Rejects settings that contradict each other: with them a site's health state would flap.
void check_order(TomlReader& reader, TomlReader::Table& table, const site::Settings& settings) {
    auto require = [&](bool holds, const char* what) {
        if (!holds) reader.report_error(table.raw().source(), what);
    };
    require(settings.unresponsive_after < settings.evidence_window, "quiet: must be shorter than 'fresh'");
    require(settings.min_exclusion <= settings.max_exclusion, "hold: must not be longer than 'hold_most'");
    require(settings.restart_ramp <= settings.max_ramp, "ramp: must not be longer than 'ramp_most'");
    require(settings.max_utilization > 0, "ceiling: must be above 0%");
}

void read_sites(TomlReader& reader, TomlReader::Table& table, site::Settings& settings) {
    settings.enabled = true;
    for (const auto& key : kDurations) table.read_duration(key.name, settings.*key.setting);
    for (const auto& key : kPercentages) read_percentage_of(table, key.name, settings.*key.setting);
    for (const auto& key : kSwitches) table.read_bool(key.name, settings.*key.setting);
    table.read_whole_number<unsigned>("least", settings.min_unresponsive_hosts, 1, kMaxHosts);
    table.read_whole_number<unsigned>("back", settings.min_recovered_hosts, 1, kMaxHosts);
    table.read_whole_number<unsigned>("confirm", settings.confirmation_probes, 0, kMaxHosts);
    for (const auto& key : kNumbers) read_positive(table, key.name, settings.*key.setting);
    settings.protected_classes = table.read_names("last");
    settings.tenant_shares = read_weights(reader, table, "shares");
    check_order(reader, table, settings);
}

// Reads either the rate of all tenants together or the rates by tenant.
void read_rate(TomlReader& reader, TomlReader::Table& table, SiteDemand& demand) {
    read_positive(table, "per_second", demand.per_second);
    demand.tenants = read_weights(reader, table, "tenants");
    if (demand.tenants.empty()) return;
    if (demand.per_second > 0)
        reader.report_error(table.raw().source(),
                            "[[demand]]: only one of 'per_second' and 'tenants' is allowed");
    for (const auto& [name, rate] : demand.tenants) demand.per_second += rate;
}

SiteDemand read_demand(TomlReader& reader, TomlReader::Table& table) {
    SiteDemand demand;
    demand.request_class = table.read_required_name("class");
    if (table.find("group")) {
        std::uint32_t group = 0;
        table.read_whole_number<std::uint32_t>("group", group, 0, kMaxGroup);
        demand.group = group;
    }
    read_rate(reader, table, demand);
    table.read_duration("work", demand.work);
    if (demand.per_second <= 0 || demand.work.count() <= 0)
        reader.report_error(table.raw().source(), "[[demand]] needs 'per_second' and 'work'");
    return demand;
}

}  // namespace

SiteConfig parse_site_config(const std::string& text, const std::string& file) {
    toml::table parsed = parse_toml(text, file);
    TomlReader reader(file);
    SiteConfig config;
    {
        TomlReader::Table root(reader, parsed, "the file");
        if (!root.find("sites")) reader.report_error(parsed.source(), "[sites] is missing");
        reader.read_table(root, "sites",
                          [&](TomlReader::Table& table) { read_sites(reader, table, config.settings); });
        reader.read_table(root, "plan",
                          [&](TomlReader::Table& table) { read_positive(table, "cores", config.cores); });
        reader.read_tables(root, "demand", [&](TomlReader::Table& table) {
            config.demand.push_back(read_demand(reader, table));
        });
    }
    reader.finish();
    return config;
}

SiteConfig read_site_config(const std::string& path) {
    return parse_site_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
