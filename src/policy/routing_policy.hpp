// The routing policy's interface. The policy decides which endpoint gets which request, and when.
//
// A pooler passes what it observes (events) to a RoutingPolicy and performs what the RoutingPolicy returns
// (actions). The policy does no I/O, starts no threads, has no global state and reads no clock: the caller
// passes the time of each event. Equal settings, seed and events give equal actions. A RoutingPolicy belongs
// to one pooler; several objects share nothing.
//
// Contract
//  * The caller passes events in the order of arrival. The time of an event is never before that of the one
//    before it.
//  * The caller performs the actions of one call in the order returned, at the time of the event.
//  * Each RequestArrival gets exactly one final answer: an AttemptOutcome with `is_request_finished`, or a
//    RejectRequest or FailRequest from the RoutingPolicy. A RequestCancelled ends it without one.
//  * Each SendAttempt leads to one AttemptOutcome, each CheckHealth to one HealthCheckResult, and each
//    SetTimer to one TimerExpired at or after its time.
//  * The caller chooses the endpoint ids: any numbers that stay the same during the RoutingPolicy's life.
//
// Source: docs/design.md, after "Reading from MongoDB Replica Sets with PyMongo".
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "policy/actions.hpp"
#include "policy/attempt_status.hpp"
#include "policy/events.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

class Engine;  // engine.hpp

/// What holds for an attempt at the moment at which it is sent.
struct SendCheck {
    /// False: the endpoint no longer qualifies. The attempt must end as AttemptStatus::disqualified.
    bool is_allowed = true;
    std::optional<Time> required_position;  ///< of a read: the position that its data must have reached
};

/// Not thread-safe: only one thread at a time may call an object.
class RoutingPolicy {
  public:
    /// `seed` initializes the random number generator; `now` is the start of the pooler on its clock.
    RoutingPolicy(const Settings& settings, std::uint64_t seed, Time now);
    ~RoutingPolicy();
    RoutingPolicy(RoutingPolicy&&) noexcept;
    RoutingPolicy& operator=(RoutingPolicy&&) noexcept;

    /// Handles an event and appends the resulting actions to `out`.
    void handle(Time now, const Event& event, Actions& out);

    /// Asked right before an attempt is sent, which may be long after SendAttempt: it may have waited for a
    /// connection. `decided_position`: the required position of SendAttempt, raised by commits of the session
    /// that have been answered since. Changes nothing.
    SendCheck check_send(RequestId id, EndpointId endpoint, std::optional<Time> decided_position, Time now);
    /// Whether the policy would send the request to another endpoint if its attempt in flight ended now
    /// without an answer. Changes nothing.
    bool may_retry_elsewhere(RequestId id, Time now);

    /// All remembered session tokens, for another process of the same pooler.
    SessionTokens tokens() const;

  private:
    std::unique_ptr<Engine> engine_;
};

}  // namespace indigovane::policy
