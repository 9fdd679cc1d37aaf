// Learns the cost of each statement shape from outcomes, and decides whether the shape must be limited.
#pragma once

#include <list>
#include <unordered_map>
#include <vector>

#include "limits/group_outcomes.hpp"
#include "limits/quantile_sketch.hpp"
#include "limits/types.hpp"

namespace indigovane::limits {

enum class ShapeState : std::uint8_t {
    learning,     // too few outcomes are known
    normal,       // the shape has no concurrency limit
    costly,       // the shape is limited to a fraction of the work in flight
    quarantined,  // the shape times out while others are answered: only one probe at a time is admitted
};
// Name of the state in replies of the control address.
const char* name(ShapeState state);

struct ShapeCost {
    ShapeState state = ShapeState::learning;
    Duration mean{};
    Duration median{};
    Duration p95{};
    double outcomes = 0;  // decayed number of outcomes
    unsigned consecutive_timeouts = 0;
    std::uint64_t mean_bytes = 0;  // mean size of an answer
    Time next_probe_at{};          // when a quarantined shape may be probed again
};

// Cost of a shape that is stored across restarts of the process. After loading it counts as one outcome, so
// that new outcomes soon outweigh it.
struct ShapePrior {
    ShapeId shape;
    std::uint64_t mean_us = 0;
    std::uint64_t baseline_us = 0;  // long-term mean duration
    std::uint32_t outcomes = 0;     // number of outcomes that it was learned from
};

// Memory is bounded: above Settings::shapes shapes, the least recently recorded shape is dropped.
class CostModel {
  public:
    explicit CostModel(const Settings& settings) : settings_(settings) {}
    void set(const Settings& settings) { settings_ = settings; }

    // Returns the cost of a shape. For an unknown shape it is `estimate`, in state `learning`.
    ShapeCost cost(const ShapeId& shape, Duration estimate, const GroupOutcomes& group, Time now) const;

    // Records an outcome of a shape after `duration`, and adds it to `group` too. `bytes` is the size of the
    // answer.
    void record(const ShapeId& shape, Outcome outcome, Duration duration, std::uint64_t bytes,
                GroupOutcomes& group, Time now);
    // Records that a probe of a quarantined shape was admitted. Until its outcome is known, the next probe is
    // due at the time that applies if this one fails.
    void record_probe(const ShapeId& shape, Time now);

    // Returns the costs of at most `limit` learned shapes, beginning with the most recently recorded one.
    std::vector<ShapePrior> priors(std::size_t limit) const;
    // Loads a stored cost. Ignored if the shape is already known or if the stored cost is implausible.
    void load_prior(const ShapePrior& prior, Time now);

    // Number of shapes whose costs are retained.
    std::size_t size() const { return shapes_.size(); }

  private:
    struct ShapeHistory {
        QuantileSketch recent_durations;
        float baseline_us = 0;  // long-term mean duration
        float mean_bytes = 0;   // mean size of an answer
        DecayedOutcomes own_outcomes;
        std::uint32_t outcomes = 0;  // number of outcomes, not decayed
        std::uint16_t consecutive_timeouts = 0;
        // Number of timeouts since the quarantine began, including the one that began it. 0: not quarantined.
        std::uint8_t quarantine_level = 0;
        Time next_probe_at{};
        std::list<ShapeId>::iterator recency_position;
    };

    // Returns the history of a shape, adds it if necessary, and marks it as the most recently recorded one.
    ShapeHistory& use_history(const ShapeId& shape);
    ShapeCost cost(const ShapeHistory& history, Duration estimate, const GroupOutcomes& group,
                   Time now) const;
    ShapeState state(const ShapeHistory& history, double comparable_mean_us) const;
    bool is_learned(const ShapeHistory& history) const {
        return history.outcomes >= settings_.trial_outcomes;
    }
    void record_duration(ShapeHistory& history, bool timed_out, Duration duration, GroupOutcomes& group,
                         Time now);
    void record_timeout(ShapeHistory& history, const GroupOutcomes& group, Time now);
    Duration probe_interval(unsigned doublings) const;

    Settings settings_;
    std::unordered_map<ShapeId, ShapeHistory, ShapeIdHash> shapes_;
    std::list<ShapeId> recency_;  // begins with the most recently recorded shape
};

}  // namespace indigovane::limits
