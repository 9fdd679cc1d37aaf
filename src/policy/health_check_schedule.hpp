// When an endpoint's health is checked.
//
// Each endpoint of a group in steady use is checked at a third of the strictest staleness bound and at
// least each second; a primary, whose position nobody waits for, each second. A group with queued requests
// and no usable primary is searched for one, at a pace that its traffic pays for. An unreachable endpoint
// gets its trials as checks. What checks may cost is bounded in health_check_budget.hpp.
//
// Departure from the design, where checks have a price: the design's pace is for groups whose reads come at
// least as fast as such checks would; any other is treated as at first use, so that a read that needs a
// position has one replica checked. And a group's first use checks the listed primary and a few others
// alone.
//
// Source: docs/design.md; docs/capacity.md. Settings read: Settings::health_check_price, and bound of
// the classes.
#pragma once

#include <memory>
#include <vector>

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/request_class.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Checks in the time of the strictest staleness bound.
constexpr int kHealthChecksPerBound = 3;

/// Between two checks of a replica in steady use.
Duration health_check_interval(const std::vector<std::shared_ptr<RequestClass>>& classes);

/// The strictest staleness bound, or what stands for it where no class has one.
inline Duration strictest_bound(Duration health_check_interval) {
    return health_check_interval * kHealthChecksPerBound;
}

/// Whether reads that need a position come at least as fast as health checks of the whole group would.
bool is_in_steady_use(const ReplicaGroup& group, Duration interval, double cost, Time now);

/// The endpoints to check at a group's first use. Draws once an endpoint.
std::vector<Endpoint*> first_use_checks(const ReplicaGroup& group, double cost, Random& random);

/// One round over a group. Refers to its arguments.
class HealthCheckSchedule {
  public:
    HealthCheckSchedule(const ReplicaGroup& group, const Endpoint* primary, Duration interval, double cost,
                        Time now);

    /// An unreachable endpoint is to be tried again.
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
