#include "policy/rejection_backoff.hpp"

#include <algorithm>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMinPause = milliseconds(50);
constexpr Duration kMaxPause = seconds(2);

}  // namespace

void RejectionBackoff::record_no_connection(Time now) {
    until_ = std::max(until_, now + kMinPause);
}

void RejectionBackoff::record_rejection(Time now, Random& random) {
    pause_ = std::clamp(pause_ * 2, kMinPause, kMaxPause);
    until_ = now + from_milliseconds(to_milliseconds(pause_) * (0.5 + uniform(random)));
}

}  // namespace indigovane::policy
