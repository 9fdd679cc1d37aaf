// Checks the invariants that each request must meet from its arrival to its final answer.
//
// Every send, first byte, rejection, answer and close of a request is checked here, whether the routing
// policy, a timer or a shutdown asked for it. The guard blocks an action that would break an invariant, and
// counts a violation that shows only afterwards. The invariants are rules of the protocol
// (docs/acceptance.md). They depend on what each attempt is known to have done, not on what another layer
// concluded from it.
//
// The routing policy (policy/retry_policy.hpp) decides which retries to ask for. The guard doesn't rely on
// that decision: it checks each attempt against the rule of the request's class (routing/retry_rule.hpp).
//
// The guard does no I/O apart from log lines and has no clock: callers pass the time.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <span>

#include "routing/interfaces.hpp"
#include "routing/pending_request.hpp"

namespace indigovane::routing {

enum class Invariant {
    // A request has at most one attempt in flight.
    single_attempt,
    // A request that may have run is retried only if its class is idempotent or has an idempotency key.
    retry_if_idempotent,
    // A request with an idempotency key that may have run is retried only at endpoints in the deduplication
    // scope.
    retry_in_scope,
    // A request with an idempotency key that may have run is retried only within the deduplication window.
    retry_in_window,
    // A request is rejected only if a retry by the client is harmless.
    harmless_rejection,
    // At most one host runs a request that is not idempotent. Violations are only observed.
    single_execution,
    // The final answer is given by the request's deadline or shortly after. Violations are only observed.
    response_in_time,
    // This process doesn't close a connection on which an answer is owed. Violations are only observed.
    response_before_close,
};
constexpr std::size_t kInvariantCount = 8;
const char* invariant_name(Invariant invariant);

class RequestGuard {
  public:
    using EndpointUids = std::function<std::string(EndpointId)>;

    // `endpoint_uids` returns the uid of an endpoint, for log lines.
    RequestGuard(Logger& logger, EndpointUids endpoint_uids)
        : logger_(logger), endpoint_uids_(std::move(endpoint_uids)) {}

    // ---- the rules ----

    // Returns the invariant that another attempt at an endpoint in that zone and group would break now, or
    // nullopt if it would break none. `earlier` holds all attempts before it.
    static std::optional<Invariant> invariant_against_attempt(const RetryRule& rule,
                                                              std::span<const Attempt> earlier,
                                                              std::uint32_t zone, std::uint32_t group,
                                                              Time now);
    // Whether a rejection may promise that a retry by the client does no harm.
    static bool is_rejection_harmless(const RetryRule& rule, std::span<const Attempt> attempts);
    // Whether more than one attempt of a request that is not idempotent is known to have run.
    static bool has_run_twice(const RetryRule& rule, std::span<const Attempt> attempts);
    // Whether an answer given now exceeds the deadline by more than the grace period.
    static bool is_answer_late(Time deadline, Time now);

    // ---- the checks that all callers go through ----

    // Called before the first byte of attempt number `attempt`. False: the attempt must not start, which is
    // counted as a violation.
    bool admits_first_byte(const PendingRequest& request, std::uint32_t attempt, std::uint32_t zone,
                           std::uint32_t group, Time now);
    // Called before a rejection. False: the request must fail instead, which is counted as a violation.
    bool admits_rejection(const PendingRequest& request);
    // Called before a final answer is given.
    void check_answer(const PendingRequest& request, Time now);
    // Called once it is known whether an attempt has run.
    void check_executions(const PendingRequest& request);
    // Called when this process closes the connection of a client whose request is pending.
    void check_close(const PendingRequest& request);

    // Counts a violation, prevented or observed, and logs its request and the statuses of its attempts.
    void record_violation(Invariant invariant, const ClientRequest& request,
                          std::span<const Attempt> attempts);

    using Counts = std::array<std::uint64_t, kInvariantCount>;
    // The number of violations of each invariant since the process started.
    const Counts& violations() const { return violations_; }

  private:
    void record_violation(Invariant invariant, const PendingRequest& request) {
        record_violation(invariant, request.request, request.attempts);
    }

    Logger& logger_;
    EndpointUids endpoint_uids_;
    Counts violations_{};
};

}  // namespace indigovane::routing
