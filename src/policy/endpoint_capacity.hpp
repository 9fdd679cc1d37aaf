// Whether an endpoint has capacity for a request: the concurrency limit and slow start together.
//
// Settings read: those of slow_start.hpp.
#pragma once

#include <cstddef>

#include "policy/endpoint_table.hpp"
#include "policy/request_state.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Among which endpoints of its group one is asked for.
struct CapacityContext {
    const ReplicaGroup& group;
    const Endpoint* primary;  ///< last known; nullptr: none
    std::size_t candidates;   ///< among which the request is drawn, the endpoint included
};
bool has_capacity(const Endpoint& endpoint, const CapacityContext& context, const Request& request,
                  const Settings& settings, Time now);

}  // namespace indigovane::policy
