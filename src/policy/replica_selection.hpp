// Replica selection: which endpoint a request is sent to now.
//
// Writes and fresh reads go to the primary. Other reads go to a replica, chosen by the steps of a read
// preference: mode (replicas), tags (none by default), position, the 15 ms latency window above the nearest
// replica, capacity, and then a random draw. If no replica is known to have the required position, the health
// of one that may have it is checked; where endpoints check positions themselves, the read is sent to one
// without a check. If that fails too, a session read goes to the primary.
//
// Departures from the design:
//  * A session read goes to the primary if no replica that has its position has capacity.
//  * While some replicas are too far behind for bounded reads, all any reads go to them. Otherwise long reads
//    would delay the replay of the log on one replica after another, until none was left for bounded reads.
//  * If each replica is ejected or paused after a rejection, those that are not unreachable are used all the
//    same: the cause may be common to all (a slow network, a shared disk).
//
// Source: "Reading from MongoDB Replica Sets with PyMongo"; docs/design.md.
// Settings read: Settings::may_check_health, staleness_check, those of slow_start.hpp, and the class's
// staleness bound.
#pragma once

#include <optional>
#include <vector>

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/request_state.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// What to do with a queued request now.
struct Selection {
    enum class Decision {
        send,          ///< send it to the endpoint
        check_health,  ///< check the endpoint's health to learn its position, and keep the request queued
        wait,          ///< keep the request queued: an endpoint may become available
        reject         ///< reject it: no replica will be able to serve it in time
    };
    Decision decision = Decision::wait;
    Endpoint* endpoint = nullptr;  ///< for `send` and `check_health`
};

/// The position that the data must have reached for this request; absent: any. `token` is the commit that the
/// request's session must see; Time{}: none is known.
std::optional<Time> required_position(const Request& request, Time token, Time now);

/// Selects an endpoint for one request. Used once; its arguments must outlive it.
class ReplicaSelector {
  public:
    struct Context {
        const Settings& settings;
        Duration health_check_interval;
        Time now;
        Random& random;
    };

    ReplicaSelector(const Context& context, const ReplicaGroup& group, const Request& request, Time token)
        : context_(context),
          group_(group),
          request_(request),
          primary_(known_primary(group)),
          token_(token) {}

    /// Draws random numbers when it chooses among several endpoints.
    Selection select();
    /// Whether an attempt that was decided on earlier may be sent to the endpoint now. `needed`: the position
    /// that its data must have reached; absent: any.
    bool still_qualifies(const Endpoint& endpoint, std::optional<Time> needed) const;
    /// Whether an endpoint that the request was not sent to, or the primary, could serve it now. Load is not
    /// considered.
    bool has_alternative() const;

  private:
    Selection select_primary() const;
    Selection select_replica();
    Selection select_among_eligible(std::vector<Endpoint*> eligible);
    Selection select_without_eligible(const std::vector<Endpoint*>& candidates);
    Endpoint* least_behind(std::vector<Endpoint*> uncertain);
    std::optional<Selection> select_on_demand_check(std::vector<Endpoint*> uncertain);

    std::vector<Endpoint*> candidate_replicas() const;
    bool admits(const Endpoint& endpoint) const;
    bool has_capacity(const Endpoint& endpoint, std::size_t candidates) const;
    bool may_have_position(const Endpoint& endpoint, Time needed) const;
    bool needs_proven_position() const;
    void keep_lagging_if_any(std::vector<Endpoint*>& eligible) const;
    bool has_consistency(Consistency consistency) const {
        return request_.request_class->consistency == consistency;
    }

    Context context_;
    const ReplicaGroup& group_;
    const Request& request_;
    Endpoint* primary_;  // the last known primary; nullptr: none
    Time token_;
};

}  // namespace indigovane::policy
