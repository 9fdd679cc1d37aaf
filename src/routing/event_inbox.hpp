// Collects events for the routing policy in order of arrival, and wakes the driver for the batch that passes
// them on.
#pragma once

#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"
#include "routing/driver.hpp"

namespace indigovane::routing {

class EventInbox {
  public:
    explicit EventInbox(Driver& driver) : driver_(driver) {}

    // Adds an event without a wake-up: a batch is running, or something else wakes the next one.
    void push(policy::Event event) { events_.push_back(std::move(event)); }
    // Adds an event and wakes the driver for the next batch.
    void post(policy::Event event) {
        push(std::move(event));
        wake();
    }
    // Wakes the driver unless it has already been woken for the next batch.
    void wake() {
        if (!std::exchange(wake_requested_, true)) driver_.wake();
    }
    // Called at the start of a batch: a later wake() asks for another one.
    void begin_batch() { wake_requested_ = false; }
    // Removes and returns all events.
    std::vector<policy::Event> take() { return std::exchange(events_, {}); }

  private:
    Driver& driver_;
    std::vector<policy::Event> events_;
    bool wake_requested_ = false;
};

}  // namespace indigovane::routing
