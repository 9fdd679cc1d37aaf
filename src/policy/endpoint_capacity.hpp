// Whether an endpoint has capacity for a request, by the concurrency limit and by slow start.
//
// Settings read: those of slow_start.hpp.
#pragma once

#include <cstddef>

#include "policy/endpoint_table.hpp"
#include "policy/request_state.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// The group's endpoints among which one is selected.
struct CapacityContext {
    const ReplicaGroup& group;
    const Endpoint* primary;  ///< the last known primary; nullptr: none
    std::size_t candidates;   ///< number of endpoints among which one is drawn, this endpoint included
};
/// Whether the endpoint has capacity for one more attempt of the request.
bool has_capacity(const Endpoint& endpoint, const CapacityContext& context, const Request& request,
                  const Settings& settings, Time now);

}  // namespace indigovane::policy
