// The operator's TOML file of the links between poolers. The poolers' addresses are in the platform's
// configuration.
#pragma once

#include <string>

#include "limits/types.hpp"
#include "program/config_error.hpp"

namespace indigovane::program {

struct PeerConfig {
    // Messages of other clusters are ignored.
    std::string cluster;
    // Each message is sent a second time after this delay.
    limits::Duration resend_delay = std::chrono::milliseconds(250);
    // Changes within this time are sent in one message.
    limits::Duration gather_window = std::chrono::milliseconds(20);
};

// Throws ConfigError.
PeerConfig parse_peer_config(const std::string& text, const std::string& file);
PeerConfig read_peer_config(const std::string& path);

}  // namespace indigovane::program
