// The decision module's interface: which endpoint gets which request, and when.
//
// A pooler feeds a RoutingPolicy what it observes (events) and carries out what the RoutingPolicy returns
// (actions). The module does no I/O, starts no threads, keeps no globals and reads no clock: the time of
// each event is handed in. Equal settings, seed and events give equal actions. One RoutingPolicy belongs to
// one pooler; several of them share nothing.
//
// Contract
//  * Events are handed in by order of arrival with a time that never goes back.
//  * The actions of one call are carried out in the order returned, at the time of the event.
//  * Each RequestArrival is owed one final answer: an AttemptOutcome with `finished`, or a RejectRequest or
//    FailRequest from the RoutingPolicy.
//  * Each SendAttempt gets one AttemptOutcome, each CheckHealth one HealthCheckResult, each SetTimer one
//    TimerExpired at or after its time.
//  * Endpoint ids are the caller's: any numbers, stable for as long as the RoutingPolicy lives.
//
// Source: docs/design.md, after "Reading from MongoDB Replica Sets with PyMongo" (/work/given/docs).
#pragma once

#include <cstdint>
#include <memory>

#include "policy/actions.hpp"
#include "policy/attempt_status.hpp"
#include "policy/events.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

class Engine;  // engine.hpp

/// Not thread-safe: one thread at a time may call into one object.
class RoutingPolicy {
  public:
    /// `seed` starts the sequence of random draws; `now` is the time at which the pooler starts.
    RoutingPolicy(const Settings& settings, std::uint64_t seed, Time now);
    ~RoutingPolicy();
    RoutingPolicy(RoutingPolicy&&) noexcept;
    RoutingPolicy& operator=(RoutingPolicy&&) noexcept;

    /// Appends what to do about the event to `out`.
    void handle(Time now, const Event& event, Actions& out);

    /// All session tokens that are remembered, for another process of the same pooler.
    SessionTokens tokens() const;

  private:
    std::unique_ptr<Engine> engine_;
};

}  // namespace indigovane::policy
