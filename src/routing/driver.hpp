// The interface through which the core asks its driver (an event loop, an emulator or a test) to be run.
#pragma once

#include <optional>

#include "routing/types.hpp"

namespace indigovane::routing {

// Implementations must not call back into the core from these functions.
class Driver {
  public:
    // Asks for a call of Core::run_batch() soon, after the events that are ready now.
    virtual void wake() = 0;
    // Asks for Core::timer_expired() and then Core::run_batch() at that time at the latest. Replaces the time
    // asked for before; nullopt cancels it.
    virtual void alarm(std::optional<Time> at) = 0;

  protected:
    ~Driver() = default;
};

}  // namespace indigovane::routing
