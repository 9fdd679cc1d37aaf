#include "policy/replication_state.hpp"

#include <algorithm>

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A report may be this old when it arrives, so that a smaller difference does not prove a lag. A report
/// counts as recent for the same time.
constexpr Duration kMaxReportAge = milliseconds(400);
/// Approximate time for which an endpoint waits for the log before a read.
constexpr Duration kEndpointLogWait = milliseconds(50);
/// A lagging endpoint applies the log about this many times faster than it is written.
constexpr int kCatchUpSpeed = 2;
/// Added to the time that catching up takes, because reads that miss delay the endpoint.
constexpr Duration kCatchUpMargin = seconds(1);
/// A new endpoint starts with a copy of the data that may be this old.
constexpr Duration kInitialCopyAge = seconds(6);

}  // namespace

void ReplicationState::record_position(Time reported, Time now) {
    reported_at = now;
    position = std::max(position.value_or(reported), reported);
}

void ReplicationState::record_primary(Time as_of) {
    if (replica_as_of && *replica_as_of >= as_of) return;
    primary_as_of = std::max(primary_as_of.value_or(as_of), as_of);
}

void ReplicationState::record_replica(Time as_of) {
    replica_as_of = std::max(replica_as_of.value_or(as_of), as_of);
    primary_as_of.reset();
}

bool ReplicationState::is_surely_behind(Duration bound, Time now) const {
    return position && now - reported_at < kMaxReportAge && reported_at - *position > bound + kMaxReportAge;
}

bool ReplicationState::will_miss(Time needed, Time now) const {
    return needed > Time{} && position && now - reported_at < kMaxReportAge &&
           estimated_position(now) + kEndpointLogWait < needed;
}

bool is_expected_to_have(const ReplicationState& state, std::optional<Time> started, Time needed,
                         Duration bound, Time now) {
    if (!state.position)
        return started && *started - kInitialCopyAge + kCatchUpSpeed * (now - *started) >= needed;
    if (state.estimated_position(now) >= needed) return true;
    Time caught_up_to = *state.position + kCatchUpSpeed * (now - state.reported_at);
    return bound != Duration::zero() && caught_up_to >= needed + kCatchUpMargin;
}

}  // namespace indigovane::policy
