// Admission control and load shedding: which requests are taken in, how long they may be queued, and in
// which order they are dispatched.
//
// A request that can't earn anything any more is rejected on arrival. A queued read waits while it can
// still be served within its latency objective, with some answer times in hand; what only a primary can
// serve waits for about half of its client's time (the gap of a primary change lasts seconds), so that its
// client has time left to come again.
//
// Source: docs/design.md, "Holding and refusing". Settings read: Settings::may_send_retry_after, max_retry_after.
#pragma once

#include <optional>
#include <vector>

#include "policy/request_state.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// False: an answer would come too late, or the client leaves before one usually comes.
bool should_admit(const Request& request, Time now);

/// After this a queued request is rejected.
Time queue_deadline(const Request& request);

/// By when an attempt must be on a connection; later, it ends as `not_started`. Not after the retry deadline.
Time attempt_start_deadline(const Request& request, Time now);

/// Requests that can still meet their objective first, then by priority weight for the time that they take,
/// then the newest.
void sort_for_dispatch(std::vector<Request*>& queue, Time now);

/// What a rejection advises.
std::optional<Duration> retry_after(const Settings& settings);

}  // namespace indigovane::policy
