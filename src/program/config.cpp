#include "program/config.hpp"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <tuple>

#include "simulator/codec.hpp"
#include "simulator/frame.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::program {

using nlohmann::json;
using policy::Consistency;

namespace {

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw ConfigError("can't read '" + path + "'");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

json parse(const std::string& text) {
    try {
        return json::parse(text);
    } catch (const json::exception& error) {
        throw ConfigError(error.what());
    }
}

transport::SocketAddress address(const std::string& text, const char* what) {
    auto at = transport::parse_socket_address(text);
    if (!at) throw ConfigError(std::string(what) + ": '" + text + "' is no address with a port");
    return *at;
}

// The settings have the form of the simulator's first message, nested: flattened as that message flattens
// them, they are read by the same code, and a pooler can't come to understand them otherwise.
void flatten(const json& value, const std::string& path, std::string& out) {
    if (value.is_object()) {
        for (const auto& [name, item] : value.items())
            flatten(item, path.empty() ? name : path + "." + name, out);
        return;
    }
    auto plain = [](const json& v) {
        std::string text = v.is_string() ? v.get<std::string>() : v.is_null() ? "" : v.dump();
        for (char& c : text)
            if (c == ' ' || c == ',') c = '_';
        return text;
    };
    if (value.is_array()) {
        if (!value.empty() && value[0].is_object()) {
            out += " " + path + ".count=" + std::to_string(value.size());
            for (std::size_t i = 0; i < value.size(); ++i)
                flatten(value[i], path + "." + std::to_string(i), out);
            return;
        }
        std::string joined;
        for (const json& item : value) joined += (joined.empty() ? "" : ",") + plain(item);
        out += " " + path + "=" + joined;
        return;
    }
    if (!value.is_null()) out += " " + path + "=" + plain(value);
}

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

// An array of objects has the keys that all of them have.
std::map<std::string, char> shape_of(const json& value, const std::string& path) {
    std::map<std::string, char> shape;
    char type = value.is_number()   ? 'n'
                : value.is_object() ? 'o'
                : value.is_array()  ? 'a'
                : value.is_string() ? 's'
                                    : 'b';
    if (!path.empty()) shape[path] = type;
    if (value.is_object())
        for (const auto& [name, item] : value.items()) shape.merge(shape_of(item, path + "." + name));
    if (value.is_array() && !value.empty()) {
        auto common = shape_of(value[0], path + "[]");
        for (const json& item : value) {
            auto one = shape_of(item, path + "[]");
            std::erase_if(common, [&](const auto& key) {
                auto it = one.find(key.first);
                return it == one.end() || it->second != key.second;
            });
        }
        shape.merge(common);
    }
    return shape;
}

double positive(const json& object, const char* name, const std::string& where) {
    const json& value = object.at(name);
    if (!value.is_number() || value.get<double>() <= 0)
        throw ConfigError(where + "." + name + ": a positive number is wanted");
    return value.get<double>();
}

// What the module would take for something else than was meant.
void check_settings(const json& settings) {
    if (settings.contains("allowed") && settings["allowed"].contains("tryLimit"))
        positive(settings["allowed"], "tryLimit", "settings.allowed");
    if (!settings.contains("classes")) return;
    std::set<std::string> names;
    for (const json& c : settings["classes"]) {
        std::string name = c.value("name", std::string()), where = "settings.classes." + name;
        if (name.empty() || !names.insert(name).second)
            throw ConfigError("settings.classes: each class has a name of its own");
        for (const char* key : {"hardLimitMs", "sloMs"})
            if (c.contains(key)) positive(c, key, where);
    }
    if (!settings.contains("familyInfo")) return;
    for (const char* key : {"consistency", "oldestDataMs"})
        if (const json& family = settings["familyInfo"];
            family.contains(key) && family[key].size() != settings["classes"].size())
            throw ConfigError(std::string("settings.familyInfo.") + key + ": one entry a class is wanted");
}

// A list of addresses, or an object of them by name. What has another form names nobody: only an operator's
// file switches the links on, and says so then.
void read_peer_addresses(const json& root, Config& c) {
    auto take = [](const json& value) {
        return value.is_string() ? transport::parse_socket_address(value.get<std::string>()) : std::nullopt;
    };
    if (auto listen = root.find("peer_listen"); listen != root.end()) c.peer_listen = take(*listen);
    auto peers = root.find("peers");
    if (peers == root.end() || !peers->is_structured()) return;
    for (const json& peer : *peers)
        if (auto at = take(peer); at && at != c.peer_listen) c.peers.push_back(*at);
}

std::uint64_t read_seed(const json& value) {
    if (value.is_number_unsigned()) return value.get<std::uint64_t>();
    if (!value.is_string()) return 0;
    return adapters::session_number(value.get<std::string>());
}

}  // namespace

