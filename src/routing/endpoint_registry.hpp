// The endpoints that the endpoint list names or recently named, each with its pool of connections. Endpoint
// lists are applied here, combined with EndpointOverlays. A delisted endpoint is forgotten after
// CoreLimits::delisted_retention.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "routing/core_limits.hpp"
#include "routing/endpoint_overlays.hpp"
#include "routing/pool.hpp"
#include "site/site_manager.hpp"

namespace indigovane::routing {

struct Endpoint {
    std::unique_ptr<Pool> pool;
    EndpointInfo info;             // as listed
    bool accepts_requests = true;  // false: the endpoint drains or is delisted
    // When the list stopped naming the endpoint, or named it as gone.
    std::optional<Time> delisted_at;
    std::uint32_t attempts = 0;               // attempts of pending requests that refer to this endpoint
    std::uint32_t health_checks = 0;          // the number of health checks sent so far
    std::optional<BackendTask> health_check;  // the health check in flight
};

class EndpointRegistry {
  public:
    using PoolFactory = std::function<std::unique_ptr<Pool>(EndpointId)>;

    EndpointRegistry(const Clock& clock, PoolFactory make_pool)
        : clock_(clock), make_pool_(std::move(make_pool)) {}

    // Apply an endpoint list, or a new set of uids that operators exclude. Both return the changes for the
    // routing policy.
    policy::EndpointList apply(policy::EndpointListKind kind, const std::vector<EndpointInfo>& infos);
    policy::EndpointList set_operator_exclusions(const std::set<std::string>& uids);
    // Exclude an endpoint because its site is lost, or readmit it. Both return the endpoint's entry for the
    // routing policy, or nullopt if the endpoint is not listed.
    std::optional<policy::EndpointEntry> exclude_by_site(EndpointId id);
    std::optional<policy::EndpointEntry> readmit_by_site(EndpointId id, std::optional<Time> started);

    // nullptr: the endpoint is unknown or forgotten.
    Endpoint* find(EndpointId id) {
        auto found = endpoints_.find(id);
        return found == endpoints_.end() ? nullptr : &found->second;
    }
    std::optional<EndpointId> find_uid(const std::string& uid) const;
    // The endpoint's uid, or an empty string if the endpoint is unknown.
    std::string uid(EndpointId id) const;
    bool is_listed(EndpointId id) const;
    std::vector<EndpointInfo> listed() const;
    std::vector<site::Host> site_hosts() const;
    std::size_t size() const { return endpoints_.size(); }
    EndpointOverlays& overlays() { return overlays_; }
    const EndpointOverlays& overlays() const { return overlays_; }

    // Closes connections that have been idle for too long, and forgets endpoints that were delisted long ago.
    void sweep(Time now, const CoreLimits& limits);
    // Closes the connection that has been idle longest, over all endpoints. False: no connection is idle.
    bool close_oldest_idle();
    void serve_waiting();
    void set_connect_timeout(Duration timeout);

  private:
    policy::EndpointEntry effective_entry(EndpointId id, Endpoint& endpoint);
    std::pair<EndpointId, Endpoint*> find_or_add(const std::string& uid);
    void delist(Endpoint& endpoint);

    const Clock& clock_;
    PoolFactory make_pool_;
    EndpointOverlays overlays_;
    std::map<std::string, EndpointId> ids_;  // by uid
    std::map<EndpointId, Endpoint> endpoints_;
    std::uint32_t next_id_ = 0;  // ids are never reused
};

}  // namespace indigovane::routing
