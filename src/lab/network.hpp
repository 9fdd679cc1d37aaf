// The model of the network between poolers and hosts: which messages pass, and which connections are open.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "lab/host.hpp"

namespace indigovane::lab {

class HostConnection;

class Network {
  public:
    explicit Network(unsigned zones) : zones_(std::max(1U, zones)) {}

    // Poolers are spread over the zones in turn.
    std::uint32_t zone_of(std::uint32_t pooler) const { return pooler % zones_; }
    // Whether messages from the pooler reach the host, and from the host the pooler.
    bool request_passes(std::uint32_t pooler, const Host& host) const;
    bool response_passes(std::uint32_t pooler, const Host& host) const;

    void disconnect_pooler(std::uint32_t pooler) { disconnected_poolers_.insert(pooler); }
    void reconnect_pooler(std::uint32_t pooler) { disconnected_poolers_.erase(pooler); }
    void partition(std::uint32_t zone) { partitioned_zones_.insert(zone); }
    // Returns false if the zone was not partitioned.
    bool heal_partition(std::uint32_t zone) { return partitioned_zones_.erase(zone) > 0; }
    // Responses from the zone's hosts to other zones are lost, while requests still reach them.
    void make_one_way(std::uint32_t zone) { one_way_zones_.insert(zone); }
    void make_two_way(std::uint32_t zone) { one_way_zones_.erase(zone); }

    std::uint64_t next_connection() { return ++last_connection_; }
    void add(const Host& host, HostConnection& connection);
    void remove(const Host& host, const HostConnection& connection);
    // Ends the host's connections from the host's side, in the order in which they were opened.
    void break_connections(const Host& host);

  private:
    unsigned zones_;
    std::set<std::uint32_t> disconnected_poolers_, partitioned_zones_, one_way_zones_;
    // Open connections by host number and connection number.
    std::map<std::uint32_t, std::map<std::uint64_t, HostConnection*>> connections_;
    std::uint64_t last_connection_ = 0;
};

}  // namespace indigovane::lab
