// Events that the routing policy has not been handed yet, in the order in which they came, and the wake-up of
// the batch that hands them over.
#pragma once

#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"
#include "routing/driver.hpp"

namespace indigovane::routing {

class EventInbox {
  public:
    explicit EventInbox(Driver& driver) : driver_(driver) {}

    // For the batch that runs now, or that something else wakes.
    void push(policy::Event event) { events_.push_back(std::move(event)); }
    // For the next batch, which is woken.
    void post(policy::Event event) {
        push(std::move(event));
        wake();
    }
    // Wakes the driver, once a batch.
    void wake() {
        if (!std::exchange(wake_requested_, true)) driver_.wake();
    }
    // From here on wake() asks for another batch.
    void begin_batch() { wake_requested_ = false; }
    std::vector<policy::Event> take() { return std::exchange(events_, {}); }

  private:
    Driver& driver_;
    std::vector<policy::Event> events_;
    bool wake_requested_ = false;
};

}  // namespace indigovane::routing
