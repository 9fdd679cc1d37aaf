// Divides the descriptors and the memory that the configuration grants among clients, connections to database
// hosts, and requests in flight.
#pragma once

#include "adapters/control_front.hpp"
#include "program/config.hpp"
#include "routing/core.hpp"

namespace indigovane::program {

// The limits of the control front. Its descriptors are reserved.
inline constexpr adapters::ControlLimits kControlLimits;

struct ResourceBudget {
    // Limits of the core, such as connections to hosts and bytes of requests in flight.
    routing::CoreLimits core;
    // Client connections of the PostgreSQL front.
    std::size_t pg_clients = 0;
    // Client connections of the REST front; 0 if the front is off.
    std::size_t rest_clients = 0;
    // How many of `pg_clients` may stay open after a request of theirs has been served.
    std::size_t served_clients = 0;
    // Bytes of incomplete requests and unread answers, for each front.
    std::size_t unread_bytes = 0;
    // Bytes of the answers that hosts are sending.
    std::size_t answer_bytes = 0;
    // Bytes of long statements in transit.
    std::size_t long_statement_bytes = 0;
};

// Throws ConfigError if there are too few descriptors for the fronts that are on.
ResourceBudget make_resource_budget(const Config& config);

}  // namespace indigovane::program
