// How the descriptors and the memory that the configuration grants are divided among clients, connections to
// database hosts, and what is in flight.
#pragma once

#include "adapters/control_front.hpp"
#include "program/config.hpp"
#include "routing/core.hpp"

namespace indigovane::program {

// Of the control address, whose descriptors are set aside.
inline constexpr adapters::ControlLimits kControlLimits;

struct ResourceBudget {
    routing::CoreLimits core;              // connections to hosts and bytes of requests in flight, as well
    std::size_t pg_clients = 0;            // connections
    std::size_t rest_clients = 0;          // likewise; 0: that front is off
    std::size_t served_clients = 0;        // of pg_clients: kept open after having been served
    std::size_t unread_bytes = 0;          // of each front: incomplete requests and unread answers
    std::size_t long_statement_bytes = 0;  // of long statements in transit
};

// Throws ConfigError where the descriptors don't suffice for the fronts that are on.
ResourceBudget make_resource_budget(const Config& config);

}  // namespace indigovane::program
