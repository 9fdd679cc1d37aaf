// The platform's configuration file, section by section.
#include <cstdlib>
#include <set>

#include "program/config.hpp"
#include "program/json_config.hpp"
#include "program/platform_keys.hpp"
#include "simulator/codec.hpp"
#include "simulator/frame.hpp"

namespace indigovane::program {

using nlohmann::json;
using policy::Consistency;
namespace keys = platform_keys;

namespace {

constexpr std::size_t kMinSockets = 64;
constexpr auto kDefaultDeadline = std::chrono::seconds(1);  // of a class whose settings name none

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

std::uint64_t read_seed(const json& value) {
    if (value.is_number_unsigned()) return value.get<std::uint64_t>();
    if (!value.is_string()) return 0;
    return adapters::session_number(value.get<std::string>());
}

void read_identity(const json& root, Config& config) {
    config.name = root.value(keys::kName, variable(keys::kNameVariable));
    config.listen = parse_address(root.value(keys::kListen, variable(keys::kListenVariable)), keys::kListen);
    config.discovery =
        parse_address(root.value(keys::kDiscovery, variable(keys::kDiscoveryVariable)), keys::kDiscovery);
    std::string control = root.value(keys::kControl, variable(keys::kControlVariable));
    if (!control.empty()) config.control = parse_address(control, keys::kControl);
    if (root.contains(keys::kSeed)) config.seed = read_seed(root[keys::kSeed]);
}

// Peers are a list of addresses, or an object of them by name. What has another form names nobody: only an
// operator's file switches the links on, and reports it then.
void read_peer_addresses(const json& root, Config& config) {
    auto address = [](const json& value) {
        return value.is_string() ? transport::parse_socket_address(value.get<std::string>()) : std::nullopt;
    };
    if (auto listen = root.find(keys::kPeerListen); listen != root.end())
        config.peer_listen = address(*listen);
    auto peers = root.find(keys::kPeers);
    if (peers == root.end() || !peers->is_structured()) return;
    for (const json& peer : *peers)
        if (auto at = address(peer); at && at != config.peer_listen) config.peers.push_back(*at);
}

void read_limits(const json& root, Config& config) {
    if (!root.contains(keys::kLimits)) return;
    const json& limits = root[keys::kLimits];
    config.memory_mb = std::size_t(limits.value(keys::kMemoryMegabytes, 192.0));
    config.sockets = std::size_t(limits.value(keys::kDescriptors, 1024.0));
}

// Each array of the family's information has one entry a class.
void check_family(const json& settings) {
    if (!settings.contains(keys::kFamily)) return;
    const json& family = settings[keys::kFamily];
    for (const char* key : {keys::kConsistency, keys::kStalenessBoundMs})
        if (family.contains(key) && family[key].size() != settings[keys::kClasses].size())
            throw ConfigError(std::string("settings.familyInfo.") + key + ": one entry a class is wanted");
}

// What the routing policy would understand otherwise than it was meant.
void check_settings(const json& settings) {
    if (settings.contains(keys::kPermissions) && settings[keys::kPermissions].contains(keys::kAttempts))
        positive_number(settings[keys::kPermissions], keys::kAttempts, "settings.allowed");
    if (!settings.contains(keys::kClasses)) return;
    std::set<std::string> names;
    for (const json& request_class : settings[keys::kClasses]) {
        std::string name = request_class.value(keys::kClassName, std::string());
        if (name.empty() || !names.insert(name).second)
            throw ConfigError("settings.classes: each class has a name of its own");
        for (const char* key : {keys::kDeadlineMs, keys::kLatencyObjectiveMs})
            if (request_class.contains(key)) positive_number(request_class, key, "settings.classes." + name);
    }
    check_family(settings);
}

void read_milliseconds(const json& section, const char* key, routing::Duration& out) {
    if (!section.contains(key) || !section[key].is_number()) return;
    double milliseconds = section[key].get<double>();
    if (milliseconds > 0) out = routing::Duration(std::int64_t(milliseconds * 1000));
}

void read_permissions(const json& settings, Config& config) {
    if (!settings.contains(keys::kPermissions)) return;
    const json& permissions = settings[keys::kPermissions];
    config.peers_permitted = permissions.value(keys::kGossipPermitted, false);
    read_milliseconds(permissions, keys::kConnectTimeoutMs, config.connect_timeout);
    read_milliseconds(permissions, keys::kIdleTimeoutMs, config.idle_limit);
}

// What fronts need of each class.
void read_classes(const json& settings, Config& config) {
    std::vector<adapters::ClassInfo> classes;
    const json list = settings.contains(keys::kClasses) ? settings[keys::kClasses] : json::array();
    for (std::size_t i = 0; i < list.size() && i < config.settings.classes.size(); ++i) {
        const policy::ClassSettings& class_settings = config.settings.classes[i];
        adapters::ClassInfo info;
        info.name = list[i].value(keys::kClassName, std::string());
        info.id = routing::ClassId(std::uint32_t(i));
        info.deadline = class_settings.deadline.value_or(kDefaultDeadline);
        info.is_write = class_settings.consistency.value_or(Consistency::write) == Consistency::write;
        info.has_session_consistency = class_settings.consistency == Consistency::session;
        info.needs_idempotency_key = class_settings.idempotency == policy::Idempotency::idempotency_key;
        config.longest_deadline = std::max(config.longest_deadline, info.deadline);
        classes.push_back(info);
    }
    config.classes = adapters::Classes(std::move(classes));
}

void read_settings(const json& root, Config& config) {
    const json settings = root.value(keys::kSettings, json::object());
    check_settings(settings);
    std::string flat = "SETTINGS" + flatten_settings(settings);
    config.settings = simulator::read_settings(simulator::Line(flat));  // a line keeps views into its text
    if (settings.contains(keys::kZones))
        for (const json& zone : settings[keys::kZones]) config.zones.push_back(zone.get<std::string>());
    read_permissions(settings, config);
    read_classes(settings, config);
}

// For later reloads: the keys that a complete file has, and the text that only a start applies.
void retain_for_reload(json root, Config& config) {
    for (const char* key : {keys::kKnownEndpoints, keys::kSeed}) root.erase(key);
    config.key_types = key_types(root);
    for (const char* key : {keys::kDiscovery, keys::kSettings}) root.erase(key);
    config.restart_only = root.dump(-1, ' ', true, json::error_handler_t::replace);
}

void read_sections(const json& root, Config& config) {
    read_identity(root, config);
    read_peer_addresses(root, config);
    read_limits(root, config);
    read_settings(root, config);
    if (root.contains(keys::kKnownEndpoints))
        config.known = routing::read_endpoint_listing(root[keys::kKnownEndpoints], config.zones);
    retain_for_reload(root, config);
}

}  // namespace

Config parse_platform_config(const std::string& text) {
    json root = parse_json_object(text);
    Config config;
    try {
        read_sections(root, config);
    } catch (const ConfigError&) {
        throw;
    } catch (const std::exception& error) {  // a value of the wrong type
        throw ConfigError(error.what());
    }
    if (config.sockets < kMinSockets) throw ConfigError("limits.sockets: at least 64 are needed");
    return config;
}

Config read_platform_config(const std::string& path) {
    try {
        return parse_platform_config(read_json_file(path));
    } catch (const ConfigError& error) {
        throw error.in_file(path);
    }
}

void check_complete(const Config& fresh, const Config& old) {
    for (const auto& [path, type] : old.key_types) {
        auto it = fresh.key_types.find(path);
        if (it == fresh.key_types.end()) throw ConfigError("the key '" + path.substr(1) + "' is missing");
        if (it->second != type) throw ConfigError("the key '" + path.substr(1) + "' is of another type");
    }
}

}  // namespace indigovane::program
