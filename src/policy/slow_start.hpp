// Slow start: how much of its capacity an endpoint has that started a short while ago.
//
// A started endpoint (cold caches) can do a share of its work that grows linearly over the ramp; sent more
// than a multiple of it for a while, it breaks down. Each pooler lets through that share of the requests
// that would be the endpoint's own, by a random draw that a request keeps: all poolers together stay within
// the limit without talking to one another, and a queued request passes once the share has grown to it
// (endpoint_capacity.hpp).
//
// Settings read: Settings::slow_start_share, ramp, overload_multiple.
#pragma once

#include <optional>

#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

inline bool in_slow_start(std::optional<Time> started, const Settings& settings, Time now) {
    return started && now < *started + settings.slow_start_ramp.value_or(Duration::zero());
}

/// The share of its full work that an endpoint in slow start can surely do now.
double available_share(Time started, const Settings& settings, Time now);

}  // namespace indigovane::policy
