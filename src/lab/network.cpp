#include "lab/network.hpp"

#include <utility>

#include "lab/host_connection.hpp"

namespace indigovane::lab {

bool Network::request_passes(std::uint32_t pooler, const Host& host) const {
    if (disconnected_poolers_.count(pooler)) return false;
    std::uint32_t from = zone_of(pooler);
    return from == host.zone || (!partitioned_zones_.count(from) && !partitioned_zones_.count(host.zone));
}

bool Network::response_passes(std::uint32_t pooler, const Host& host) const {
    return request_passes(pooler, host) && (zone_of(pooler) == host.zone || !one_way_zones_.count(host.zone));
}

void Network::add(const Host& host, HostConnection& connection) {
    connections_[host.number].emplace(connection.number(), &connection);
}

void Network::remove(const Host& host, const HostConnection& connection) {
    connections_[host.number].erase(connection.number());
}

void Network::break_connections(const Host& host) {
    auto open = std::exchange(connections_[host.number], {});
    std::vector<std::shared_ptr<HostConnection>> alive;
    alive.reserve(open.size());
    for (auto& [number, connection] : open) alive.push_back(connection->shared_from_this());
    for (auto& connection : alive) connection->on_broken_by_host();
}

}  // namespace indigovane::lab
