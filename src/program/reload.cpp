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

// For each new class the one of the same name that it continues.
std::vector<std::optional<ClassId>> continued_classes(const adapters::Classes& before,
                                                      const adapters::Classes& after) {
    std::vector<std::optional<ClassId>> continued;
    for (const adapters::ClassInfo& request_class : after.all()) {
        const adapters::ClassInfo* same = before.find(request_class.name);
        continued.push_back(same ? std::optional(same->id) : std::nullopt);
    }
    return continued;
}

// The class numbers of queued requests change with the settings.
void apply_routing_settings(Services& services, const Config& fresh) {
    auto continued = continued_classes(services.config.classes, fresh.classes);
    if (services.limited_admission) services.limited_admission->renumber(continued);
    services.core->retune(fresh.settings, std::move(continued), fresh.connect_timeout, fresh.idle_limit);
}

// Rules hold from the next statement on, limits from the next admission on; what is queued or in flight goes
// on.
void apply_statements(Services& services, const Config& fresh) {
    bool limits = fresh.statements && fresh.statements->limits.enabled;
    if (bool(fresh.statements) != bool(services.statements) || limits != bool(services.limited_admission))
        warn(services, "statements and limits are switched on and off at a start only");
    if (!fresh.statements) return;
    if (services.statements) {
        if (fresh.statements->open && services.config.members == Wire::rest) return;
        services.statements->set(fresh.statements->rules, statement_options(*fresh.statements));
    }
    services.config.statements = fresh.statements;
    services.apply_shared_limits();
}

void apply_sites(Services& services, const Config& fresh) {
    if (bool(fresh.sites) != bool(services.config.sites))
        warn(services, "watching sites is switched on and off at a start only");
    else if (fresh.sites)
        services.core->watch_sites(fresh.sites->settings, site_classes(fresh), services.config.seed);
    if (fresh.sites && services.config.sites) services.config.sites = fresh.sites;
}

// What later reloads compare with, and what fronts look up.
void retain_settings(Config& config, const Config& fresh) {
    config.settings = fresh.settings;
    config.classes = fresh.classes;
    config.zones = fresh.zones;
    config.connect_timeout = fresh.connect_timeout;
    config.idle_limit = fresh.idle_limit;
    // Requests in flight keep the deadlines that they came with.
    config.longest_deadline = std::max(config.longest_deadline, fresh.longest_deadline);
}

void apply_discovery(Services& services, const Config& fresh) {
    services.discovery_client->set_zones(fresh.zones);
    services.discovery_client->move_to(fresh.discovery);
}

void apply(Services& services, const Config& fresh) {
    apply_routing_settings(services, fresh);
    apply_statements(services, fresh);
    apply_sites(services, fresh);
    retain_settings(services.config, fresh);
    apply_discovery(services, fresh);
}

void log_success(Services& services, const Config& fresh) {
    services.log.log(Level::notice, "reload", "the configuration has been read again",
                     {{"discovery", address_text(fresh.discovery)},
                      {"classes", std::to_string(fresh.classes.all().size())}});
    log_classes(services.config, services.log);
    if (fresh.restart_only != services.config.restart_only)
        warn(services, "other changes than those of discovery and settings take effect at the next start");
}

}  // namespace

void reload(Services& services, const ConfigReader& read_config) {
    try {
        Config fresh = read_config();
        check_complete(fresh, services.config);
        apply(services, fresh);
        log_success(services, fresh);
    } catch (const std::exception& error) {
        services.log.log(Level::error, "reload", error.what(), {{"kept", "the old configuration"}});
        return;
    }
    if (services.phases.is(Phase::serving) && !services.discovery_client->has_complete_list())
        services.phases.enter(Phase::reloading);
}

}  // namespace indigovane::program
