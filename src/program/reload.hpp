// Reload (SIGHUP): the configuration is read again, checked, and applied to the running process.
//
// At once, from the next batch of the loop on: `settings` (classes, deadlines, zones, timeouts), the address
// of the discovery service, the rules of statements and the limits by cost, the settings of sites.
// At the next start: everything else, and whether statements, limits and the watch on sites are on at all.
// Never: `known`, the endpoint list; it is older than what the process has, and could bring back an endpoint
// that is gone.
#pragma once

#include <functional>

#include "program/services.hpp"

namespace indigovane::program {

using ConfigReader = std::function<Config()>;  // throws ConfigError

// All or nothing: where the new configuration can't be read, or is incomplete against the old one, the old
// one remains in force. The outcome is logged (message id "reload"). Also while stopping: hosts still drain
// then.
void reload(Services& services, const ConfigReader& read_config);

}  // namespace indigovane::program
