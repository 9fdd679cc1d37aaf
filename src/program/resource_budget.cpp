#include "program/resource_budget.hpp"

#include <algorithm>

#include "adapters/client_listener.hpp"

namespace indigovane::program {

namespace {

constexpr std::size_t kBytesPerMegabyte = 1 << 20;

// Descriptors for standard streams, the event loop, listeners, discovery, and connections just accepted;
// beside them those that linger at each front.
constexpr std::size_t kReservedDescriptors = 24;
// For clients and hosts; with fewer nobody would be served.
constexpr std::size_t kMinUsableDescriptors = 24;

// Fractions of the usable descriptors.
constexpr double kHostShare = 0.3;
// Of all descriptors, for clients that have been served and may send another request. The platform's clients
// occupy a third of them at most: at half of that, those that wait for a connection still get one.
constexpr double kServedShare = 1.0 / 6;

// Fractions of the memory. The rest is for what requests are read from and answered with.
constexpr double kRequestShare = 0.25;
constexpr double kLongStatementShare = 0.4;
constexpr double kUnreadShare = 0.2;

std::size_t memory_share(const Config& config, double share) {
    return std::size_t(double(config.memory_mb) * share * double(kBytesPerMegabyte));
}

std::size_t reserved_descriptors(const Config& config) {
    std::size_t fronts = config.rest.enabled ? 2 : 1;
    std::size_t control = config.control ? kControlLimits.sockets() : 0;
    return kReservedDescriptors + adapters::ClientListener::kLingering * fronts + control;
}

}  // namespace

ResourceBudget make_resource_budget(const Config& config) {
    std::size_t reserved = reserved_descriptors(config);
    if (config.sockets < reserved + kMinUsableDescriptors)
        throw ConfigError("limits.sockets: at least " + std::to_string(reserved + kMinUsableDescriptors) +
                          " are needed with the fronts that are on");
    std::size_t usable = config.sockets - reserved;

    ResourceBudget budget;
    budget.core.connect_timeout = config.connect_timeout;
    budget.core.probe_timeout = config.connect_timeout;
    budget.core.idle_limit = config.idle_limit;
    budget.core.max_connections = std::size_t(double(usable) * kHostShare);
    budget.core.max_request_bytes = memory_share(config, kRequestShare);

    std::size_t for_clients = usable - budget.core.max_connections;
    if (config.rest.enabled) budget.rest_clients = std::min(config.rest.connections, for_clients / 2);
    budget.pg_clients = for_clients - budget.rest_clients;
    budget.served_clients = std::size_t(double(config.sockets) * kServedShare);

    std::size_t fronts = budget.rest_clients > 0 ? 2 : 1;
    budget.unread_bytes = memory_share(config, kUnreadShare) / fronts;
    budget.long_statement_bytes = memory_share(config, kLongStatementShare);
    return budget;
}

}  // namespace indigovane::program
