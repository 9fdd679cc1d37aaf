// The concurrency limit: how many requests this pooler may have in flight at one endpoint.
//
// The limit is a window that adapts to latency, relative to the class's latency objective and regardless of
// the cause: it grows while answers take a small part of the objective and shrinks by a factor when they take
// a large part. A replica's window also adapts to its replication lag: a replica applies the log with the CPU
// time that its reads leave, and still answers as fast as usual while it falls behind. A lag with idle cores
// has another cause (the primary is gone, a link is cut) and changes nothing.
//
// The limit prevents a queue at the endpoint in which every answer is late. If answers are slow for a reason
// that fewer requests do not remove, the window is small without benefit.
//
// Units: the window counts requests; ratios are relative to the latency objective or to the strictest
// staleness bound.
// Source: docs/design.md, "Holding and refusing". Settings read: none; the callers pass the latency
// objective and the staleness bound.
#pragma once

#include <algorithm>

#include "policy/events.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// The concurrency limit of one endpoint. Times are on the caller's clock.
class ConcurrencyLimit {
  public:
    /// Whether one more request fits. `share`: the part of the window, 0 to 1, that is open to this request.
    bool admits(int in_flight, double share) const { return in_flight < std::max(1.0, window_ * share); }

    /// The end of an attempt. `is_answered`: it ended with an answer; otherwise with a timeout
    /// or a cancellation.
    struct Sample {
        Duration latency;
        Duration latency_objective;
        bool is_answered;
        int in_flight;  ///< at the endpoint, without this one
    };
    void record_latency(const Sample& sample, Time now);

    /// A replica's report with a position and a load. `strictest_bound`: the smallest staleness
    /// bound of a class.
    void record_replication_lag(const LoadReport& report, Duration strictest_bound, int in_flight, Time now);

    /// The endpoint rejected a request.
    void record_rejection(int in_flight, Time now);

    /// After a restart of the endpoint: a small window that grows fast.
    void restart();
    /// After an ejection: the same as restart(), and earlier latencies no longer count.
    void recover();

    double window() const { return window_; }
    double usual_latency_ms() const { return usual_latency_ms_; }

  private:
    void reduce(double factor, int in_flight, Time now);

    static constexpr double kInitialWindow = 6;

    double window_ = kInitialWindow;
    bool grows_fast_ = true;       // by one request per answer, until the first reduction
    double latency_ratio_ = 0;     // moving average of latency / objective
    double lag_ratio_ = 0;         // last reported lag / strictest bound
    double usual_latency_ms_ = 0;  // moving average; 0: no answer yet
    Time reduced_at_{};
};

}  // namespace indigovane::policy
