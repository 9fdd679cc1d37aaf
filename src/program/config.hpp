// The configuration of the process: the platform's JSON file with its environment variables, and the
// operator's files beside it. Where its parts are read:
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

// The protocol that database hosts are spoken to in.
enum class Wire { pg, rest };

// The REST front's file.
struct RestConfig {
    bool enabled = false;
    transport::SocketAddress listen;
    std::uint32_t page_size = 50;  // items, where the request names no number
    std::uint32_t page_size_most = 500;
    std::size_t connections = 256;                   // of clients
    std::optional<transport::SocketAddress> syslog;  // a collector on this machine
};

struct Config {
    std::string name = "indigovane";
    transport::SocketAddress listen;
    transport::SocketAddress discovery;
    std::optional<transport::SocketAddress> control;  // for operators alone; none: that front is off
    std::uint64_t seed = 0;
    std::size_t memory_mb = 192;
    std::size_t sockets = 1024;      // descriptors
    routing::EndpointListing known;  // the endpoint list until the discovery service has sent its own
    policy::Settings settings;
    std::vector<std::string> zones;
    adapters::Classes classes;
    routing::Duration connect_timeout = std::chrono::milliseconds(250);
    routing::Duration idle_limit = std::chrono::seconds(30);
    routing::Duration longest_deadline{};  // of all classes
    Wire members = Wire::pg;               // how database hosts are spoken to
    RestConfig rest;
    std::optional<StoreConfig> store;           // none: nothing outlasts the process
    std::optional<StatementConfig> statements;  // none: the package is off
    // Other poolers, where the platform permits datagrams between them and names them.
    bool peers_permitted = false;
    std::vector<transport::SocketAddress> peers;
    std::optional<transport::SocketAddress> peer_listen;
    std::optional<PeerConfig> peering;  // none: no gossip is sent or received
    std::optional<SiteConfig> sites;    // none: sites are not watched
    // The keys that the file holds, by path, with the type of each: a file read again must hold them all.
    std::map<std::string, char> key_types;
    // The text of all that only a start applies; a reload warns where it differs.
    std::string restart_only;
};

// The platform's file; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONTROL fill in what it leaves out. Throws
// ConfigError.
Config read_platform_config(const std::string& path);
Config parse_platform_config(const std::string& text);
// Throws ConfigError where `fresh` lacks a key that `old` holds: half a file, or one of another kind.
void check_complete(const Config& fresh, const Config& old);

// The REST front's file, read into `config`. Throws ConfigError.
void read_rest_config(const std::string& path, Config& config);
void parse_rest_config(const std::string& text, Config& config);

// Each of these checks an operator's file, which was read from `path`, against the platform's configuration
// and adds it to that. Throws ConfigError.
//
// Statements: what the file says of classes; its bounds on staleness are combined with those of the settings
// (the tighter counts).
void set_statements(StatementConfig statements, const std::string& path, Config& config);
// Peers: the platform must permit and name them.
void set_peers(PeerConfig peering, const std::string& path, Config& config);
// Sites: the classes that it names must exist.
void set_sites(SiteConfig sites, const std::string& path, Config& config);

}  // namespace indigovane::program
