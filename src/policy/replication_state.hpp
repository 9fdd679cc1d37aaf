// What is known about an endpoint's replication: its log position, the age of that knowledge, and its role.
//
// Positions arrive with answers, health checks and load reports. A lower position never replaces a higher
// one. The newest claim of a role is valid. A primary's position is the time of its report, by which the
// reports of several endpoints are ordered.
//
// Source: docs/design.md; the paper's bounded staleness. Settings read: none.
#pragma once

#include <optional>

#include "policy/types.hpp"

namespace indigovane::policy {

/// The replication state of one endpoint. Times and positions are on the caller's clock.
struct ReplicationState {
    std::optional<Time> position;       ///< the highest position reported; absent: none
    Time reported_at{};                 ///< when a position was last reported, higher or not
    std::optional<Time> primary_as_of;  ///< newest claim to be primary; absent: none, or refuted
    std::optional<Time> replica_as_of;  ///< newest observation as a replica

    void record_position(Time reported, Time now);
    /// Ignored if the endpoint was observed as a replica at that time or later.
    void record_primary(Time as_of);
    void record_replica(Time as_of);

    /// Its position now, if its lag is still the one last reported. Time{} if no position was reported.
    Time estimated_position(Time now) const { return position ? *position + (now - reported_at) : Time{}; }
    /// Whether its lag certainly exceeds `bound`: a recent report shows more lag than `bound` and the age
    /// that a report may have together.
    bool is_surely_behind(Duration bound, Time now) const;
    /// Whether a recent report shows so much lag that it will not reach `needed` in the time for which an
    /// endpoint waits for the log before a read.
    bool will_miss(Time needed, Time now) const;
};

/// Whether the endpoint is expected to have reached `needed`; for endpoints that check the positions of reads
/// themselves. This departs from the design: the lag last reported is assumed to persist, and a bounded read
/// (`bound` above zero) tries the endpoint again once it may have caught up. Otherwise the endpoint with the
/// latest report would get all reads, and a new one none. `started`: its latest start.
bool is_expected_to_have(const ReplicationState& state, std::optional<Time> started, Time needed,
                         Duration bound, Time now);

}  // namespace indigovane::policy
