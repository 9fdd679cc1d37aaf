#include "policy/replica_selection.hpp"

#include <algorithm>
#include <functional>

#include "policy/endpoint_capacity.hpp"
#include "policy/health_check_schedule.hpp"
#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;

/// Endpoints so much farther than the nearest share its reads.
constexpr Duration kLatencyWindow = milliseconds(15);
/// Longest wait for a fresh pooler's first health checks.
constexpr Duration kFirstUseWait = milliseconds(300);
/// An on-demand check that takes so many round trips longer is passed over...
constexpr double kCheckRoundTrips = 3;
/// ...or this, if that is longer.
constexpr Duration kLeastCheckWait = milliseconds(5);
/// On-demand checks for a session read before it goes to the primary.
constexpr int kSessionReadChecks = 2;
/// An endpoint that checks staleness hears of a commit this late.
constexpr Duration kCommitUnheard = milliseconds(200);

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

/// Writes, fresh reads, and session reads that no replica can serve. Without a usable primary they wait.
Selection ReplicaSelector::select_primary() const {
    if (!primary_ || !admits(*primary_) || !has_capacity(*primary_, 1)) return {Selection::Kind::wait};
    return {Selection::Kind::send, primary_};
}

Selection ReplicaSelector::select_replica() {
    std::vector<Endpoint*> candidates = candidate_replicas();
    std::optional<Time> needed = required_position(request_, token_, context_.now);
    std::vector<Endpoint*> fit;
    for (Endpoint* endpoint : candidates)
        if (!needed || may_have_position(*endpoint, *needed)) fit.push_back(endpoint);
    return fit.empty() ? select_without_fit(candidates) : select_among_fit(std::move(fit));
}

std::vector<Endpoint*> ReplicaSelector::candidate_replicas() const {
    std::vector<Endpoint*> healthy;
    std::vector<Endpoint*> doubtful;
    for (Endpoint* endpoint : group_.endpoints) {
        if (endpoint == primary_ || request_.was_sent_to(*endpoint)) continue;
        if (admits(*endpoint))
            healthy.push_back(endpoint);
        else if (endpoint->listed && endpoint->ejection.fault() != Fault::unreachable)
            doubtful.push_back(endpoint);
    }
    if (healthy.empty()) return doubtful;
    return healthy;
}

Selection ReplicaSelector::select_among_fit(std::vector<Endpoint*> fit) {
    Duration nearest = fit.front()->round_trip.average();
    for (const Endpoint* endpoint : fit) nearest = std::min(nearest, endpoint->round_trip.average());
    std::erase_if(fit, [&](const Endpoint* endpoint) {
        return endpoint->round_trip.average() > nearest + kLatencyWindow;
    });
    std::erase_if(fit, [&, candidates = fit.size()](const Endpoint* endpoint) {
        return !has_capacity(*endpoint, candidates);
    });
    if (fit.empty()) return is(Consistency::session) ? select_primary() : Selection{Selection::Kind::wait};
    if (is(Consistency::any)) prefer_lagging(fit);
    return {Selection::Kind::send, fit[context_.random() % fit.size()]};
}

void ReplicaSelector::prefer_lagging(std::vector<Endpoint*>& fit) const {
    auto is_behind = [&](const Endpoint* endpoint) {
        return endpoint->replication.surely_behind(strictest_bound(context_.health_check_interval),
                                                   context_.now);
    };
    if (std::ranges::any_of(fit, is_behind)) std::erase_if(fit, std::not_fn(is_behind));
}

