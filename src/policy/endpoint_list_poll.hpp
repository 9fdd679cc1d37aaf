// When the endpoint list is requested, where it has to be polled.
//
// The first requests of a fleet that starts at once are spread over time; one that failed is made again
// after a backoff that doubles, with jitter. Settings read: Settings::fleet_size.
#pragma once

#include "policy/events.hpp"
#include "policy/random.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

class EndpointListPoll {
  public:
    /// Until the first request. Draws once.
    static Duration first_delay(double fleet_size, Random& random);

    void record_request() { has_requested_ = true; }
    /// Until the next request, after one that failed. Draws once.
    Duration retry_delay(Random& random);
    /// A list has arrived: an answer from the service itself ends the backoff.
    void record_list(EndpointListKind kind);

  private:
    static constexpr Duration kInitialBackoff = std::chrono::milliseconds(400);

    bool has_requested_ = false;
    Duration backoff_ = kInitialBackoff;
};

}  // namespace indigovane::policy
