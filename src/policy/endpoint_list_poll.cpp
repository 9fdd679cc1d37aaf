#include "policy/endpoint_list_poll.hpp"

#include <algorithm>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxBackoff = seconds(4);
/// The first requests are spread over this time per pooler of the fleet, up to kMaxFirstDelay: then a large
/// fleet's discovery service gets as many calls a second as while it answers them (poolers / 2.5 s).
constexpr Duration kSpreadPerPooler = milliseconds(60);
/// Poolers that are added to the fleet's size for that spread, so that small fleets spread
/// their requests too.
constexpr double kExtraSpreadPoolers = 10;

}  // namespace

Duration EndpointListPoll::first_delay(double fleet_size, Random& random) {
    double spread_ms = std::min(to_milliseconds(kSpreadPerPooler) * (kExtraSpreadPoolers + fleet_size),
                                to_milliseconds(kMaxFirstDelay));
    return from_milliseconds(spread_ms * uniform(random));
}

Duration EndpointListPoll::retry_delay(Random& random) {
    Duration delay = from_milliseconds(to_milliseconds(backoff_) * (0.5 + uniform(random)));
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
    return delay;
}

void EndpointListPoll::record_list(EndpointListKind kind) {
    if (has_requested_ && kind != EndpointListKind::cached) backoff_ = kInitialBackoff;
}

}  // namespace indigovane::policy
