#include "policy/outlier_ejection.hpp"

#include <algorithm>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Weight of one answer in the moving average of the error share.
constexpr double kErrorWeight = 0.15;
/// An endpoint with a higher error share is ejected.
constexpr double kMaxErrorShare = 0.5;

/// An endpoint is unresponsive after this time without an answer at the earliest: it is longer than the
/// pauses that usually occur.
constexpr Duration kMinUnresponsiveTime = milliseconds(350);
/// An endpoint is unresponsive only after a time in which this many answers were expected.
constexpr double kMissedAnswers = 12;
/// An endpoint is unresponsive only with at least this many requests in flight: a single one
/// may just take long.
constexpr int kMinUnresponsiveInFlight = 2;

/// A request of a class that is not `idempotent`, even one with an idempotency key, may be a trial only this
/// long after the ejection.
constexpr Duration kNonIdempotentTrialDelay = seconds(2);

}  // namespace

bool Ejection::eject(Fault fault, Time now) {
    bool is_new = !is_ejected();
    if (is_new) {
        ejected_at_ = now;
        trial_pause_ = kInitialTrialPause;
    }
    fault_ = fault;
    trial_at_ = now + trial_pause_;
    return is_new;
}

void Ejection::readmit(Time now) {
    fault_ = Fault::none;
    error_share_ = 0;
    unanswered_since_ = now;
}

void Ejection::start_trial(Time now) {
    trial_pause_ = std::min(trial_pause_ * 2, kMaxTrialPause);
    trial_at_ = now + trial_pause_;
}

void Ejection::record_attempt_sent(int others_in_flight, double usual_latency_ms, Time now) {
    if (others_in_flight == 0) {
        awaited_latency_ms_ = usual_latency_ms;
        unanswered_since_ = now;
    } else {
        awaited_latency_ms_ = std::max(awaited_latency_ms_, usual_latency_ms);
    }
    if (is_ejected()) start_trial(now);
}

EjectionChange Ejection::record_attempt_end(AttemptStatus status, Time now) {
    EjectionChange change;
    bool is_answered = is_answer(status);
    bool is_reset = status == AttemptStatus::reset;
    if (is_answered) {
        unanswered_since_ = now;
        if (is_ejected() && (fault_ != Fault::erring || status == AttemptStatus::ok)) {
            readmit(now);
            change.was_readmitted = true;
        }
    }
    if (is_answered || is_reset) {
        bool is_outlier = record_error(status == AttemptStatus::error || is_reset);
        if (is_outlier) change.was_ejected = eject(Fault::erring, now);
    }
    if (status == AttemptStatus::unreachable) change.was_ejected = eject(Fault::unreachable, now);
    return change;
}

EjectionChange Ejection::record_health_check(bool is_ok, bool is_unreachable, Time now) {
    EjectionChange change;
    if (is_ok && fault_ == Fault::unreachable) {
        readmit(now);
        change.was_readmitted = true;
    }
    if (is_unreachable) change.was_ejected = eject(Fault::unreachable, now);
    return change;
}

bool Ejection::record_error(bool is_error) {
    error_share_ += kErrorWeight * (is_error - error_share_);
    return error_share_ > kMaxErrorShare;
}

bool Ejection::is_unresponsive(int in_flight, double usual_latency_ms, Time now) const {
    if (is_ejected() || in_flight < kMinUnresponsiveInFlight) return false;
    double expected_ms = std::max(usual_latency_ms, awaited_latency_ms_);
    Duration limit =
        std::max(kMinUnresponsiveTime, from_milliseconds(expected_ms * kMissedAnswers / in_flight));
    return now - unanswered_since_ > limit;
}

bool admits_request(const Ejection& ejection, Idempotency idempotency, bool may_check_health, Time now) {
    if (!ejection.is_ejected()) return true;
    if (ejection.fault() == Fault::unreachable && may_check_health) return false;
    if (!ejection.is_trial_due(now)) return false;
    return idempotency == Idempotency::idempotent || now - ejection.ejected_at() >= kNonIdempotentTrialDelay;
}

const char* describe(Fault fault) {
    switch (fault) {
        case Fault::unresponsive:
            return "ejected: no answer to requests in flight";
        case Fault::erring:
            return "ejected: too many errors";
        case Fault::unreachable:
        case Fault::none:
            break;
    }
    return "ejected: unreachable";
}

}  // namespace indigovane::policy
