#include "policy/replica_selection.hpp"

#include <algorithm>
#include <functional>

#include "policy/endpoint_capacity.hpp"
#include "policy/health_check_schedule.hpp"
#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;

/// Endpoints whose round trip is at most this much longer than the nearest endpoint's share
/// the reads with it.
constexpr Duration kLatencyWindow = milliseconds(15);
/// Longest time after a group's first use for which reads wait for its first health checks.
constexpr Duration kMaxFirstUseWait = milliseconds(300);
/// A read waits for an on-demand check for at most this many usual round trips; then it has another
/// replica checked.
constexpr double kMaxCheckRoundTrips = 3;
/// Lower limit of the time for which a read waits for an on-demand check.
constexpr Duration kMinCheckWait = milliseconds(5);
/// On-demand checks for one session read; after them it goes to the primary.
constexpr int kMaxSessionReadChecks = 2;
/// An endpoint that checks staleness may learn of a commit this much later than the session.
constexpr Duration kCommitPropagationTime = milliseconds(200);

}  // namespace

std::optional<Time> required_position(const Request& request, Time token, Time now) {
    const RequestClass& request_class = *request.request_class;
    if (request_class.consistency == Consistency::bounded) return now - request_class.staleness_bound;
    if (request_class.consistency == Consistency::session && token > Time{}) return token;
    return std::nullopt;
}

Selection ReplicaSelector::select() {
    return request_.request_class->needs_primary() ? select_primary() : select_replica();
}

/// An endpoint that checks staleness rejects a read for which its data is too old. Where none does, the data
/// has to be known to be recent enough.
bool ReplicaSelector::still_qualifies(const Endpoint& endpoint, std::optional<Time> needed) const {
    if (&endpoint == primary_) return true;
    if (request_.request_class->needs_primary()) return false;
    if (!needed || endpoint.replication.position >= *needed) return true;
    return endpoints_check_staleness(context_.settings) && !needs_proven_position();
}

bool ReplicaSelector::has_alternative() const {
    bool may_use_primary = request_.request_class->needs_primary() || has_consistency(Consistency::session);
    if (may_use_primary && primary_ && admits(*primary_)) return true;
    if (request_.request_class->needs_primary()) return false;
    std::optional<Time> needed = required_position(request_, token_, context_.now);
    return std::ranges::any_of(candidate_replicas(), [&](const Endpoint* endpoint) {
        return !needed || may_have_position(*endpoint, *needed);
    });
}

/// For writes, fresh reads, and session reads that no replica can serve. They wait while no
/// primary is usable.
Selection ReplicaSelector::select_primary() const {
    if (!primary_ || !admits(*primary_) || !has_capacity(*primary_, 1)) return {Selection::Decision::wait};
    return {Selection::Decision::send, primary_};
}

Selection ReplicaSelector::select_replica() {
    std::vector<Endpoint*> candidates = candidate_replicas();
    std::optional<Time> needed = required_position(request_, token_, context_.now);
    std::vector<Endpoint*> eligible;
    for (Endpoint* endpoint : candidates)
        if (!needed || may_have_position(*endpoint, *needed)) eligible.push_back(endpoint);
    return eligible.empty() ? select_without_eligible(candidates)
                            : select_among_eligible(std::move(eligible));
}

std::vector<Endpoint*> ReplicaSelector::candidate_replicas() const {
    std::vector<Endpoint*> healthy;
    std::vector<Endpoint*> fallback;
    for (Endpoint* endpoint : group_.endpoints) {
        if (endpoint == primary_ || request_.was_sent_to(*endpoint)) continue;
        if (admits(*endpoint))
            healthy.push_back(endpoint);
        else if (endpoint->is_listed && endpoint->ejection.fault() != Fault::unreachable)
            fallback.push_back(endpoint);
    }
    if (healthy.empty()) return fallback;
    return healthy;
}

Selection ReplicaSelector::select_among_eligible(std::vector<Endpoint*> eligible) {
    Duration nearest = eligible.front()->round_trip.average();
    for (const Endpoint* endpoint : eligible) nearest = std::min(nearest, endpoint->round_trip.average());
    std::erase_if(eligible, [&](const Endpoint* endpoint) {
        return endpoint->round_trip.average() > nearest + kLatencyWindow;
    });
    std::erase_if(eligible, [&, candidates = eligible.size()](const Endpoint* endpoint) {
        return !has_capacity(*endpoint, candidates);
    });
    if (eligible.empty())
        return has_consistency(Consistency::session) ? select_primary()
                                                     : Selection{Selection::Decision::wait};
    if (has_consistency(Consistency::any)) keep_lagging_if_any(eligible);
    return {Selection::Decision::send, eligible[context_.random() % eligible.size()]};
}

void ReplicaSelector::keep_lagging_if_any(std::vector<Endpoint*>& eligible) const {
    auto is_behind = [&](const Endpoint* endpoint) {
        return endpoint->replication.is_surely_behind(strictest_bound(context_.health_check_interval),
                                                      context_.now);
    };
    if (std::ranges::any_of(eligible, is_behind)) std::erase_if(eligible, std::not_fn(is_behind));
}

