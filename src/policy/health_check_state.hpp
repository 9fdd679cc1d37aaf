// One endpoint's health checks: of which one is in flight at most.
#pragma once

#include "policy/attempt_status.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

class HealthCheckState {
  public:
    bool is_in_flight() const { return in_flight_; }
    /// Of the last one; the clock's origin before the first.
    Time sent() const { return sent_; }

    void record_sent(Time now) {
        in_flight_ = true;
        sent_ = now;
    }

    /// True if the result shows that the endpoint can't be reached: a refused or broken connection at once,
    /// one that stays without answer after two in a row. A check that was rejected or not begun shows
    /// nothing.
    bool record_result(AttemptStatus status) {
        in_flight_ = false;
        switch (status) {
            case AttemptStatus::ok:
                failures_ = 0;
                return false;
            case AttemptStatus::rejected:
            case AttemptStatus::not_started:
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
