// Which bytes pass between poolers and hosts, and the connections that are open.
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

    std::uint32_t zone_of(std::uint32_t pooler) const { return pooler % zones_; }
    bool request_passes(std::uint32_t pooler, const Host& host) const;
    bool response_passes(std::uint32_t pooler, const Host& host) const;

    void disconnect_pooler(std::uint32_t pooler) { disconnected_poolers_.insert(pooler); }
    void reconnect_pooler(std::uint32_t pooler) { disconnected_poolers_.erase(pooler); }
    void partition(std::uint32_t zone) { partitioned_.insert(zone); }
    bool heal_partition(std::uint32_t zone) { return partitioned_.erase(zone) > 0; }  // false: there was none
    void make_one_way(std::uint32_t zone) { one_way_.insert(zone); }
    void make_two_way(std::uint32_t zone) { one_way_.erase(zone); }

    std::uint64_t next_connection() { return ++last_connection_; }
    void add(const Host& host, HostConnection& connection);
    void remove(const Host& host, const HostConnection& connection);
    void break_connections(const Host& host);  // by the host's end, in the order of their opening

  private:
    unsigned zones_;
    std::set<std::uint32_t> disconnected_poolers_, partitioned_, one_way_;
    std::map<std::uint32_t, std::map<std::uint64_t, HostConnection*>> connections_;  // by host and number
    std::uint64_t last_connection_ = 0;
};

}  // namespace indigovane::lab