/// Called when no replica is known to have the required position.
Selection ReplicaSelector::select_without_eligible(const std::vector<Endpoint*>& candidates) {
    bool is_bounded_read = has_consistency(Consistency::bounded);
    bool endpoints_check_positions = endpoints_check_staleness(context_.settings);
    // Replicas that may have the position although their last report does not show it.
    std::vector<Endpoint*> uncertain;
    for (Endpoint* endpoint : candidates) {
        const ReplicationState& replication = endpoint->replication;
        bool lags = replication.is_surely_behind(request_.request_class->staleness_bound, context_.now) ||
                    (endpoints_check_positions && replication.position);
        if (!is_bounded_read || !lags) uncertain.push_back(endpoint);
    }
    bool is_awaiting_first_checks = context_.now < *group_.first_used + kMaxFirstUseWait;
    bool may_change = group_.endpoints.empty() || !uncertain.empty();
    std::erase_if(uncertain, [&](const Endpoint* endpoint) { return !has_capacity(*endpoint, 1); });
    if (endpoints_check_positions) {
        if (request_.attempts().empty() && !needs_proven_position())
            if (Endpoint* endpoint = least_behind(std::move(uncertain)))
                return {Selection::Decision::send, endpoint};
    } else if (auto check = select_on_demand_check(std::move(uncertain))) {
        return *check;
    }
    if (has_consistency(Consistency::session)) return select_primary();
    return {is_awaiting_first_checks || (may_change && is_bounded_read) ? Selection::Decision::wait
                                                                        : Selection::Decision::reject};
}

/// The replica with the newest estimated position, among those that can still reach the token while they wait
/// for the log. Among equals, a random one.
Endpoint* ReplicaSelector::least_behind(std::vector<Endpoint*> uncertain) {
    std::shuffle(uncertain.begin(), uncertain.end(), context_.random);
    Time now = context_.now;
    Endpoint* best = nullptr;
    for (Endpoint* endpoint : uncertain) {
        const ReplicationState& replication = endpoint->replication;
        if (replication.will_miss(token_, now)) continue;
        if (!best || replication.estimated_position(now) > best->replication.estimated_position(now))
            best = endpoint;
    }
    return best;
}

std::optional<Selection> ReplicaSelector::select_on_demand_check(std::vector<Endpoint*> uncertain) {
    const OnDemandCheck& check = request_.on_demand_check;
    if (!health_checks_allowed(context_.settings)) return std::nullopt;
    if (!has_consistency(Consistency::bounded) && check.count >= kMaxSessionReadChecks) return std::nullopt;
    if (check.endpoint && check.endpoint->health_check.is_in_flight()) {
        double round_trip_ms = to_milliseconds(check.endpoint->round_trip.average());
        Duration longest_wait =
            std::max(kMinCheckWait, from_milliseconds(round_trip_ms * kMaxCheckRoundTrips));
        if (context_.now < check.sent + longest_wait) return Selection{Selection::Decision::wait};
    }
    std::erase_if(uncertain, [&](const Endpoint* endpoint) {
        return endpoint->health_check.is_in_flight() ||
               context_.now < endpoint->replication.reported_at + context_.health_check_interval;
    });
    if (uncertain.empty()) return std::nullopt;
    return Selection{Selection::Decision::check_health, uncertain[context_.random() % uncertain.size()]};
}

bool ReplicaSelector::admits(const Endpoint& endpoint) const {
    if (!endpoint.is_listed || endpoint.rejection_backoff.is_paused(context_.now)) return false;
    return !endpoint.ejection.is_ejected() ||
           admits_request(endpoint.ejection, request_.request_class->idempotency,
                          health_checks_allowed(context_.settings), context_.now);
}

bool ReplicaSelector::has_capacity(const Endpoint& endpoint, std::size_t candidates) const {
    return policy::has_capacity(endpoint, {group_, primary_, candidates}, request_, context_.settings,
                                context_.now);
}

bool ReplicaSelector::may_have_position(const Endpoint& endpoint, Time needed) const {
    if (endpoint.replication.position >= needed) return true;
    return endpoints_check_staleness(context_.settings) && !needs_proven_position() &&
           is_expected_to_have(endpoint.replication, endpoint.started, needed,
                               request_.request_class->staleness_bound, context_.now);
}

/// An endpoint that checks staleness may not know yet of a commit that was confirmed to the session, and then
/// answers with older data. A read that is not idempotent could not be retried after such an answer: it is
/// sent only to a replica that is known to have the position.
bool ReplicaSelector::needs_proven_position() const {
    return request_.request_class->idempotency == Idempotency::not_idempotent &&
           has_consistency(Consistency::session) && context_.now < token_ + kCommitPropagationTime;
}

}  // namespace indigovane::policy
