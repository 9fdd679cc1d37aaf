// The invariants of a request's life. Every send, first byte, rejection, answer and close of a request goes
// through here, whatever the routing policy, a timer or a shutdown has asked for. What would break an
// invariant is held back; what can only be seen afterwards is counted. The rules are those of the protocol
// (docs/acceptance.md) and go by what each attempt is known to have done, not by what another layer made of
// it.
//
// No I/O and no clock: the time is handed in.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <span>

#include "routing/interfaces.hpp"
#include "routing/pending_request.hpp"

namespace indigovane::routing {

enum class Invariant {
    single_attempt,         // no two attempts of a request are in flight at once
    retry_if_idempotent,    // what may have run is retried only if its class allows retries at all
    retry_in_scope,         // ... and only at endpoints that deduplicate it
    retry_in_window,        // ... and only while they do
    harmless_rejection,     // a rejection promises that asking again is harmless
    single_execution,       // observed: two hosts have run what may run once
    response_in_time,       // observed: the final answer came long after its deadline
    response_before_close,  // observed: this process closed a connection on which an answer was owed
};
constexpr std::size_t kInvariants = 8;
const char* invariant_name(Invariant invariant);

class RequestGuard {
  public:
    using EndpointUids = std::function<std::string(EndpointId)>;

    // `endpoint_uids` names endpoints in log lines.
    RequestGuard(Logger& logger, EndpointUids endpoint_uids)
        : logger_(logger), endpoint_uids_(std::move(endpoint_uids)) {}

    // ---- the rules ----

    // The invariant that another attempt at an endpoint of that zone and group would break now, if any.
    // `earlier`: all attempts before it.
    static std::optional<Invariant> against_attempt(const RetryRule& rule, std::span<const Attempt> earlier,
                                                    std::uint32_t zone, std::uint32_t group, Time now);
    static bool is_rejection_harmless(const RetryRule& rule, std::span<const Attempt> attempts);
    static bool has_run_twice(const RetryRule& rule, std::span<const Attempt> attempts);
    static bool is_answer_late(Time deadline, Time now);

    // ---- the checks that all callers go through ----

    // Before the first byte of an attempt. False: it must not start, which is counted.
    bool admits_first_byte(const PendingRequest& request, std::uint32_t attempt, std::uint32_t zone,
                           std::uint32_t group, Time now);
    // Before a rejection. False: the request must be failed instead, which is counted.
    bool admits_rejection(const PendingRequest& request);
    // At a final answer, before it is given.
    void check_answer(const PendingRequest& request, Time now);
    // Once an attempt's execution is known.
    void check_executions(const PendingRequest& request);
    // When this process closes the connection of a request's client.
    void check_close(const PendingRequest& request);

    // Counts a violation, prevented or observed, and logs which request it was.
    void violated(Invariant invariant, const ClientRequest& request, std::span<const Attempt> attempts);

    using Counts = std::array<std::uint64_t, kInvariants>;
    // By invariant, since the start.
    const Counts& violations() const { return violations_; }

  private:
    void violated(Invariant invariant, const PendingRequest& request) {
        violated(invariant, request.request, request.attempts);
    }

    Logger& logger_;
    EndpointUids endpoint_uids_;
    Counts violations_{};
};

}  // namespace indigovane::routing
