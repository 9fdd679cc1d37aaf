// Reload (SIGHUP): the configuration is read again, checked, and applied to the running process.
//
// Applied from the next batch of the loop on:
//   `settings` (classes, deadlines, zones, timeouts), the address of the discovery service, the rules of
//   statements, the limits by cost and the settings of sites
// Applied at the next start:
//   everything else, and whether statements, limits and the watch on sites are on
// Never applied:
//   `known`, the endpoint list: it is older than the process's own list and could bring back an endpoint that
//   is gone
#pragma once

#include <functional>

#include "program/services.hpp"

namespace indigovane::program {

// Reads the configuration files. Throws ConfigError.
using ConfigReader = std::function<Config()>;

// Applies the new configuration completely or not at all: if it can't be read, or lacks a key that the old
// one has, the old one remains in force. Logs the outcome (message id "reload"). Reloads also work while the
// process stops, because hosts still drain then.
void reload(Services& services, const ConfigReader& read_config);

}  // namespace indigovane::program
