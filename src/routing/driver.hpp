// What the core asks of whoever drives it: a loop, an emulator or a test.
#pragma once

#include <optional>

#include "routing/types.hpp"

namespace indigovane::routing {

// Neither call may call back into the core.
class Driver {
  public:
    // Asks for Core::run_batch() soon, after whatever else is ready.
    virtual void wake() = 0;
    // Asks for Core::timer_expired() and a batch at that time at the latest. Replaces the timer set before;
    // none cancels it.
    virtual void alarm(std::optional<Time> at) = 0;

  protected:
    ~Driver() = default;
};

}  // namespace indigovane::routing
