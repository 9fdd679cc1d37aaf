#include "policy/admission.hpp"

#include <algorithm>

#include "policy/retry_policy.hpp"
#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;

/// Share of the client's timeout for which a request may be queued. The rest leaves the client
/// time for a retry.
constexpr double kMaxQueueShare = 0.45;
/// Every read may be queued for this long, which suffices for on-demand checks of one or two replicas.
/// Without it, all reads of a class with slow answers would be rejected on arrival, and all that waited for a
/// connection for nothing would be rejected after that.
constexpr Duration kMinQueueTime = milliseconds(50);
/// A read is queued only while at least this many usual latencies are left of its latency objective.
constexpr double kReservedAnswerTimes = 4;
/// A read must be on a connection within 1 / kStartPartsPerObjective of the time left until its
/// latency objective.
constexpr int kStartPartsPerObjective = 4;
/// A read has at least this long to be on a connection.
constexpr Duration kMinStartTime = milliseconds(25);
/// Retry-After of rejections. Replication lag and a change of the primary last longer than this.
constexpr Duration kRetryAfter = milliseconds(250);

Time latest_useful_dispatch(const Request& request) {
    return request.arrived +
           from_milliseconds(to_milliseconds(request.deadline - request.arrived) * kMaxQueueShare);
}

Duration usual_latency(const Request& request) {
    return from_milliseconds(request.request_class->usual_latency_ms);
}

bool is_late(const Request& request, Time now) {
    return now > request.latency_objective - usual_latency(request);
}

double value_per_time(const Request& request) {
    return request.request_class->priority_weight / request.request_class->usual_latency_ms;
}

}  // namespace

bool should_admit(const Request& request, Time now) {
    const RequestClass& request_class = *request.request_class;
    Duration usual = request_class.has_latency_samples()
                         ? std::min(usual_latency(request), request_class.latency_objective / 2)
                         : Duration::zero();
    if (request.answer_due() <= now + usual) return false;
    return request_class.late_share > 0 || request.latency_objective > now;
}

Time queue_deadline(const Request& request) {
    if (request.request_class->needs_primary())
        return std::min(request.answer_due() - usual_latency(request), latest_useful_dispatch(request));
    Duration in_hand = from_milliseconds(request.request_class->usual_latency_ms * kReservedAnswerTimes);
    return std::max(request.undecided_since + kMinQueueTime, request.latency_objective - in_hand);
}

Time attempt_start_deadline(const Request& request, Time now) {
    Time start_by = std::min(latest_useful_dispatch(request), retry_deadline(request));
    // Another replica can serve a read within its objective, so it does not wait for a connection that
    // is not established.
    if (!request.request_class->needs_primary()) {
        Duration part = (request.latency_objective - now) / kStartPartsPerObjective;
        start_by = std::min(start_by, now + std::max(kMinStartTime, part));
    }
    return start_by;
}

void sort_for_dispatch(std::vector<Request*>& queue, Time now) {
    std::stable_sort(queue.begin(), queue.end(), [now](const Request* one, const Request* other) {
        bool one_is_late = is_late(*one, now);
        bool other_is_late = is_late(*other, now);
        if (one_is_late != other_is_late) return other_is_late;
        double one_value = value_per_time(*one);
        double other_value = value_per_time(*other);
        return one_value != other_value ? one_value > other_value : one->arrived > other->arrived;
    });
}

std::optional<Duration> retry_after(const Settings& settings) {
    if (!settings.may_send_retry_after.value_or(false)) return std::nullopt;
    return std::min(kRetryAfter, settings.max_retry_after.value_or(kRetryAfter));
}

}  // namespace indigovane::policy
