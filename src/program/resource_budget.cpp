#include "program/resource_budget.hpp"

#include <algorithm>

#include "adapters/client_listener.hpp"

namespace indigovane::program {

namespace {

constexpr std::size_t kBytesPerMegabyte = 1 << 20;

// Descriptors for standard streams, the event loop, listeners, discovery, and connections just accepted.
// Those for connections that linger at each front are counted separately.
constexpr std::size_t kReservedDescriptors = 24;
// The fewest descriptors for clients and hosts with which clients can be served.
constexpr std::size_t kMinUsableDescriptors = 24;

// The fraction of the usable descriptors that is for connections to hosts.
constexpr double kHostShare = 0.3;
// The fraction of all descriptors that is for clients that have been served and may send another request. The
// platform's clients occupy at most a third of all descriptors: with half of that, clients that wait for a
// connection still get one.
constexpr double kServedShare = 1.0 / 6;

// Fractions of the memory. The remaining memory is for the buffers that requests are read into and answered
// from.
constexpr double kRequestShare = 0.25;
constexpr double kLongStatementShare = 0.4;
constexpr double kUnreadShare = 0.2;
constexpr double kAnswerShare = 0.1;

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
                          " descriptors are needed for the fronts that are on");
    std::size_t usable = config.sockets - reserved;

    ResourceBudget budget;
    budget.core.connect_timeout = config.connect_timeout;
    budget.core.probe_timeout = config.connect_timeout;
    budget.core.idle_limit = config.idle_limit;
    budget.core.max_connections = std::size_t(double(usable) * kHostShare);
    budget.core.max_request_bytes = memory_share(config, kRequestShare);

    std::size_t client_descriptors = usable - budget.core.max_connections;
    if (config.rest.enabled)
        budget.rest_clients = std::min(config.rest.max_connections, client_descriptors / 2);
    budget.pg_clients = client_descriptors - budget.rest_clients;
    budget.served_clients = std::size_t(double(config.sockets) * kServedShare);

    std::size_t fronts = budget.rest_clients > 0 ? 2 : 1;
    budget.unread_bytes = memory_share(config, kUnreadShare) / fronts;
    budget.answer_bytes = memory_share(config, kAnswerShare);
    budget.long_statement_bytes = memory_share(config, kLongStatementShare);
    return budget;
}

}  // namespace indigovane::program
