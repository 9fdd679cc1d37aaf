#include "policy/health_check_schedule.hpp"

#include <algorithm>
#include <cstddef>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxCheckInterval = seconds(1);
/// Period to which the rate of reads (ReadRate) refers.
constexpr Duration kUsePeriod = seconds(1);

/// While a primary is searched for, endpoints are checked no more often: their reports would hardly be newer.
constexpr Duration kMinSearchInterval = milliseconds(100);
/// While a primary is searched for, the upper limit of checks per read.
constexpr double kSearchChecksPerRead = 2.5;
/// While a primary is searched for, each endpoint is checked at least this often.
constexpr Duration kMaxSearchInterval = seconds(1);

/// Checks at a group's first use, where checks have a price.
constexpr std::size_t kFirstUseChecks = 3;

Duration primary_search_interval(const ReplicaGroup& group, Time now) {
    double reads = group.position_reads.per_second(now);
    Duration interval = kUsePeriod * int(group.endpoints.size()) / int(kSearchChecksPerRead * reads + 1);
    return std::clamp(interval, kMinSearchInterval, kMaxSearchInterval);
}

}  // namespace

Duration health_check_interval(const std::vector<std::shared_ptr<RequestClass>>& classes) {
    Duration interval = kMaxCheckInterval;
    for (const auto& request_class : classes) {
        Duration bound = request_class->staleness_bound;
        if (request_class->consistency == Consistency::bounded && bound > Duration::zero())
            interval = std::min(interval, bound / kHealthChecksPerBound);
    }
    return interval;
}

bool is_in_steady_use(const ReplicaGroup& group, Duration interval, double cost, Time now) {
    auto replicas = double(group.endpoints.size() - 1);
    return group.position_reads.per_second(now) * to_milliseconds(interval) >=
           to_milliseconds(kUsePeriod) * replicas * std::max(1.0, cost);
}

std::vector<Endpoint*> first_use_checks(const ReplicaGroup& group, double cost, Random& random) {
    std::vector<Endpoint*> endpoints = group.endpoints;
    std::shuffle(endpoints.begin(), endpoints.end(), random);
    auto claims_primary = [](const Endpoint* endpoint) {
        return endpoint->replication.primary_as_of.has_value();
    };
    std::partition(endpoints.begin(), endpoints.end(), claims_primary);
    if (cost > 0) endpoints.resize(std::min(endpoints.size(), kFirstUseChecks));
    return endpoints;
}

HealthCheckSchedule::HealthCheckSchedule(const ReplicaGroup& group, const Endpoint* primary,
                                         Duration interval, double cost, Time now)
    : primary_(primary),
      interval_(interval),
      now_(now),
      is_in_steady_use_(is_in_steady_use(group, interval, cost, now)),
      is_searching_primary_(!group.queue.empty() &&
                            (!primary || !primary->is_listed || primary->ejection.is_ejected())),
      search_interval_(primary_search_interval(group, now)) {}

bool HealthCheckSchedule::is_trial_due(const Endpoint& endpoint) const {
    return endpoint.ejection.fault() == Fault::unreachable && endpoint.ejection.is_trial_due(now_);
}

bool HealthCheckSchedule::is_check_due(const Endpoint& endpoint) const {
    Time sent = endpoint.health_check.sent();
    if (is_in_steady_use_) {
        Duration interval = &endpoint == primary_ ? kMaxCheckInterval : interval_;
        if (now_ >= endpoint.replication.reported_at + interval || now_ >= sent + kMaxCheckInterval)
            return true;
    }
    return is_searching_primary_ && now_ >= sent + search_interval_;
}

}  // namespace indigovane::policy
