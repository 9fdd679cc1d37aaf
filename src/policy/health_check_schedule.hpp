// When an endpoint's health is checked.
//
// In a group in steady use, each replica is checked at a third of the strictest staleness bound and at least
// every second. The primary is checked every second, because no read waits for its position. If a group has
// queued requests and no usable primary, its endpoints are checked to find one, at a rate that depends on the
// group's traffic. The trials of an unreachable endpoint are health checks. health_check_budget.hpp limits
// what the checks cost.
//
// Departure from the design, where checks have a price: the rate above applies only to groups whose reads
// arrive at least as fast as those checks would. Any other group is treated as at its first use, so that a
// read that requires a position has one replica checked. At its first use, only the listed primary and a few
// other endpoints of a group are checked.
//
// Source: docs/design.md; docs/capacity.md. Settings read: Settings::health_check_price, and the classes'
// staleness bounds.
#pragma once

#include <memory>
#include <vector>

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/request_class.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Number of checks of a replica within the strictest staleness bound.
constexpr int kHealthChecksPerBound = 3;

/// Time between two checks of a replica in steady use.
Duration health_check_interval(const std::vector<std::shared_ptr<RequestClass>>& classes);

/// The strictest staleness bound of the classes; 3 s where no class has a stricter one.
inline Duration strictest_bound(Duration health_check_interval) {
    return health_check_interval * kHealthChecksPerBound;
}

/// Whether reads that require a position arrive at least as fast as health checks of all replicas would.
/// `cost` is health_check_cost().
bool is_in_steady_use(const ReplicaGroup& group, Duration interval, double cost, Time now);

/// The endpoints to check at a group's first use, the listed primary first. Draws random
/// numbers to order them.
std::vector<Endpoint*> first_use_checks(const ReplicaGroup& group, double cost, Random& random);

/// Decides which endpoints of a group are due for a check now. Keeps a pointer to `primary`.
class HealthCheckSchedule {
  public:
    HealthCheckSchedule(const ReplicaGroup& group, const Endpoint* primary, Duration interval, double cost,
                        Time now);

    /// Whether the endpoint is unreachable and due for its next trial.
    bool is_trial_due(const Endpoint& endpoint) const;
    bool is_check_due(const Endpoint& endpoint) const;

  private:
    const Endpoint* primary_;
    Duration interval_;
    Time now_;
    bool is_in_steady_use_;
    bool is_searching_primary_;
    Duration search_interval_;
};

}  // namespace indigovane::policy
