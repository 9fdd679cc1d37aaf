// A request class: its settings with defaults applied, and what was observed of its requests.
//
// Settings read: all of ClassSettings.
#pragma once

#include <vector>

#include "policy/client_timeouts.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// One request class. Members without a comment are explained at ClassSettings.
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

    double usual_latency_ms = 0;  ///< moving average over all endpoints' answers
    double latency_samples = 1;   ///< samples in that average, the initial estimate included
    ClientTimeouts client_timeouts;

    /// Whether only the primary can serve its requests.
    bool needs_primary() const {
        return consistency == Consistency::write || consistency == Consistency::fresh;
    }
    /// Whether an answer was observed, so that `usual_latency_ms` is more than the initial estimate.
    bool has_latency_samples() const { return latency_samples > 1; }
    void record_latency(double latency_ms);
};

/// Applies the defaults: a write that is not idempotent, deduplication scope `group` with a window of zero, a
/// deadline of one second, a latency objective equal to the deadline, a staleness bound of zero, priority
/// weight 1, and no value for late answers.
RequestClass make_request_class(const ClassSettings& settings);

}  // namespace indigovane::policy
