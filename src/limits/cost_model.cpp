#include "limits/cost_model.hpp"

#include <algorithm>

namespace indigovane::limits {

namespace {
constexpr Duration kHalfLife =
    std::chrono::seconds(10);                     // of the weight of an outcome in the recent durations
constexpr double kMinBaselineWeight = 1.0 / 512;  // minimum weight of one outcome in the baseline
constexpr double kMinBytesWeight = 0.05;          // minimum weight of one answer in the mean size
constexpr double kMinOutcomeWeight = 0.01;        // decayed outcomes, below which a shape counts as unknown
constexpr std::int64_t kMaxEstimateMultiple = 4;  // of the mean, up to which an estimate may raise it
// If the timeout rate of the other shapes is below this, the shape itself is at fault.
constexpr double kHealthyTimeoutRate = 0.2;
constexpr std::uint32_t kMaxOutcomes = 1u << 30;
constexpr int kMaxConsecutiveTimeouts = 1000;
constexpr int kMaxQuarantineLevel = 16;
constexpr std::uint64_t kMaxPriorMeanUs = 600'000'000;
}  // namespace

const char* name(ShapeState state) {
    static constexpr const char* kNames[] = {"trial", "known", "costly", "quarantined"};
    return kNames[std::size_t(state)];
}

CostModel::ShapeHistory& CostModel::use_history(const ShapeId& shape) {
    auto [it, is_new] = shapes_.try_emplace(shape);
    if (!is_new) {
        recency_.splice(recency_.begin(), recency_, it->second.recency_position);
        return it->second;
    }
    recency_.push_front(shape);
    it->second.recency_position = recency_.begin();
    if (shapes_.size() > settings_.shapes) {
        shapes_.erase(recency_.back());
        recency_.pop_back();
    }
    return it->second;
}

ShapeState CostModel::state(const ShapeHistory& history, double comparable_mean_us) const {
    if (history.quarantine_level > 0) return ShapeState::quarantined;
    if (!is_learned(history)) return ShapeState::learning;
    if (comparable_mean_us >= double(settings_.costly.count())) return ShapeState::costly;
    bool has_increased = history.baseline_us > 0 &&
                         comparable_mean_us > settings_.costlier * double(history.baseline_us) &&
                         comparable_mean_us >= double(settings_.costlier_from.count());
    return has_increased ? ShapeState::costly : ShapeState::normal;
}

ShapeCost CostModel::cost(const ShapeHistory& history, Duration estimate, const GroupOutcomes& group,
                          Time now) const {
    ShapeCost cost;
    cost.outcomes = history.recent_durations.weight();
    cost.consecutive_timeouts = history.consecutive_timeouts;
    cost.mean_bytes = std::uint64_t(history.mean_bytes);
    cost.next_probe_at = history.next_probe_at;
    bool has_outcomes = history.recent_durations.weight() > kMinOutcomeWeight;
    cost.mean = has_outcomes ? std::max(Duration(1), history.recent_durations.mean()) : estimate;
    cost.median = has_outcomes ? history.recent_durations.quantile(0.5) : estimate;
    cost.p95 = has_outcomes ? history.recent_durations.quantile(0.95) : estimate;
    // The mean of a few outcomes is unreliable, so the estimate still counts until there are more.
    if (!is_learned(history))
        cost.mean = std::max(cost.mean, std::min(estimate, cost.mean * kMaxEstimateMultiple));
    double slowdown = group.others_slowdown(history.own_outcomes, now);
    cost.state = state(history, double(cost.mean.count()) / slowdown);
    return cost;
}

ShapeCost CostModel::cost(const ShapeId& shape, Duration estimate, const GroupOutcomes& group,
                          Time now) const {
    auto it = shapes_.find(shape);
    if (it != shapes_.end()) return cost(it->second, estimate, group, now);
    ShapeCost unknown;
    unknown.mean = std::max(Duration(1), estimate);
    unknown.median = unknown.mean;
    unknown.p95 = unknown.mean;
    return unknown;
}

void CostModel::record(const ShapeId& shape, Outcome outcome, Duration duration, std::uint64_t bytes,
                       GroupOutcomes& group, Time now) {
    if (outcome == Outcome::never_ran) return;
    ShapeHistory& history = use_history(shape);
    // If a client left, the request would have taken longer. That is no evidence if its duration so far is
    // below the usual one.
    if (outcome == Outcome::cancelled && duration < history.recent_durations.quantile(0.5)) return;
    // It is unknown how much longer the request would have taken. The 90th percentile is used if it is
    // higher.
    bool is_lower_bound = outcome == Outcome::timed_out || outcome == Outcome::cancelled;
    Duration recorded_duration =
        is_lower_bound ? std::max(duration, history.recent_durations.quantile(0.9)) : duration;
    record_duration(history, outcome == Outcome::timed_out, recorded_duration, group, now);
    if (outcome == Outcome::served) {
        double weight = std::max(kMinBytesWeight, 1.0 / history.outcomes);
        history.mean_bytes = float(history.mean_bytes + (double(bytes) - history.mean_bytes) * weight);
    }
    if (outcome == Outcome::served || outcome == Outcome::failed) {
        history.consecutive_timeouts = 0;
        history.quarantine_level = 0;
    }
    if (outcome == Outcome::timed_out) record_timeout(history, group, now);
}

void CostModel::record_duration(ShapeHistory& history, bool timed_out, Duration duration,
                                GroupOutcomes& group, Time now) {
    Duration expected =
        is_learned(history) ? Duration(std::int64_t(double(history.baseline_us))) : Duration::zero();
    history.recent_durations.record(duration, now, kHalfLife);
    history.own_outcomes.add(timed_out, duration, expected, now);
    group.record(timed_out, duration, expected, now);
    if (history.outcomes < kMaxOutcomes) ++history.outcomes;
    double weight = std::max(kMinBaselineWeight, 1.0 / history.outcomes);
    history.baseline_us =
        float(history.baseline_us + (double(duration.count()) - history.baseline_us) * weight);
}

void CostModel::record_timeout(ShapeHistory& history, const GroupOutcomes& group, Time now) {
    history.consecutive_timeouts =
        std::uint16_t(std::min(kMaxConsecutiveTimeouts, history.consecutive_timeouts + 1));
    bool is_quarantined = history.quarantine_level > 0;
    bool is_shape_at_fault = group.others_timeout_rate(history.own_outcomes, now) < kHealthyTimeoutRate;
    if (!is_quarantined && (history.consecutive_timeouts < settings_.timeouts || !is_shape_at_fault)) return;
    history.quarantine_level = std::uint8_t(std::min(kMaxQuarantineLevel, history.quarantine_level + 1));
    history.next_probe_at = now + probe_interval(history.quarantine_level - 1u);
}

Duration CostModel::probe_interval(unsigned doublings) const {
    return std::min(settings_.quarantine * (std::int64_t(1) << doublings), settings_.quarantine_most);
}

void CostModel::record_probe(const ShapeId& shape, Time now) {
    auto it = shapes_.find(shape);
    if (it == shapes_.end()) return;
    ShapeHistory& history = it->second;
    history.next_probe_at = now + probe_interval(history.quarantine_level);
}

std::vector<ShapePrior> CostModel::priors(std::size_t limit) const {
    std::vector<ShapePrior> priors;
    for (const ShapeId& shape : recency_) {
        if (priors.size() >= limit) break;
        const ShapeHistory& history = shapes_.at(shape);
        if (!is_learned(history)) continue;
        priors.push_back({shape, std::uint64_t(history.recent_durations.mean().count()),
                          std::uint64_t(history.baseline_us), history.outcomes});
    }
    return priors;
}

void CostModel::load_prior(const ShapePrior& prior, Time now) {
    if (shapes_.count(prior.shape) > 0) return;
    if (prior.outcomes < settings_.trial_outcomes || prior.mean_us > kMaxPriorMeanUs) return;
    ShapeHistory& history = use_history(prior.shape);
    history.recent_durations.record(Duration(std::int64_t(prior.mean_us)), now, kHalfLife);
    history.baseline_us = float(prior.baseline_us);
    history.outcomes =
        settings_.trial_outcomes;  // the shape counts as learned, and its baseline changes quickly
}

}  // namespace indigovane::limits