Config parse_platform_config(const std::string& text) {
    json root = parse(text);
    if (!root.is_object()) throw ConfigError("the configuration is no JSON object");
    Config c;
    try {
        c.name = root.value("name", variable("LB_NAME"));
        c.listen = address(root.value("listen", variable("LB_LISTEN")), "listen");
        c.discovery = address(root.value("discovery", variable("LB_DISCOVERY")), "discovery");
        if (std::string at = root.value("control", variable("LB_CONTROL")); !at.empty())
            c.control = address(at, "control");
        if (root.contains("seed")) c.seed = read_seed(root["seed"]);
        read_peer_addresses(root, c);
        if (root.contains("limits")) {
            c.memory_mb = std::size_t(root["limits"].value("memory_mb", 192.0));
            c.sockets = std::size_t(root["limits"].value("sockets", 1024.0));
        }
        const json settings = root.value("settings", json::object());
        check_settings(settings);
        std::string flat = "SETTINGS";
        flatten(settings, "", flat);
        simulator::Line line(flat);
        c.settings = simulator::read_settings(line);
        if (settings.contains("azs"))
            for (const json& zone : settings["azs"]) c.zones.push_back(zone.get<std::string>());
        if (settings.contains("allowed")) {
            const json& allowed = settings["allowed"];
            auto duration = [&](const char* name, routing::Duration& out) {
                if (allowed.contains(name) && allowed[name].is_number() && allowed[name].get<double>() > 0)
                    out = routing::Duration(std::int64_t(allowed[name].get<double>() * 1000));
            };
            c.peers_permitted = allowed.value("peerMessages", false);
            duration("connectTimeoutMs", c.connect_timeout);
            duration("idleCloseMs", c.idle_limit);
        }
        std::vector<adapters::ClassInfo> classes;
        if (settings.contains("classes")) {
            const json& list = settings["classes"];
            for (std::size_t i = 0; i < list.size() && i < c.settings.classes.size(); ++i) {
                const auto& k = c.settings.classes[i];
                adapters::ClassInfo info;
                info.name = list[i].value("name", std::string());
                info.id = routing::ClassId(std::uint32_t(i));
                info.deadline = k.deadline.value_or(std::chrono::seconds(1));
                info.write = k.consistency.value_or(Consistency::write) == Consistency::write;
                info.session = k.consistency == Consistency::session;
                info.keyed = k.idempotency == policy::Idempotency::idempotency_key;
                c.longest_deadline = std::max(c.longest_deadline, info.deadline);
                classes.push_back(info);
            }
        }
        c.classes = adapters::Classes(std::move(classes));
        if (root.contains("known")) c.known = routing::read_endpoint_listing(root["known"], c.zones);
        for (const char* fleeting : {"known", "seed"}) root.erase(fleeting);
        c.shape = shape_of(root, "");
        for (const char* moving : {"discovery", "settings"}) root.erase(moving);
        c.fixed = root.dump(-1, ' ', true, json::error_handler_t::replace);
    } catch (const ConfigError&) {
        throw;
    } catch (const std::exception& error) {
        throw ConfigError(error.what());
    }
    if (c.sockets < 64) throw ConfigError("limits.sockets: at least 64 are needed");
    return c;
}

void check_complete(const Config& fresh, const Config& old) {
    for (const auto& [path, type] : old.shape) {
        auto it = fresh.shape.find(path);
        if (it == fresh.shape.end()) throw ConfigError("the key '" + path.substr(1) + "' is missing");
        if (it->second != type) throw ConfigError("the key '" + path.substr(1) + "' is of another type");
    }
}

Config read_platform_config(const std::string& path) {
    try {
        return parse_platform_config(read_file(path));
    } catch (const ConfigError& error) {
        throw ConfigError(path + ": " + error.what());
    }
}

