// The retry policy: the one place where it is decided whether a request may be sent again, and whether its
// client may be told that another attempt is harmless.
//
// Whatever the health of the endpoints or the hurry of the client: a request that may have run goes again
// only where its class allows it. An idempotent one may; one with an idempotency key may within its
// deduplication window where repeats are surely dropped; any other may not.
//
// Source: gRPC's retry design (a retry is transparent only where the request provably never ran).
// Settings read: Settings::max_attempts, and idempotency, deduplication_scope and deduplication_window of the
// class.
#pragma once

#include "policy/request_state.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

bool may_retry(const Request& request, Time now);

/// Until when a further attempt may begin to run; Time::max(): at any time.
Time retry_deadline(const Request& request);

/// Whether a rejection (RejectRequest) may promise that another attempt by the client does no harm.
bool rejection_is_harmless(const Request& request);

}  // namespace indigovane::policy
