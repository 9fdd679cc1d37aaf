// The endpoint table: the endpoints and replica groups of the endpoint list, and what is known of each.
//
// Endpoints and groups are forgotten a minute after they left the list, unless a request refers to them, so
// that a fleet that is replaced all the time costs no memory. One that comes back later is new. Pointers to
// endpoints and groups stay valid until then.
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

struct Endpoint {
    EndpointId id{};
    GroupId group{};
    ZoneId zone{};
    bool is_listed = false;    ///< the list allows new work
    bool is_draining = false;  ///< the list has named it as draining since it was last ready
    std::optional<Time> unlisted_since;
    std::optional<Time> started;  ///< its latest start

    ReplicationState replication;
    RoundTripTime round_trip;
    HealthCheckState health_check;

    int in_flight = 0;  ///< attempts whose response has not started
    ConcurrencyLimit limit;
    Ejection ejection;
    RejectionBackoff rejection_backoff;
};

/// How many reads that need a position a group gets: a count that decays over about a second.
class ReadRate {
  public:
    void record(Time now);
    /// Reads within the last second, about.
    double per_second(Time now) const;

  private:
    double decayed_count_ = 0;
    Time updated_at_{};
};

struct ReplicaGroup {
    std::vector<Endpoint*> endpoints;  ///< in the order in which the list named them
    std::vector<RequestId> queue;
    std::optional<Time> first_used;
    bool is_maintained = false;  ///< until it is idle
    ReadRate position_reads;
    std::optional<EndpointId> logged_primary;

    bool is_forgettable() const { return endpoints.empty() && queue.empty(); }
};

/// The endpoint last known to be primary: the newest of all claims. `nullptr`: none is known.
Endpoint* known_primary(const ReplicaGroup& group);

class EndpointTable {
  public:
    Endpoint* find(EndpointId id) {
        auto it = endpoints_.find(id);
        return it == endpoints_.end() ? nullptr : &it->second;
    }
    ReplicaGroup* find_group(GroupId id);
    /// Every endpoint has one.
    ReplicaGroup& group_of(const Endpoint& endpoint) { return groups_.find(endpoint.group)->second; }
    std::map<GroupId, ReplicaGroup>& groups() { return groups_; }

    /// A list that could be had. `removal_binds`: an endpoint that left it gets no more work.
    void apply(const EndpointList& list, bool removal_binds);

    /// `is_referenced`: by a request. Groups are left to forget_groups.
    void forget_endpoints(Time now, const std::function<bool(const Endpoint&)>& is_referenced);
    void forget_groups();

  private:
    void apply(const EndpointEntry& entry, bool removal_binds);

    std::map<EndpointId, Endpoint> endpoints_;
    std::map<GroupId, ReplicaGroup> groups_;
};

}  // namespace indigovane::policy
