// Admission control and load shedding: which requests are admitted, how long they may be queued, and in which
// order they are dispatched.
//
// A request whose answer would come too late to have any value is rejected on arrival. A read stays queued
// while it can be served within its latency objective, with a reserve of a few usual latencies. A request
// that only the primary can serve stays queued for about half of its client's timeout, because a change of
// the primary takes seconds; the other half is left to the client for a retry.
//
// Source: docs/design.md, "Holding and refusing". Settings read: Settings::may_send_retry_after,
// max_retry_after.
#pragma once

#include <optional>
#include <vector>

#include "policy/request_state.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Whether the request is worth queueing. False if the client's timeout ends before an answer usually
/// arrives, or if the latency objective has passed and a late answer has no value.
bool should_admit(const Request& request, Time now);

/// When the request, if it is still queued, gets its final answer.
Time queue_deadline(const Request& request);

/// When an attempt sent now must be on a connection at the latest; otherwise it ends as `not_started`. Never
/// after the retry deadline.
Time attempt_start_deadline(const Request& request, Time now);

/// Sorts a queue for dispatch: requests that can meet their latency objective come first, then those with the
/// higher priority weight per usual latency, then the newer ones.
void sort_for_dispatch(std::vector<Request*>& queue, Time now);

/// The Retry-After of a rejection; absent where the settings do not allow one.
std::optional<Duration> retry_after(const Settings& settings);

}  // namespace indigovane::policy
