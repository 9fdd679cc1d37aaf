// Outlier ejection: when an endpoint gets no more requests, and when it is tried again.
//
// An endpoint is ejected when it is unreachable, when more than half of its recent answers are errors or
// broken connections, or when it has requests in flight and answers none of them. After a pause, one request
// is sent to it as a trial; the pause doubles with each trial. Any answer readmits the endpoint, but one
// ejected for errors needs a success. Where health checks are allowed, they are the trials of an unreachable
// endpoint, so that no request is at risk. A request of a class that is not `idempotent`, even one with an
// idempotency key, is used as a trial only after a longer delay.
//
// rejection_backoff.hpp handles the pause after a rejection.
// Source: docs/design.md. Settings read: Settings::may_check_health, by the caller of admits_request.
#pragma once

#include "policy/attempt_status.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// Why an endpoint is ejected; `none`: it is not.
enum class Fault { none, unreachable, unresponsive, erring };

/// What an observation changed about an endpoint's ejection.
struct EjectionChange {
    bool was_readmitted = false;
    bool was_ejected = false;  ///< and was not ejected before
};

/// The ejection of one endpoint. Times are on the caller's clock.
class Ejection {
  public:
    Fault fault() const { return fault_; }
    bool is_ejected() const { return fault_ != Fault::none; }
    /// Whether an ejected endpoint may get its next trial. Without meaning for one that is not ejected.
    bool is_trial_due(Time now) const { return now >= trial_at_; }
    /// When the present or latest ejection began.
    Time ejected_at() const { return ejected_at_; }

    /// Returns true if the endpoint was not ejected before.
    bool eject(Fault fault, Time now);
    /// Records that a trial is sent: the next one is due after twice the pause.
    void start_trial(Time now);

    /// An attempt is sent while `others_in_flight` attempts are in flight at the endpoint. `usual_latency_ms`
    /// is that of the request's class.
    void record_attempt_sent(int others_in_flight, double usual_latency_ms, Time now);
    /// An attempt has ended, or its response has started (recorded as `ok`).
    EjectionChange record_attempt_end(AttemptStatus status, Time now);
    /// A health check has ended; `is_unreachable` is the result of HealthCheckState::record_result. A success
    /// readmits an unreachable endpoint, because it shows that its process runs. It does not readmit an
    /// unresponsive or erring endpoint, because it does not show that requests are answered.
    EjectionChange record_health_check(bool is_ok, bool is_unreachable, Time now);
    /// Whether requests are in flight and none has been answered for too long: the endpoint hangs, is cut
    /// off, or its answers are lost. `usual_latency_ms` is that of the endpoint; 0: not known.
    bool is_unresponsive(int in_flight, double usual_latency_ms, Time now) const;

  private:
    void readmit(Time now);
    /// Returns true if the share of errors now makes the endpoint an outlier.
    bool record_error(bool is_error);

    static constexpr Duration kInitialTrialPause = std::chrono::milliseconds(200);
    static constexpr Duration kMaxTrialPause = std::chrono::seconds(2);

    Fault fault_ = Fault::none;
    Time ejected_at_{};
    Time trial_at_{};
    Duration trial_pause_ = kInitialTrialPause;
    double error_share_ = 0;  // moving average over answers, 0 to 1
    // Time of the last answer or readmission, or of the first attempt since nothing was in flight,
    // if that is later.
    Time unanswered_since_{};
    // Usual latency of the slowest class sent since nothing was in flight.
    double awaited_latency_ms_ = 0;
};

/// Whether a request of this idempotency may be sent to the endpoint: always if it is not ejected, else
/// only as a trial. `may_check_health`: health checks are allowed, so that they are the trials of
/// unreachable endpoints.
bool admits_request(const Ejection& ejection, Idempotency idempotency, bool may_check_health, Time now);

/// The text for log lines: the predicate of a sentence about the ejected endpoint.
const char* describe(Fault fault);

}  // namespace indigovane::policy
