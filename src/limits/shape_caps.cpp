#include "limits/shape_caps.hpp"

#include <algorithm>

namespace indigovane::limits {

std::optional<unsigned> shape_cap(const ShapeCost& cost, const Settings& settings) {
    switch (cost.state) {
        case ShapeState::normal:
            return std::nullopt;
        case ShapeState::learning:
            return settings.trial;
        case ShapeState::quarantined:
            return 1;
        case ShapeState::costly:
            break;
    }
    // The limit depends on the 95th percentile, so that a shape that is cheap with most literals is limited
    // by the cost of its expensive ones.
    double allowed_us = settings.shape_share * double(settings.work.count());
    auto p95_us = double(std::max<std::int64_t>(1, cost.p95.count()));
    return std::max(1u, unsigned(allowed_us / p95_us));
}

void ShapesInFlight::add(std::uint32_t group, const ShapeId& shape) {
    ++counts_[{group, shape}];
}

void ShapesInFlight::remove(std::uint32_t group, const ShapeId& shape) {
    auto it = counts_.find({group, shape});
    if (--it->second == 0) counts_.erase(it);
}

unsigned ShapesInFlight::count(std::uint32_t group, const ShapeId& shape) const {
    auto it = counts_.find({group, shape});
    return it == counts_.end() ? 0 : it->second;
}

unsigned ShapesInFlight::count(const ShapeId& shape) const {
    unsigned total = 0;
    for (const auto& [key, count] : counts_)
        if (key.shape == shape) total += count;
    return total;
}

}  // namespace indigovane::limits
