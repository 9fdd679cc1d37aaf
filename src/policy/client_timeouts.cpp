#include "policy/client_timeouts.hpp"

#include <algorithm>

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;

/// Timeouts this close are one: the way from client to pooler takes a part of them.
constexpr Duration kJitter = milliseconds(15);
/// A timeout that came this often among the retained ones is the usual one.
constexpr int kUsualCount = 6;

bool alike(Duration one, Duration other) {
    return one < other + kJitter && other < one + kJitter;
}

}  // namespace

Duration ClientTimeouts::elapsed_before(const Arrival& arrival) {
    recent_[recorded_ % kRetained] = arrival.client_timeout;
    ++recorded_;
    auto like_this = [&](Duration timeout) { return alike(timeout, arrival.client_timeout); };
    auto end = recent_.begin() + std::ptrdiff_t(std::min(recorded_, kRetained));
    if (std::count_if(recent_.begin(), end, like_this) >= kUsualCount) usual_ = arrival.client_timeout;
    if (!usual_ || like_this(*usual_)) return Duration::zero();
    if (arrival.retries_are_marked && !arrival.marked_as_retry) return Duration::zero();
    return std::max(Duration::zero(), arrival.deadline - arrival.client_timeout);
}

}  // namespace indigovane::policy
