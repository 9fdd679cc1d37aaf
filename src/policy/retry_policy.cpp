#include "policy/retry_policy.hpp"

#include <algorithm>

namespace indigovane::policy {
namespace {

/// Retries of a request that may have run. The limit keeps failures from multiplying the load.
constexpr int kMaxRetriesAfterExecution = 2;
/// A retry must start to execute at least this long before the deduplication window ends.
constexpr Duration kDeduplicationWindowMargin = std::chrono::milliseconds(20);

}  // namespace

bool may_retry(const Request& request, Time now) {
    if (request.counted_attempts() >= request.max_attempts || now >= request.answer_due()) return false;
    int may_have_run = request.attempts_that_may_have_run();
    if (may_have_run > kMaxRetriesAfterExecution) return false;
    const RequestClass& request_class = *request.request_class;
    if (request_class.idempotency == Idempotency::idempotent || may_have_run == 0) return true;
    if (request_class.idempotency == Idempotency::not_idempotent) return false;
    // A retry stays in its group, but a group may span zones: with scope `zone`, another endpoint of the
    // group may not recognize the duplicate.
    return request_class.deduplication_scope != DeduplicationScope::zone && now < retry_deadline(request);
}

Time retry_deadline(const Request& request) {
    if (request.request_class->idempotency == Idempotency::idempotent) return Time::max();
    auto first = std::ranges::find_if(request.attempts(), &Attempt::may_have_run);
    if (first == request.attempts().end()) return Time::max();
    return first->sent + request.request_class->deduplication_window - kDeduplicationWindowMargin;
}

bool rejection_is_harmless(const Request& request) {
    const RequestClass& request_class = *request.request_class;
    if (request_class.idempotency == Idempotency::idempotent) return true;
    if (request.attempts_that_may_have_run() == 0) return true;
    return request_class.idempotency == Idempotency::idempotency_key &&
           request_class.deduplication_scope == DeduplicationScope::all;
}

}  // namespace indigovane::policy
