// The concurrency limit: how many requests this pooler has in flight at one endpoint.
//
// The window follows how answers compare with the class's latency objective, whatever slows them: it grows
// while they take little of it and shrinks, by a factor, when they take much. A replica's window follows
// its replication lag as well: it applies the log with what its reads leave of its cores, and answers as
// fast as ever while it falls behind. Beside idle cores a lag says that the log stands still for another
// reason (its primary is gone, a link is cut), and changes nothing. It guards against a queue whose every
// answer is late; where answers are slow for a reason that less work doesn't mend, the window is small
// without use.
//
// Units: requests; ratios are shares of the latency objective, or of the strictest staleness bound.
// Source: docs/design.md, "Holding and refusing". Settings read: none; the callers hand in objective and
// bound.
#pragma once

#include <algorithm>

#include "policy/events.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

class ConcurrencyLimit {
  public:
    /// `share`: of the window, that is open to the request at hand.
    bool admits(int in_flight, double share) const { return in_flight < std::max(1.0, window_ * share); }

    /// An attempt's end; `answered`: with an answer, else by a timeout or a cancellation.
    struct Sample {
        Duration latency;
        Duration latency_objective;
        bool answered;
        int in_flight;  ///< at the endpoint, without this one
    };
    void record_latency(const Sample& sample, Time now);

    /// A replica's report with a position and a load. `strictest_bound`: of any class of bounded reads.
    void record_replication_lag(const LoadReport& report, Duration strictest_bound, int in_flight, Time now);

    /// The endpoint turned work away.
    void record_rejection(int in_flight, Time now);

    /// After a restart: a small window that grows fast again.
    void restart();
    /// After an ejection: the same, and old latencies no longer count.
    void recover();

    double window() const { return window_; }
    double usual_latency_ms() const { return usual_latency_ms_; }

  private:
    void reduce(double factor, int in_flight, Time now);

    static constexpr double kInitialWindow = 6;

    double window_ = kInitialWindow;
    bool grows_fast_ = true;       // by one request an answer, until the first reduction
    double latency_ratio_ = 0;     // mean latency as a share of the objective
    double lag_ratio_ = 0;         // last reported lag as a share of the strictest bound
    double usual_latency_ms_ = 0;  // mean; 0: no answer yet
    Time reduced_at_{};
};

}  // namespace indigovane::policy
