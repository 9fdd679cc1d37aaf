// When the endpoint list is requested, where it has to be polled.
//
// The first requests are spread over time, because all poolers of a fleet may start at once. A failed request
// is repeated after an exponential backoff with jitter. Settings read: Settings::fleet_size.
#pragma once

#include "policy/events.hpp"
#include "policy/random.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// The delays of one pooler's requests for the endpoint list.
class EndpointListPoll {
  public:
    /// The longest time from the start to the first request, whatever the fleet's size: a list that has to be
    /// known some seconds after the start must be requested by then.
    static constexpr Duration kMaxFirstDelay = std::chrono::milliseconds(2500);

    /// Time from the start to the first request, at most kMaxFirstDelay. Draws one random number.
    static Duration first_delay(double fleet_size, Random& random);

    void record_request() { has_requested_ = true; }
    /// Time from a failed request to the next one. Draws one random number.
    Duration retry_delay(Random& random);
    /// A list has arrived. Unless it is cached, it ends the backoff, because discovery has answered.
    void record_list(EndpointListKind kind);

  private:
    static constexpr Duration kInitialBackoff = std::chrono::milliseconds(400);

    bool has_requested_ = false;
    Duration backoff_ = kInitialBackoff;
};

}  // namespace indigovane::policy
