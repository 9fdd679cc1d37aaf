// What is known of an endpoint's replication: its log position, how old that knowledge is, and its role.
//
// Positions come with answers, health checks and load reports, and never go back. The newest claim of a
// role counts: a primary's position is the time of its report, which orders the reports of several
// endpoints.
//
// Source: docs/design.md; the paper's bounded staleness. Settings read: none.
#pragma once

#include <optional>

#include "policy/types.hpp"

namespace indigovane::policy {

struct ReplicationState {
    std::optional<Time> position;  ///< the newest position reported
    Time reported_at{};            ///< when a position was last reported, new or not
    std::optional<Time> primary_as_of;
    std::optional<Time> replica_as_of;

    void record_position(Time reported, Time now);
    /// Ignored where the endpoint was seen as a replica since.
    void record_primary(Time as_of);
    void record_replica(Time as_of);

    /// Where it is if it still lags as last reported; before all others if nothing was.
    Time estimated_position(Time now) const { return position ? *position + (now - reported_at) : Time{}; }
    /// Fresh reports put it further behind than their own age could explain.
    bool is_surely_behind(Duration bound, Time now) const;
    /// Just reported to lag so far that it won't reach `needed` in the time that an endpoint waits for the
    /// log.
    bool will_miss(Time needed, Time now) const;
};

/// Departure from the design, for endpoints that check reads' positions themselves: the lag last reported is
/// taken to last, and a bounded read (`bound` above zero) tries the endpoint again once it may have caught
/// up. Else the endpoint that was reported on last would get all reads, and a new one none. `started`: its
/// latest start.
bool is_expected_to_have(const ReplicationState& state, std::optional<Time> started, Time needed,
                         Duration bound, Time now);

}  // namespace indigovane::policy
