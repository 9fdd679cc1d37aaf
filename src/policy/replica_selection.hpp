// Replica selection: the endpoint that a request is sent to now.
//
// Writes and fresh reads go to the primary. Others go to a replica, by the read preference's steps: mode
// (replicas), tags (none by default), position, the 15 ms latency window around the nearest, then capacity,
// then chance. When no replica is known to have the position, one that may have it has its health
// checked or, where endpoints check positions themselves, is simply tried; session reads go to the primary
// then.
//
// Departures from the design:
//  * A session read for which no replica that has its position has capacity goes to the primary.
//  * While some replicas are too far behind for bounded reads, they serve the any reads: else long reads
//    hold up the log on one replica after another, until none is left for the rest.
//  * Where all replicas are ejected for faults that may be everyone's (a slow network, a shared disk),
//    those that can be reached stay in.
//
// Source: "Reading from MongoDB Replica Sets with PyMongo"; docs/design.md.
// Settings read: Settings::may_check_health, staleness_check, those of slow_start.hpp, and bound of the class.
#pragma once

#include <optional>
#include <vector>

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/request_state.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

struct Selection {
    enum class Decision {
        send,          ///< to the endpoint
        check_health,  ///< check the endpoint's health, to learn its position, and wait
        wait,          ///< nothing now; it may change
        reject         ///< no replica will serve it in time
    };
    Decision decision = Decision::wait;
    Endpoint* endpoint = nullptr;
};

/// The position that the request's data must have reached. `token`: of its session; Time{}: no commit known.
std::optional<Time> required_position(const Request& request, Time token, Time now);

/// Selects for one request, once. Refers to its arguments.
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

    /// Draws for the choice among several.
    Selection select();

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
    Endpoint* primary_;  // last known; nullptr: none
    Time token_;
};

}  // namespace indigovane::policy
