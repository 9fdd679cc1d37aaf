// The retry policy: the one place of the routing policy that decides whether a request may be sent again, and
// whether its client may be told that a retry is harmless.
//
// A request that may have run is sent again only where its class allows it, regardless of endpoint health and
// of the time left: an idempotent request may be; one with an idempotency key may be within its deduplication
// window, where endpoints are sure to drop the duplicate; any other may not.
//
// The routing layer enforces the class's rule independently: routing::RequestGuard (routing/request_guard)
// checks each send against the class's routing::RetryRule (routing/retry_rule) and blocks one that breaks it,
// whichever component asked for it. This file decides what the policy asks for; the guard decides what may
// leave the process.
//
// Source: gRPC's retry design (a retry is transparent only where the request provably never ran). Settings
// read: Settings::max_attempts, and idempotency, deduplication_scope and deduplication_window of the class.
#pragma once

#include "policy/request_state.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Whether another attempt may be sent now. True as well for a request without an attempt
/// that still has time.
bool may_retry(const Request& request, Time now);

/// Latest time at which another attempt may start to execute; Time::max(): no limit.
Time retry_deadline(const Request& request);

/// Whether a rejection (RejectRequest) may promise that a retry by the client does no harm.
bool rejection_is_harmless(const Request& request);

}  // namespace indigovane::policy
