// What the program is told: the platform's file and variables, and the files of its own.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "adapters/classes.hpp"
#include "policy/routing_policy.hpp"
#include "program/peer_config.hpp"
#include "program/site_config.hpp"
#include "program/statement_rules.hpp"
#include "program/store_config.hpp"
#include "routing/core.hpp"
#include "routing/discovery_client.hpp"
#include "transport/connection.hpp"

namespace indigovane::program {

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

enum class Wire { pg, rest };

// The REST front's file.
struct RestConfig {
    bool enabled = false;
    transport::SocketAddress listen;
    std::uint32_t page_size = 50, page_size_most = 500;
    std::size_t connections = 256;
    std::optional<transport::SocketAddress> syslog;  // a collector on this machine
};

struct Config {
    std::string name = "indigovane";
    transport::SocketAddress listen, discovery;
    std::optional<transport::SocketAddress> control;  // for operators alone; none: that front is off
    std::uint64_t seed = 0;
    std::size_t memory_mb = 192, sockets = 1024;
    routing::EndpointListing known;
    policy::Settings settings;
    std::vector<std::string> zones;
    adapters::Classes classes;
    routing::Duration connect_timeout = std::chrono::milliseconds(250), idle_limit = std::chrono::seconds(30),
                      longest_deadline{};
    Wire members = Wire::pg;  // how members are spoken to
    RestConfig rest;
    std::optional<StoreConfig> store;           // none: nothing outlasts the process
    std::optional<StatementConfig> statements;  // none: the package is off
    // Other poolers, where the platform permits datagrams between them and names them.
    bool peers_permitted = false;
    std::vector<transport::SocketAddress> peers;
    std::optional<transport::SocketAddress> peer_listen;
    std::optional<PeerConfig> peering;  // none: nothing is told and nothing heard
    std::optional<SiteConfig> sites;    // none: sites are not watched
    // The keys that the file holds, by path, with the type of each: a file read again must hold them all.
    std::map<std::string, char> shape;
    std::string fixed;  // the text of all that only a start takes in, to tell whether it has changed
};

// Reads $LB_CONFIG's file; LB_NAME, LB_LISTEN and LB_DISCOVERY fill in what it leaves out.
Config read_platform_config(const std::string& path);
Config parse_platform_config(const std::string& text);
// Throws ConfigError where `fresh` lacks a key that `old` holds: half a file, or one of another kind.
void check_complete(const Config& fresh, const Config& old);
// The operator's file of statements, with what it says of classes checked against the settings and its bounds
// laid over theirs (the tighter counts). Throws StatementConfigError.
void read_statements(const std::string& path, Config& config);
void take_statements(StatementConfig statements, const std::string& path, Config& config);
// Throws FileError, or ConfigError where the platform's file permits or names no peers.
void take_peers(PeerConfig peering, const std::string& path, Config& config);
// Throws FileError, or ConfigError where it names a class that the platform's file has not.
void take_sites(SiteConfig sites, const std::string& path, Config& config);
void read_rest_config(const std::string& path, Config& config);
void parse_rest_config(const std::string& text, Config& config);

}  // namespace indigovane::program
