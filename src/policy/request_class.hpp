// A request class: its settings with their defaults, and what its requests have shown.
//
// Settings read: all of ClassSettings.
#pragma once

#include <vector>

#include "policy/client_timeouts.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

struct RequestClass {
    Consistency consistency = Consistency::write;
    Idempotency idempotency = Idempotency::not_idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::group;
    Duration deduplication_window{};
    Duration latency_objective{};
    Duration deadline{};
    Duration staleness_bound{};
    double priority_weight = 1;
    double late_share = 0;

    double usual_latency_ms = 0;  ///< mean over all endpoints
    double latency_samples = 1;   ///< in that mean, the first guess among them
    ClientTimeouts client_timeouts;

    /// Served by the primary alone.
    bool needs_primary() const {
        return consistency == Consistency::write || consistency == Consistency::fresh;
    }
    /// Some answer has been seen, so that `usual_latency_ms` is more than a guess.
    bool has_latency_samples() const { return latency_samples > 1; }
    void record_latency(double latency_ms);
};

/// Missing settings: a write that is not idempotent, its deduplication within the group for no time at all, a
/// deadline of one second, an objective equal to the deadline, no bound, weight 1, nothing for late answers.
RequestClass make_request_class(const ClassSettings& settings);

}  // namespace indigovane::policy
