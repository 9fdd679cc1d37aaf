// The configuration of the process: the platform's JSON file with its environment variables, and the
// operator's files. Where the parts are read:
//
//   platform's file           program/platform_config.cpp
//   REST front (JSON)         program/rest_config.cpp
//   statements, limits (TOML) program/statement_rules.hpp
//   store (TOML)              program/store_config.hpp
//   links between poolers     program/peer_config.hpp
//   sites (TOML)              program/site_config.hpp
//
// Every error is a ConfigError. Which settings a reload applies: program/reload.hpp.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "adapters/classes.hpp"
#include "policy/routing_policy.hpp"
#include "program/config_error.hpp"
#include "program/peer_config.hpp"
#include "program/site_config.hpp"
#include "program/statement_rules.hpp"
#include "program/store_config.hpp"
#include "routing/core.hpp"
#include "routing/discovery_client.hpp"
#include "transport/connection.hpp"

namespace indigovane::program {

// The protocol of the connections to database hosts.
enum class Wire { pg, rest };

// The settings of the REST front's file.
struct RestConfig {
    bool enabled = false;
    transport::SocketAddress listen;
    std::uint32_t page_size = 50;  // items of a page if the request names no number
    std::uint32_t max_page_size = 500;
    std::size_t max_connections = 256;               // of clients
    std::optional<transport::SocketAddress> syslog;  // a syslog collector on this machine
};

struct Config {
    std::string name = "indigovane";
    transport::SocketAddress listen;
    transport::SocketAddress discovery;
    // The control address for operators; without it the control front is off.
    std::optional<transport::SocketAddress> control;
    std::uint64_t seed = 0;
    std::size_t memory_mb = 192;  // MiB that the process may use
    std::size_t sockets = 1024;   // descriptors that the process may have open
    // The endpoint list used until the discovery service has sent its list.
    routing::EndpointListing known_endpoints;
    policy::Settings settings;
    std::vector<std::string> zones;
    adapters::Classes classes;
    routing::Duration connect_timeout = std::chrono::milliseconds(250);
    routing::Duration idle_limit = std::chrono::seconds(30);
    routing::Duration longest_deadline{};  // the longest of all classes
    Wire host_protocol = Wire::pg;
    RestConfig rest;
    std::optional<StoreConfig> store;           // without it nothing outlasts the process
    std::optional<StatementConfig> statements;  // without it there are no statement rules or limits
    // Whether the platform permits datagrams between poolers.
    bool peers_permitted = false;
    // The addresses of the other poolers, and the address where this pooler receives their datagrams.
    std::vector<transport::SocketAddress> peers;
    std::optional<transport::SocketAddress> peer_listen;
    std::optional<PeerConfig> peering;  // without it no gossip is sent or received
    std::optional<SiteConfig> sites;    // without it sites are not watched
    // The keys of the platform's file by path, with the type of each (see json_config.hpp). At a reload the
    // file must have all of them.
    std::map<std::string, char> key_types;
    // The text of the settings that only a restart applies. A reload warns if it differs.
    std::string restart_only;
};

// Reads the platform's file. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONTROL supply keys that it lacks.
// Throws ConfigError.
Config read_platform_config(const std::string& path);
Config parse_platform_config(const std::string& text);
// Throws ConfigError if `new_config` lacks a key of `old_config` or has another type there. Guards a reload
// against a file that is truncated or of another kind.
void check_complete(const Config& new_config, const Config& old_config);

// Reads the REST front's file into `config`. Throws ConfigError.
void read_rest_config(const std::string& path, Config& config);
void parse_rest_config(const std::string& text, Config& config);

// Each of these functions checks the content of an operator's file, which was read from `path`, against the
// platform's configuration and adds it to `config`. Each throws ConfigError.
//
// Statements: the classes that the file names must exist. Of two staleness bounds of a class, the file's and
// the platform's, the tighter applies.
void set_statements(StatementConfig statements, const std::string& path, Config& config);
// Peers: the platform must permit and name them.
void set_peers(PeerConfig peering, const std::string& path, Config& config);
// Sites: the classes that it names must exist.
void set_sites(SiteConfig sites, const std::string& path, Config& config);

}  // namespace indigovane::program
