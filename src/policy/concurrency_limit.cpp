#include "policy/concurrency_limit.hpp"

#include <algorithm>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

/// Window after a restart or a fault, from which the endpoint gets its load back gradually.
constexpr double kRestartWindow = 2;
constexpr double kMaxWindow = 64;

/// A window grows only below this average latency ratio.
constexpr double kGrowBelowLatencyRatio = 0.5;
/// A window shrinks above this average latency ratio.
constexpr double kShrinkAboveLatencyRatio = 0.75;
/// Weight of one sample in the moving averages.
constexpr double kSampleWeight = 0.12;
/// A sample counts as at most this many latency objectives.
constexpr double kMaxLatencyRatio = 2;

/// A window grows only below this replication lag ratio.
constexpr double kGrowBelowLagRatio = 0.5;
/// Above this replication lag ratio, a window already shrinks at kBusyUtilizationWhileLagging.
constexpr double kShrinkAboveLagRatio = 0.6;
/// CPU utilization above which a lagging replica's window shrinks.
constexpr double kBusyUtilizationWhileLagging = 0.7;
/// CPU utilization above which a replica's window shrinks in any case, because the replica will fall behind.
constexpr double kBusyUtilization = 0.85;
/// Where an endpoint reports no CPU utilization, this many requests in flight stand for fully used cores.
constexpr double kInFlightOfBusyCores = 6;

/// Factor by which a window shrinks because of latency or busy cores.
constexpr double kReductionFactor = 0.8;
/// Factor by which a window shrinks when the endpoint rejects a request.
constexpr double kRejectionReductionFactor = 0.7;

}  // namespace

void ConcurrencyLimit::record_latency(const Sample& sample, Time now) {
    double latency_ms = to_milliseconds(sample.latency);
    if (sample.is_answered)
        usual_latency_ms_ += (usual_latency_ms_ > 0 ? kSampleWeight : 1) * (latency_ms - usual_latency_ms_);
    double objective_ms = std::max(1.0, to_milliseconds(sample.latency_objective));
    latency_ratio_ +=
        kSampleWeight * (std::min(latency_ms / objective_ms, kMaxLatencyRatio) - latency_ratio_);
    if (latency_ratio_ > kShrinkAboveLatencyRatio) {
        reduce(kReductionFactor, sample.in_flight, now);
        return;
    }
    bool is_healthy = latency_ratio_ < kGrowBelowLatencyRatio && lag_ratio_ < kGrowBelowLagRatio;
    bool is_window_in_use = sample.in_flight + 1 >= window_ - 1;
    if (is_healthy && sample.is_answered && is_window_in_use)
        window_ = std::min(kMaxWindow, window_ + (grows_fast_ ? 1 : 1 / window_));
}

void ConcurrencyLimit::record_replication_lag(const LoadReport& report, Duration strictest_bound,
                                              int in_flight, Time now) {
    lag_ratio_ = to_milliseconds(now - *report.position) / to_milliseconds(strictest_bound);
    double utilization = report.cpu_utilization.value_or(report.in_flight.value_or(0) / kInFlightOfBusyCores);
    double busy_utilization =
        lag_ratio_ > kShrinkAboveLagRatio ? kBusyUtilizationWhileLagging : kBusyUtilization;
    if (utilization > busy_utilization) reduce(kReductionFactor, in_flight, now);
}

void ConcurrencyLimit::record_rejection(int in_flight, Time now) {
    reduce(kRejectionReductionFactor, in_flight, now);
}

void ConcurrencyLimit::restart() {
    window_ = std::min(window_, kRestartWindow);
    grows_fast_ = true;
}

void ConcurrencyLimit::recover() {
    latency_ratio_ = 0;
    restart();
}

void ConcurrencyLimit::reduce(double factor, int in_flight, Time now) {
    grows_fast_ = false;
    // Requests that were in flight together reduce the window only once.
    if (now - reduced_at_ < from_milliseconds(usual_latency_ms_)) return;
    reduced_at_ = now;
    window_ = std::max(1.0, std::min(window_, in_flight + 1.0) * factor);
}

}  // namespace indigovane::policy