void parse_rest_config(const std::string& text, Config& config) {
    json root = parse(text);
    if (!root.is_object()) throw ConfigError("the configuration is no JSON object");
    try {
        RestConfig& r = config.rest;
        r.enabled = root.value("enabled", false);
        r.listen = address(root.value("listen", std::string("127.0.0.1:8080")), "listen");
        r.page_size = root.value("page_size", r.page_size);
        r.page_size_most = root.value("page_size_most", r.page_size_most);
        r.connections = root.value("connections", r.connections);
        if (r.page_size == 0 || r.page_size > r.page_size_most || r.page_size_most > 10000)
            throw ConfigError("page_size: between 1 and page_size_most, which is 10000 at most");
        std::string members = root.value("members", std::string("pg"));
        if (members != "pg" && members != "rest") throw ConfigError("members: 'pg' or 'rest'");
        config.members = members == "rest" ? Wire::rest : Wire::pg;
        if (root.contains("syslog") && !root["syslog"].is_null()) {
            auto at = address(root["syslog"].get<std::string>(), "syslog");
            if (!at.address().is_loopback()) throw ConfigError("syslog: a loopback address is wanted");
            r.syslog = at;
        }
    } catch (const ConfigError&) {
        throw;
    } catch (const std::exception& error) {
        throw ConfigError(error.what());
    }
}

void take_statements(StatementConfig s, const std::string& path, Config& config) {
    auto wrong = [&](const std::string& what) { throw StatementConfigError(path + ": " + what); };
    auto find = [&](const std::string& name, const char* where) {
        const adapters::ClassInfo* request_class = config.classes.find(name);
        if (!request_class) wrong(std::string(where) + ": the settings have no class '" + name + "'");
        return request_class;
    };
    for (const statement::ClassRule& rule : s.rules.classes()) {
        const adapters::ClassInfo* request_class = find(rule.name, "[[class]]");
        if (rule.bound_us == 0) continue;
        auto& bound = config.settings.classes[std::size_t(request_class->id)].bound;
        auto wanted = policy::Duration(std::int64_t(rule.bound_us));
        if (config.settings.classes[std::size_t(request_class->id)].consistency != Consistency::bounded)
            wrong("[[class]] " + rule.name + ": a bound is for a class of bounded reads");
        bound = std::min(bound.value_or(wanted), wanted);
    }
    for (auto [name, where, writes] : {std::tuple{&s.read_class, "read_class", false},
                                       {&s.primary_class, "primary_class", true},
                                       {&s.write_class, "write_class", true}})
        if (!name->empty() && find(*name, where)->write != writes)
            wrong(std::string(where) + ": class '" + *name +
                  (writes ? "' is none of writes" : "' is one of writes"));
    if (s.open && config.members == Wire::rest)
        wrong("open: members that speak REST can't be sent open statements");
    s.judge.seed = config.seed ^ 0x9e3779b97f4a7c15u;
    s.limits.retry_after = config.settings.retry_after.value_or(false);
    if (auto longest = config.settings.max_retry_after)
        s.limits.max_retry_after = std::min<limits::Duration>(s.limits.max_retry_after, *longest);
    config.statements = std::move(s);
}

void take_peers(PeerConfig peering, const std::string& path, Config& config) {
    if (!config.peers_permitted)
        throw ConfigError(path + ": the platform's settings permit no messages between poolers");
    if (!config.peer_listen || config.peers.empty())
        throw ConfigError(path + ": the platform's configuration names no 'peer_listen' or no 'peers'");
    config.peering = std::move(peering);
}

void take_sites(SiteConfig sites, const std::string& path, Config& config) {
    for (const std::string& name : sites.settings.protected_classes)
        if (!config.classes.find(name))
            throw ConfigError(path + ": last: the platform's settings have no class '" + name + "'");
    config.sites = std::move(sites);
}

void read_statements(const std::string& path, Config& config) {
    take_statements(read_statement_config(path), path, config);
}

void read_rest_config(const std::string& path, Config& config) {
    try {
        parse_rest_config(read_file(path), config);
    } catch (const ConfigError& error) {
        throw ConfigError(path + ": " + error.what());
    }
}

}  // namespace indigovane::program
