// The endpoints that the list names or named until a while ago, each with its pool of connections. Lists are
// applied here, with what EndpointOverlays lays over them; who is delisted is forgotten after a while.
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
    EndpointInfo info;                        // as listed
    bool accepts_requests = true;             // false: it drains or is delisted
    std::optional<Time> delisted_at;          // when the list ceased to name it, or named it as gone
    std::uint32_t attempts = 0;               // of pending requests: they refer to it
    std::uint32_t health_checks = 0;          // sent so far
    std::optional<BackendTask> health_check;  // the one in flight
};

class EndpointRegistry {
  public:
    using PoolFactory = std::function<std::unique_ptr<Pool>(EndpointId)>;

    EndpointRegistry(const Clock& clock, PoolFactory make_pool)
        : clock_(clock), make_pool_(std::move(make_pool)) {}

    // Both return what is to be reported to the routing policy.
    policy::EndpointList apply(policy::EndpointListKind kind, const std::vector<EndpointInfo>& infos);
    policy::EndpointList set_operator_exclusions(const std::set<std::string>& uids);
    // Those changes of an endpoint that a lost site brings about. None: it is not listed.
    std::optional<policy::EndpointEntry> exclude_by_site(EndpointId id);
    std::optional<policy::EndpointEntry> readmit_by_site(EndpointId id, std::optional<Time> started);

    // None: it is unknown or forgotten.
    Endpoint* find(EndpointId id) {
        auto found = endpoints_.find(id);
        return found == endpoints_.end() ? nullptr : &found->second;
    }
    std::optional<EndpointId> find_uid(const std::string& uid) const;
    // Empty: it is unknown.
    std::string uid(EndpointId id) const;
    bool is_listed(EndpointId id) const;
    std::vector<EndpointInfo> listed() const;
    std::vector<site::Host> site_hosts() const;
    std::size_t size() const { return endpoints_.size(); }
    EndpointOverlays& overlays() { return overlays_; }
    const EndpointOverlays& overlays() const { return overlays_; }

    // Closes what has been idle for too long and forgets who was delisted long ago.
    void sweep(Time now, const CoreLimits& limits);
    // Closes one idle connection, the one that has been so longest. False: there is none.
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
    std::uint32_t next_id_ = 0;  // ids are never used again
};

}  // namespace indigovane::routing
