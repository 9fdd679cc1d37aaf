#include "policy/client_timeouts.hpp"

#include <algorithm>

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;

/// Timeouts that differ by less than this count as equal: the way from client to pooler takes a varying part.
constexpr Duration kTimeoutTolerance = milliseconds(15);
/// A timeout that occurs at least this often among the retained ones is the usual one.
constexpr int kUsualTimeoutCount = 6;

bool are_close(Duration one, Duration other) {
    return one < other + kTimeoutTolerance && other < one + kTimeoutTolerance;
}

}  // namespace

Duration ClientTimeouts::elapsed_before(const Arrival& arrival) {
    recent_[recorded_ % kRetainedTimeouts] = arrival.client_timeout;
    ++recorded_;
    auto is_close = [&](Duration timeout) { return are_close(timeout, arrival.client_timeout); };
    auto end = recent_.begin() + std::ptrdiff_t(std::min(recorded_, kRetainedTimeouts));
    if (std::count_if(recent_.begin(), end, is_close) >= kUsualTimeoutCount) usual_ = arrival.client_timeout;
    if (!usual_ || is_close(*usual_)) return Duration::zero();
    if (arrival.clients_mark_retries && !arrival.is_marked_as_retry) return Duration::zero();
    return std::max(Duration::zero(), arrival.deadline - arrival.client_timeout);
}

}  // namespace indigovane::policy
