#include "routing/watch_schedule.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::routing {

namespace {
using Millis = WatchSchedule::Millis;

// For a discovery service shared by a fleet, which gives up calls that have been queued for a second.
constexpr Millis kSharedHold{2500};
constexpr Millis kSharedAnswerTimeout{1200};
constexpr Millis kSharedConnectTimeout{300};
constexpr std::int64_t kSharedRetryMillisPerPooler = 60;
constexpr Millis kSharedRetryMin{400};
constexpr Millis kSharedRetryMax{1800};

// A pause between 0.5 and 1.5 times `pause`, by a draw in [0, 1].
Millis jittered(Millis pause, double draw) {
    return pause / 2 + Millis(std::int64_t(draw * double(pause.count())));
}

Millis longest_jittered(Millis pause) {
    return pause * 3 / 2;
}
}  // namespace

Millis WatchSchedule::Timing::max_propagation() const {
    Millis unnoticed_failure = std::max(hold + slack, (resume_with_watch ? hold : Millis(0)) + whole);
    Millis rejected_call = std::max(whole, connect);
    Millis before_next_call =
        std::max(unnoticed_failure + longest_jittered(retry), rejected_call + longest_jittered(retry_most));
    return before_next_call + connect + whole;
}

WatchSchedule::Timing WatchSchedule::shared(std::size_t poolers) {
    Timing timing;
    timing.hold = kSharedHold;
    timing.slack = kSharedAnswerTimeout;
    timing.whole = kSharedAnswerTimeout;
    timing.connect = kSharedConnectTimeout;
    timing.from_known = true;
    timing.resume_with_watch = true;
    // The calls of a fleet whose poolers are all rejected at once are spread out over time.
    timing.retry_most = std::clamp(Millis(kSharedRetryMillisPerPooler * std::int64_t(poolers)),
                                   kSharedRetryMin, kSharedRetryMax);
    timing.again = timing.retry_most;
    return timing;
}

WatchSchedule::Call WatchSchedule::next() const {
    if (!revision_) return {std::nullopt, Millis(0), timing_.whole};
    Millis hold = watching_ || timing_.resume_with_watch ? timing_.hold : Millis(0);
    return {revision_, hold, hold + (watching_ ? timing_.slack : timing_.whole)};
}

void WatchSchedule::answered(std::int64_t revision) {
    revision_ = revision;
    watching_ = true;
    backoff_ = {};
}

// The backoff protects a discovery service that is short of capacity from poolers that all retry at once and
// in step. A missing answer doesn't indicate such a shortage, because the service rejects calls then.
WatchSchedule::Millis WatchSchedule::failed(Failure failure, double draw) {
    bool was_watching = std::exchange(watching_, false);
    if (was_watching) return timing_.retry;
    if (failure == Failure::no_response) return jittered(timing_.retry, draw);
    if (backoff_.count() == 0) backoff_ = timing_.again;
    Millis pause = jittered(backoff_, draw);
    backoff_ = std::min(backoff_ * 2, timing_.retry_most);
    return pause;
}

void WatchSchedule::restart() {
    forget();
    watching_ = false;
    backoff_ = {};
}

}  // namespace indigovane::routing
