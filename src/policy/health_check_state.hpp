// The health checks of one endpoint, of which at most one is in flight.
#pragma once

#include "policy/attempt_status.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Whether a check is in flight, and what the results so far show. Times are on the caller's clock.
class HealthCheckState {
  public:
    bool is_in_flight() const { return in_flight_; }
    /// When the last check was sent; the clock's origin before the first.
    Time sent() const { return sent_; }

    void record_sent(Time now) {
        in_flight_ = true;
        sent_ = now;
    }

    /// Records a result and returns whether it shows that the endpoint is unreachable. A refused or broken
    /// connection shows it immediately, a check without a valid answer only if it is the second failure in a
    /// row. A check that was rejected or not started shows nothing.
    bool record_result(AttemptStatus status) {
        in_flight_ = false;
        switch (status) {
            case AttemptStatus::ok:
                failures_ = 0;
                return false;
            case AttemptStatus::rejected:
            case AttemptStatus::not_started:
            case AttemptStatus::disqualified:
                return false;
            case AttemptStatus::unreachable:
            case AttemptStatus::reset:
                ++failures_;
                return true;
            case AttemptStatus::error:
            case AttemptStatus::timeout:
            case AttemptStatus::cancelled:
            case AttemptStatus::miss:
            case AttemptStatus::stale:
                break;
        }
        ++failures_;
        return failures_ >= kFailuresUntilUnreachable;
    }

  private:
    static constexpr int kFailuresUntilUnreachable = 2;  // in a row

    bool in_flight_ = false;
    Time sent_{};
    int failures_ = 0;
};

}  // namespace indigovane::policy
