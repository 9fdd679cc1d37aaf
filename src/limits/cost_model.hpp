// What each shape costs, learned from outcomes, and whether it must be held back.
#pragma once

#include <list>
#include <unordered_map>
#include <vector>

#include "limits/quantile_sketch.hpp"
#include "limits/types.hpp"

namespace indigovane::limits {

enum class ShapeState : std::uint8_t {
    trial,        // too few outcomes are known
    known,        // costs what it did
    costly,       // may have a part of the work in flight only
    quarantined,  // times out while others are answered: one probe at a time
};
const char* name(ShapeState standing);

// A group's outcomes of late. Guards against blaming shapes for what befalls all of them: a primary that is
// gone, hosts that are overrun.
class GroupPulse {
  public:
    void record(bool timed_out, Duration took, Duration expected, Time now);
    // Decayed sums, as of `at`.
    struct Sums {
        float outcomes = 0, timeouts = 0, took = 0, expected = 0;
        Time at{};
        void add(bool timed_out, Duration took, Duration expected, Time now);
        Sums as_of(Time now) const;
    };
    // Both of all outcomes but those in `own`, one shape's. The share that timed out; 1 where there are
    // hardly any.
    double others_timed_out(const Sums& own, Time now) const;
    // What others take, as a multiple of what they took for long; 1 at least, and where there are hardly any.
    double others_inflation(const Sums& own, Time now) const;

  private:
    Sums all_;
};

class CostModel {
  public:
    explicit CostModel(const Settings& settings) : settings_(settings) {}
    void set(const Settings& settings) { settings_ = settings; }

    struct View {
        ShapeState standing = ShapeState::trial;
        Duration mean{}, median{}, tail{};  // tail: the 95th percentile
        double outcomes = 0;                // decayed
        unsigned timeouts = 0;              // in a row
        std::uint64_t bytes = 0;            // of an answer, in the mean
        Time probe_at{};                    // of one in quarantine
    };
    // Of a shape never seen: the estimate, on trial.
    View view(const ShapeId& shape, Duration estimate, const GroupPulse& pulse, Time now) const;
    void record(const ShapeId& shape, End end, Duration took, std::uint64_t bytes, Duration estimate,
                GroupPulse& pulse, Time now);
    // One in quarantine was let through to see how it does now.
    void probed(const ShapeId& shape, Time now);

    // What outlasts a process. Learned again it is a prior: it stands for one outcome, and the next ones soon
    // outweigh it.
    struct Prior {
        ShapeId shape;
        std::uint64_t mean_us = 0, baseline_us = 0;
        std::uint32_t outcomes = 0;
    };
    std::vector<Prior> priors(std::size_t most) const;  // of those heard of last
    void learn(const Prior& prior, Time now);           // where nothing is known of the shape yet

    std::size_t size() const { return shapes_.size(); }
    struct Line {
        ShapeId shape;
        View view;
    };
    std::vector<Line> all(Time now) const;

  private:
    static constexpr Duration kHalfLife = std::chrono::seconds(10);
    static constexpr double kBaseline = 1.0 / 512;  // weight of one outcome in the baseline
    struct State {
        QuantileSketch recent;
        float baseline_us = 0;  // slow mean
        float bytes = 0;
        GroupPulse::Sums own;
        std::uint32_t seen = 0;
        std::uint16_t timeouts = 0;  // in a row
        std::uint8_t level = 0;      // of quarantine; 0: none
        Time probe_at{};
        std::list<ShapeId>::iterator place;
    };
    State& state(const ShapeId& shape);
    View view(const State& s, Duration estimate, const GroupPulse& pulse, Time now) const;

    Settings settings_;
    std::unordered_map<ShapeId, State, ShapeIdHash> shapes_;
    std::list<ShapeId> order_;  // from the one heard of last
};

}  // namespace indigovane::limits