/// No replica is known to have the position.
Selection ReplicaSelector::select_without_fit(const std::vector<Endpoint*>& candidates) {
    bool bounded = is(Consistency::bounded);
    bool checked = endpoints_check_staleness(context_.settings);
    // What is known of these is merely old.
    std::vector<Endpoint*> hopeful;
    for (Endpoint* endpoint : candidates) {
        const ReplicationState& replication = endpoint->replication;
        bool behind = replication.surely_behind(request_.request_class->staleness_bound, context_.now) ||
                      (checked && replication.position);
        if (!bounded || !behind) hopeful.push_back(endpoint);
    }
    bool early = context_.now < *group_.first_used + kFirstUseWait;
    bool may_change = group_.endpoints.empty() || !hopeful.empty();
    std::erase_if(hopeful, [&](const Endpoint* endpoint) { return !has_capacity(*endpoint, 1); });
    if (checked) {
        if (request_.attempts().empty() && !must_be_proven())
            if (Endpoint* endpoint = least_behind(std::move(hopeful)))
                return {Selection::Kind::send, endpoint};
    } else if (auto check = request_check(std::move(hopeful))) {
        return *check;
    }
    if (is(Consistency::session)) return select_primary();
    return {early || (may_change && bounded) ? Selection::Kind::wait : Selection::Kind::reject};
}

/// Of those that can still reach the token while they wait for the log; among equals, one by chance.
Endpoint* ReplicaSelector::least_behind(std::vector<Endpoint*> hopeful) {
    std::shuffle(hopeful.begin(), hopeful.end(), context_.random);
    Time now = context_.now;
    Endpoint* best = nullptr;
    for (Endpoint* endpoint : hopeful) {
        const ReplicationState& replication = endpoint->replication;
        if (replication.falls_short(token_, now)) continue;
        if (!best || replication.estimated_position(now) > best->replication.estimated_position(now))
            best = endpoint;
    }
    return best;
}

std::optional<Selection> ReplicaSelector::request_check(std::vector<Endpoint*> hopeful) {
    const OnDemandCheck& check = request_.on_demand_check;
    if (!health_checks_allowed(context_.settings)) return std::nullopt;
    if (!is(Consistency::bounded) && check.count >= kSessionReadChecks) return std::nullopt;
    if (check.endpoint && check.endpoint->health_check.in_flight()) {
        double round_trip_ms = to_milliseconds(check.endpoint->round_trip.average());
        Duration longest_wait =
            std::max(kLeastCheckWait, from_milliseconds(round_trip_ms * kCheckRoundTrips));
        if (context_.now < check.sent + longest_wait) return Selection{Selection::Kind::wait};
    }
    std::erase_if(hopeful, [&](const Endpoint* endpoint) {
        return endpoint->health_check.in_flight() ||
               context_.now < endpoint->replication.reported_at + context_.health_check_interval;
    });
    if (hopeful.empty()) return std::nullopt;
    return Selection{Selection::Kind::check_health, hopeful[context_.random() % hopeful.size()]};
}

bool ReplicaSelector::admits(const Endpoint& endpoint) const {
    if (!endpoint.listed || endpoint.rejection_backoff.paused(context_.now)) return false;
    return !endpoint.ejection.ejected() ||
           admits_trial(endpoint.ejection, request_.request_class->idempotency,
                        health_checks_allowed(context_.settings), context_.now);
}

bool ReplicaSelector::has_capacity(const Endpoint& endpoint, std::size_t candidates) const {
    return policy::has_capacity(endpoint, {group_, primary_, candidates}, request_, context_.settings,
                                context_.now);
}

bool ReplicaSelector::may_have_position(const Endpoint& endpoint, Time needed) const {
    if (endpoint.replication.position >= needed) return true;
    return endpoints_check_staleness(context_.settings) && !must_be_proven() &&
           expected_to_have(endpoint.replication, endpoint.started, needed,
                            request_.request_class->staleness_bound, context_.now);
}

/// An endpoint that checks may not have heard yet of a commit that the session has been told of, and then
/// answers with older data. A read that may not run again after that is sent only where its data is known to
/// be new enough.
bool ReplicaSelector::must_be_proven() const {
    return request_.request_class->idempotency == Idempotency::not_idempotent && is(Consistency::session) &&
           context_.now < token_ + kCommitUnheard;
}

}  // namespace indigovane::policy
