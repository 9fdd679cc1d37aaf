#include "policy/request_class.hpp"

#include <algorithm>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

/// Initial estimate of the usual latency, as a share of the latency objective.
constexpr double kInitialLatencyShare = 0.25;
/// Minimum weight of one answer in the moving average of the latency.
constexpr double kMinSampleWeight = 0.05;
constexpr Duration kDefaultDeadline = std::chrono::seconds(1);

}  // namespace

void RequestClass::record_latency(double latency_ms) {
    ++latency_samples;
    usual_latency_ms += std::max(kMinSampleWeight, 1 / latency_samples) * (latency_ms - usual_latency_ms);
}

RequestClass make_request_class(const ClassSettings& settings) {
    RequestClass request_class;
    request_class.consistency = settings.consistency.value_or(Consistency::write);
    request_class.idempotency = settings.idempotency.value_or(Idempotency::not_idempotent);
    request_class.deduplication_scope = settings.deduplication_scope.value_or(DeduplicationScope::group);
    request_class.deduplication_window = settings.deduplication_window.value_or(Duration::zero());
    request_class.deadline = settings.deadline.value_or(kDefaultDeadline);
    request_class.latency_objective = settings.latency_objective.value_or(request_class.deadline);
    request_class.staleness_bound = settings.staleness_bound.value_or(Duration::zero());
    request_class.priority_weight = settings.priority_weight.value_or(1);
    request_class.late_share = settings.late_share.value_or(0);
    request_class.usual_latency_ms = to_milliseconds(request_class.latency_objective) * kInitialLatencyShare;
    return request_class;
}

}  // namespace indigovane::policy
