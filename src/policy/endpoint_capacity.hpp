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

/// `candidates`: endpoints among which the request is drawn, this one included.
bool has_capacity(const Endpoint& endpoint, const ReplicaGroup& group, const Request& request,
                  std::size_t candidates, const Settings& settings, Time now);

}  // namespace indigovane::policy
