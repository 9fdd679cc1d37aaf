// Outlier ejection: when an endpoint gets no more work, and when it is tried again.
//
// An endpoint is ejected when it can't be reached, when more than half of its answers are errors or broken
// connections, or when it has work and answers nothing at all. After a pause that doubles one request is a
// trial; any answer (for an erring endpoint: a success) readmits it. An endpoint that can't be reached is
// tried by health checks where they are allowed, which risks no request; a request that must not run twice
// is a trial only late.
//
// The pause after a rejection is another matter: rejection_backoff.hpp.
// Source: docs/design.md. Settings read: Settings::may_check_health, by the caller of admits_request.
#pragma once

#include "policy/attempt_status.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

enum class Fault { none, unreachable, unresponsive, erring };

/// What an observation changed.
struct EjectionChange {
    bool was_readmitted = false;
    bool was_ejected = false;  ///< that was not ejected before
};

/// One endpoint's faults. Times are of the caller's clock.
class Ejection {
  public:
    Fault fault() const { return fault_; }
    bool is_ejected() const { return fault_ != Fault::none; }
    /// True where a trial is due at `now`, or none is needed.
    bool is_trial_due(Time now) const { return now >= trial_at_; }
    Time ejected_at() const { return ejected_at_; }

    /// True if the endpoint was not ejected before.
    bool eject(Fault fault, Time now);
    /// A trial goes out: the next one is due after twice the pause.
    void start_trial(Time now);

    /// An attempt goes out; `others_in_flight` beside it, `usual_latency_ms` of its class.
    void record_attempt_sent(int others_in_flight, double usual_latency_ms, Time now);
    /// An attempt has ended, or its response has started (`ok`).
    EjectionChange record_attempt_end(AttemptStatus status, Time now);
    /// `unreachable`: as HealthCheckState::record_result has it. A success shows that the process runs, which
    /// is all that an unreachable endpoint lacked; it says nothing of one that takes work and answers none.
    EjectionChange record_health_check(bool is_ok, bool is_unreachable, Time now);
    /// Work is in flight and for too long nothing has been answered: hung, cut off, or its answers are lost.
    bool is_unresponsive(int in_flight, double usual_latency_ms, Time now) const;

  private:
    void readmit(Time now);
    bool record_error(bool is_error);

    static constexpr Duration kInitialTrialPause = std::chrono::milliseconds(200);
    static constexpr Duration kMaxTrialPause = std::chrono::seconds(2);

    Fault fault_ = Fault::none;
    Time ejected_at_{};
    Time trial_at_{};
    Duration trial_pause_ = kInitialTrialPause;
    double error_share_ = 0;         // mean over recent answers, 0 to 1
    Time unanswered_since_{};        // the last answer, or when work went out after none was in flight
    double awaited_latency_ms_ = 0;  // usual latency of the slowest class sent since nothing was in flight
};

/// Whether a request of this idempotency may be sent to the endpoint: always while it is not ejected, then
/// only as a trial. `health_checks`: whether they are allowed, and try unreachable endpoints instead.
bool admits_request(const Ejection& ejection, Idempotency idempotency, bool may_check_health, Time now);

/// What the log says of an endpoint that is ejected for this.
const char* describe(Fault fault);

}  // namespace indigovane::policy
