// The pause that an endpoint gets after it turned work away.
//
// A rejecting endpoint gets no work for a pause that doubles with each rejection, with jitter so that
// poolers don't come back in step, and halves with each success. Where only no connection came free in time
// the pause is the shortest. Settings read: none.
#pragma once

#include "policy/random.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

class RejectionBackoff {
  public:
    bool is_paused(Time now) const { return now < until_; }

    void record_success() { pause_ /= 2; }
    void record_no_connection(Time now);
    /// Draws once.
    void record_rejection(Time now, Random& random);

  private:
    Duration pause_{};
    Time until_{};
};

}  // namespace indigovane::policy
