// The pause of an endpoint after it rejected a request.
//
// An endpoint gets no requests during its pause. The pause doubles with each rejection and halves with each
// success. Jitter keeps poolers from returning at the same moment. If an attempt ended only because no
// connection became free in time, the pause is the shortest one. Settings read: none.
#pragma once

#include "policy/random.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// The pauses of one endpoint. Times are on the caller's clock.
class RejectionBackoff {
  public:
    bool is_paused(Time now) const { return now < until_; }

    void record_success() { pause_ /= 2; }
    /// An attempt ended as `not_started`.
    void record_no_connection(Time now);
    /// Draws one random number.
    void record_rejection(Time now, Random& random);

  private:
    Duration pause_{};  // before jitter
    Time until_{};      // end of the present pause
};

}  // namespace indigovane::policy
