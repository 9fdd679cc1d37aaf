// Concurrency limits of single statement shapes. Counts the requests of each shape in flight in each group,
// and computes how many may be.
#pragma once

#include <optional>
#include <unordered_map>

#include "limits/cost_model.hpp"
#include "limits/types.hpp"

namespace indigovane::limits {

// Returns how many requests of a shape may be in flight in one group. None: no limit. At least 1, so that
// each shape makes progress and is learned.
std::optional<unsigned> shape_cap(const ShapeCost& cost, const Settings& settings);

// Requests in flight by group and shape.
class ShapesInFlight {
  public:
    void add(std::uint32_t group, const ShapeId& shape);
    // Removes a request that was added.
    void remove(std::uint32_t group, const ShapeId& shape);
    unsigned count(std::uint32_t group, const ShapeId& shape) const;
    // Returns the number of requests of the shape in all groups together.
    unsigned count(const ShapeId& shape) const;

  private:
    struct Key {
        std::uint32_t group;
        ShapeId shape;
        bool operator==(const Key&) const = default;
    };
    struct KeyHash {
        std::size_t operator()(const Key& key) const {
            return ShapeIdHash{}(key.shape) + key.group * 0x9e3779b97f4a7c15u;
        }
    };
    std::unordered_map<Key, unsigned, KeyHash> counts_;
};

}  // namespace indigovane::limits
