// Operators' files against the platform's configuration.
#include "program/config.hpp"

namespace indigovane::program {

using policy::Consistency;

namespace {

// The class of this name; ConfigError, with `where` as the place in the file, where there is none.
const adapters::ClassInfo& find_class(const Config& config, const std::string& name, const char* where,
                                      const std::string& path) {
    const adapters::ClassInfo* request_class = config.classes.find(name);
    if (!request_class)
        throw ConfigError(path, std::string(where) + ": the settings have no class '" + name + "'");
    return *request_class;
}

// Bounds on staleness of the operator's file: the tighter of both counts.
void apply_bounds(const statement::Rules& rules, const std::string& path, Config& config) {
    for (const statement::ClassRule& rule : rules.classes()) {
        const adapters::ClassInfo& request_class = find_class(config, rule.name, "[[class]]", path);
        if (rule.bound_us == 0) continue;
        policy::ClassSettings& settings = config.settings.classes[std::size_t(request_class.id)];
        if (settings.consistency != Consistency::bounded)
            throw ConfigError(path, "[[class]] " + rule.name + ": a bound is for a class of bounded reads");
        auto bound = policy::Duration(std::int64_t(rule.bound_us));
        settings.staleness_bound = std::min(settings.staleness_bound.value_or(bound), bound);
    }
}

// A default class must exist, and be of writes or of reads as its use demands.
void check_default_class(const Config& config, const std::string& name, const char* where, bool writes,
                         const std::string& path) {
    if (name.empty() || find_class(config, name, where, path).is_write == writes) return;
    throw ConfigError(path, std::string(where) + ": class '" + name +
                                (writes ? "' is none of writes" : "' is one of writes"));
}

// Cached statements are chosen with another seed than routing decisions.
constexpr std::uint64_t kStatementSeedMask = 0x9e3779b97f4a7c15u;

}  // namespace

void set_statements(StatementConfig statements, const std::string& path, Config& config) {
    apply_bounds(statements.rules, path, config);
    check_default_class(config, statements.read_class, "read_class", false, path);
    check_default_class(config, statements.primary_class, "primary_class", true, path);
    check_default_class(config, statements.write_class, "write_class", true, path);
    if (statements.open && config.members == Wire::rest)
        throw ConfigError(path, "open: members that speak REST can't be sent open statements");
    statements.analyzer_options.seed = config.seed ^ kStatementSeedMask;
    statements.limits.retry_after = config.settings.may_send_retry_after.value_or(false);
    if (auto longest = config.settings.max_retry_after)
        statements.limits.max_retry_after =
            std::min<limits::Duration>(statements.limits.max_retry_after, *longest);
    config.statements = std::move(statements);
}

void set_peers(PeerConfig peering, const std::string& path, Config& config) {
    if (!config.peers_permitted)
        throw ConfigError(path, "the platform's settings permit no messages between poolers");
    if (!config.peer_listen || config.peers.empty())
        throw ConfigError(path, "the platform's configuration names no 'peer_listen' or no 'peers'");
    config.peering = std::move(peering);
}

void set_sites(SiteConfig sites, const std::string& path, Config& config) {
    for (const std::string& name : sites.settings.protected_classes)
        if (!config.classes.find(name))
            throw ConfigError(path, "last: the platform's settings have no class '" + name + "'");
    config.sites = std::move(sites);
}

}  // namespace indigovane::program
