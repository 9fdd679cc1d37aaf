// Limits and timeouts of the core, all settable by the deployment.
#pragma once

#include <cstddef>

#include "routing/types.hpp"

namespace indigovane::routing {

struct CoreLimits {
    Duration connect_timeout = std::chrono::milliseconds(250);
    Duration probe_timeout = std::chrono::milliseconds(250);
    Duration idle_limit = std::chrono::seconds(30);  // hosts close a connection that was idle for so long
    std::size_t max_request_bytes = 64 << 20;        // of all pending requests
    std::size_t max_connections = 256;               // connections to all hosts
    Duration sweep = std::chrono::seconds(1);        // between two looks at idle connections and endpoints
    Duration delisted_retention =
        std::chrono::seconds(60);  // an endpoint is retained so long once it is delisted
};

}  // namespace indigovane::routing
