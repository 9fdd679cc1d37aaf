#include "program/reload.hpp"

#include "program/settings_log.hpp"
#include "program/site_text.hpp"

namespace indigovane::program {

using routing::ClassId;
using routing::Level;

namespace {

void warn(Services& services, const char* text) {
    services.log.log(Level::warning, "reload", text, {});
}

// For each new class, the id of the old class with the same name.
std::vector<std::optional<ClassId>> continued_classes(const adapters::Classes& before,
                                                      const adapters::Classes& after) {
    std::vector<std::optional<ClassId>> continued_ids;
    for (const adapters::ClassInfo& request_class : after.all()) {
        const adapters::ClassInfo* previous = before.find(request_class.name);
        continued_ids.push_back(previous ? std::optional(previous->id) : std::nullopt);
    }
    return continued_ids;
}

// Queued requests get the new numbers of their classes.
void apply_routing_settings(Services& services, const Config& new_config) {
    auto continued_ids = continued_classes(services.config.classes, new_config.classes);
    if (services.limited_admission) services.limited_admission->renumber(continued_ids);
    services.core->retune(new_config.settings, std::move(continued_ids), new_config.connect_timeout,
                          new_config.idle_limit);
}

// Rules apply from the next statement on, limits from the next admission on. Requests that are queued or in
// flight are not affected.
void apply_statements(Services& services, const Config& new_config) {
    bool limits_enabled = new_config.statements && new_config.statements->limits.enabled;
    if (bool(new_config.statements) != bool(services.statements) ||
        limits_enabled != bool(services.limited_admission))
        warn(services, "statements and limits can be switched on or off only by a restart");
    if (!new_config.statements) return;
    if (services.statements) {
        if (new_config.statements->open && services.config.host_protocol == Wire::rest) return;
        services.statements->set(new_config.statements->rules, statement_options(*new_config.statements));
    }
    services.config.statements = new_config.statements;
    services.apply_shared_limits();
}

void apply_sites(Services& services, const Config& new_config) {
    if (bool(new_config.sites) != bool(services.config.sites))
        warn(services, "the watch on sites can be switched on or off only by a restart");
    else if (new_config.sites)
        services.core->watch_sites(new_config.sites->settings, site_classes(new_config),
                                   services.config.seed);
    if (new_config.sites && services.config.sites) services.config.sites = new_config.sites;
}

// Stores the settings that later reloads compare with and that fronts look up.
void retain_settings(Config& config, const Config& new_config) {
    config.settings = new_config.settings;
    config.classes = new_config.classes;
    config.zones = new_config.zones;
    config.connect_timeout = new_config.connect_timeout;
    config.idle_limit = new_config.idle_limit;
    // Requests in flight keep the deadlines that they arrived with.
    config.longest_deadline = std::max(config.longest_deadline, new_config.longest_deadline);
}

void apply_discovery(Services& services, const Config& new_config) {
    services.discovery_client->set_zones(new_config.zones);
    services.discovery_client->move_to(new_config.discovery);
}

void apply(Services& services, const Config& new_config) {
    apply_routing_settings(services, new_config);
    apply_statements(services, new_config);
    apply_sites(services, new_config);
    retain_settings(services.config, new_config);
    apply_discovery(services, new_config);
}

void log_success(Services& services, const Config& new_config) {
    services.log.log(Level::notice, "reload", "the configuration has been read again",
                     {{"discovery", address_text(new_config.discovery)},
                      {"classes", std::to_string(new_config.classes.all().size())}});
    log_classes(services.config, services.log);
    if (new_config.restart_only != services.config.restart_only)
        warn(services, "changes outside 'discovery' and 'settings' take effect at the next start");
}

}  // namespace

void reload(Services& services, const ConfigReader& read_config) {
    try {
        Config new_config = read_config();
        check_complete(new_config, services.config);
        apply(services, new_config);
        log_success(services, new_config);
    } catch (const std::exception& error) {
        services.log.log(Level::error, "reload", error.what(), {{"kept", "the old configuration"}});
        return;
    }
    if (services.phases.is(Phase::serving) && !services.discovery_client->has_complete_list())
        services.phases.enter(Phase::reloading);
}

}  // namespace indigovane::program
