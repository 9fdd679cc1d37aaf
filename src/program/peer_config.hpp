// The operator's file of the links between poolers: TOML. The addresses come from the platform's
// configuration.
#pragma once

#include <string>

#include "limits/types.hpp"
#include "program/config_error.hpp"

namespace indigovane::program {

struct PeerConfig {
    std::string cluster;                                      // messages of another one are ignored
    limits::Duration again = std::chrono::milliseconds(250);  // each message is sent a second time after this
    limits::Duration gather = std::chrono::milliseconds(20);  // what happens within it goes into one message
};

// Throws ConfigError.
PeerConfig parse_peer_config(const std::string& text, const std::string& file);
PeerConfig read_peer_config(const std::string& path);

}  // namespace indigovane::program
