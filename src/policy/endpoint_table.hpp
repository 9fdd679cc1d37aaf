// The endpoint table: the endpoints and replica groups of the endpoint list, and what is known about each.
//
// Endpoints and groups are removed a minute after they left the list, unless a request refers to them, so
// that memory does not grow while a fleet's hosts are replaced again and again. An endpoint that returns
// after that is treated as new. Pointers to endpoints and groups stay valid until their removal.
//
// Source: docs/design.md, "What is forgotten". Settings read: Settings::removal_binds.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "policy/concurrency_limit.hpp"
#include "policy/events.hpp"
#include "policy/health_check_state.hpp"
#include "policy/outlier_ejection.hpp"
#include "policy/rejection_backoff.hpp"
#include "policy/replication_state.hpp"
#include "policy/round_trip_time.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// One endpoint and all that is known about it.
struct Endpoint {
    EndpointId id{};
    GroupId group{};
    ZoneId zone{};
    bool is_listed = false;              ///< the list allows new requests
    bool is_draining = false;            ///< the list has named it as draining since it was last ready
    std::optional<Time> unlisted_since;  ///< absent while it is listed
    std::optional<Time> started;         ///< its latest start; absent if not known

    ReplicationState replication;
    RoundTripTime round_trip;
    HealthCheckState health_check;

    int in_flight = 0;  ///< attempts whose response has not started
    ConcurrencyLimit limit;
    Ejection ejection;
    RejectionBackoff rejection_backoff;
};

/// The rate of a group's reads that require a position: a count that decays exponentially over one second.
class ReadRate {
  public:
    void record(Time now);
    /// Approximate number of reads within the last second.
    double per_second(Time now) const;

  private:
    double decayed_count_ = 0;
    Time updated_at_{};
};

/// One replication group, with the requests that are queued for it.
struct ReplicaGroup {
    std::vector<Endpoint*> endpoints;  ///< in the order in which the list named them
    std::vector<RequestId> queue;
    std::optional<Time> first_used;
    bool is_maintained = false;  ///< in use, and maintained until it is idle
    ReadRate position_reads;
    std::optional<EndpointId> logged_primary;  ///< the primary that the log last named

    bool is_forgettable() const { return endpoints.empty() && queue.empty(); }
};

/// The endpoint with the newest claim to be primary. `nullptr`: there is no claim.
Endpoint* known_primary(const ReplicaGroup& group);

class EndpointTable {
  public:
    Endpoint* find(EndpointId id) {
        auto it = endpoints_.find(id);
        return it == endpoints_.end() ? nullptr : &it->second;
    }
    ReplicaGroup* find_group(GroupId id);
    /// Each endpoint in the table has a group.
    ReplicaGroup& group_of(const Endpoint& endpoint) { return groups_.find(endpoint.group)->second; }
    std::map<GroupId, ReplicaGroup>& groups() { return groups_; }

    /// Applies a list that is not `failed`. `removal_binds`: an endpoint that left the list
    /// gets no more requests.
    void apply(const EndpointList& list, bool removal_binds);

    /// Removes endpoints that left the list a minute ago. `is_referenced`: whether a request refers to one.
    /// Groups stay until forget_groups.
    void forget_endpoints(Time now, const std::function<bool(const Endpoint&)>& is_referenced);
    /// Removes the groups without endpoints and queued requests.
    void forget_groups();

  private:
    void apply(const EndpointEntry& entry, bool removal_binds);

    std::map<EndpointId, Endpoint> endpoints_;
    std::map<GroupId, ReplicaGroup> groups_;
};

}  // namespace indigovane::policy
