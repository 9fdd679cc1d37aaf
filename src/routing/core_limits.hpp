// Limits and timeouts of the core. The deployment can set all of them.
#pragma once

#include <cstddef>

#include "routing/types.hpp"

namespace indigovane::routing {

struct CoreLimits {
    Duration connect_timeout = std::chrono::milliseconds(250);
    Duration probe_timeout = std::chrono::milliseconds(250);  // of a health check
    // Hosts close a connection that has been idle for this long.
    Duration idle_limit = std::chrono::seconds(30);
    std::size_t max_request_bytes = 64 << 20;  // of all pending requests together
    std::size_t max_connections = 256;         // to all hosts together
    // The interval at which idle connections are closed and delisted endpoints forgotten.
    Duration sweep = std::chrono::seconds(1);
    // How long an endpoint is retained after it has been delisted.
    Duration delisted_retention = std::chrono::seconds(60);
};

}  // namespace indigovane::routing
