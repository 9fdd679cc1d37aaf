// The cost of each statement shape, learned from outcomes, and whether the shape has to be limited.
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
    normal,       // no limit of its own
    costly,       // limited to a fraction of the work in flight
    quarantined,  // times out while others are answered: one probe at a time
};
// As it stands in answers of the control address.
const char* name(ShapeState state);

struct ShapeCost {
    ShapeState state = ShapeState::learning;
    Duration mean{};
    Duration median{};
    Duration p95{};
    double outcomes = 0;  // decayed
    unsigned consecutive_timeouts = 0;
    std::uint64_t mean_bytes = 0;  // of an answer
    Time next_probe_at{};          // of a quarantined shape
};

// What outlasts a process. Loaded it is a prior: it stands for one outcome, and the next ones soon outweigh
// it.
struct ShapePrior {
    ShapeId shape;
    std::uint64_t mean_us = 0;
    std::uint64_t baseline_us = 0;
    std::uint32_t outcomes = 0;
};

// Memory is bounded: beyond Settings::shapes the shape that was recorded longest ago is dropped.
class CostModel {
  public:
    explicit CostModel(const Settings& settings) : settings_(settings) {}
    void set(const Settings& settings) { settings_ = settings; }

    // Of a shape never seen: the estimate, still to be learned.
    ShapeCost cost(const ShapeId& shape, Duration estimate, const GroupOutcomes& group, Time now) const;

    // Also adds the outcome to `group`.
    void record(const ShapeId& shape, Outcome outcome, Duration took, std::uint64_t bytes,
                GroupOutcomes& group, Time now);
    // A probe of a quarantined shape was admitted. Until its outcome is known the next one is as far away as
    // if it had failed.
    void probe_admitted(const ShapeId& shape, Time now);

    // At most `limit`, from the shape that was recorded last.
    std::vector<ShapePrior> priors(std::size_t limit) const;
    // Ignored where something is known of the shape already, or where the prior is implausible.
    void load_prior(const ShapePrior& prior, Time now);

    std::size_t size() const { return shapes_.size(); }

  private:
    struct ShapeHistory {
        QuantileSketch recent;
        float baseline_us = 0;  // slow mean
        float mean_bytes = 0;
        DecayedOutcomes own;
        std::uint32_t outcomes = 0;
        std::uint16_t consecutive_timeouts = 0;
        std::uint8_t quarantine_level = 0;  // 0: not quarantined
        Time next_probe_at{};
        std::list<ShapeId>::iterator recency;
    };

    ShapeHistory& touch(const ShapeId& shape);
    ShapeCost cost(const ShapeHistory& history, Duration estimate, const GroupOutcomes& group,
                   Time now) const;
    ShapeState state(const ShapeHistory& history, double comparable_mean_us) const;
    bool is_learned(const ShapeHistory& history) const {
        return history.outcomes >= settings_.trial_outcomes;
    }
    void record_duration(ShapeHistory& history, bool timed_out, Duration took, GroupOutcomes& group,
                         Time now);
    void record_timeout(ShapeHistory& history, const GroupOutcomes& group, Time now);
    Duration probe_interval(unsigned doublings) const;

    Settings settings_;
    std::unordered_map<ShapeId, ShapeHistory, ShapeIdHash> shapes_;
    std::list<ShapeId> recency_;  // from the shape recorded last
};

}  // namespace indigovane::limits
