// Slow start: how much of its capacity is available at an endpoint that started recently.
//
// The caches of such an endpoint are cold. It can serve a share of its full load that grows linearly over the
// ramp. If it gets more than a multiple of that share for a while, it breaks down. Each pooler sends it only
// that share of the requests that it would get otherwise. A random number, drawn once per request, decides
// which: all poolers together stay within the limit without communication, and a queued request passes when
// the share has grown past its number (endpoint_capacity.hpp). Retries, the client's and the pooler's own,
// have a smaller chance each, so that together they stay within the safety factor.
//
// Settings read: Settings::slow_start_share, slow_start_ramp, overload_multiple.
#pragma once

#include <optional>

#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Whether the endpoint's start is less than the ramp ago. `started` absent: not known, so not in slow start.
inline bool in_slow_start(std::optional<Time> started, const Settings& settings, Time now) {
    return started && now < *started + settings.slow_start_ramp.value_or(Duration::zero());
}

/// The share of its full load that an endpoint in slow start can serve now without risk. May exceed 1.
double available_share(Time started, const Settings& settings, Time now);

}  // namespace indigovane::policy
