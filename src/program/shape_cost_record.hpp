// The cost of a statement shape as a record of the store. The key is the shape as 32 hex digits. The value is
// text, so that people can read a dump: mean in us, baseline in us, number of outcomes and Unix time in ms,
// separated by spaces.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "limits/cost_model.hpp"

namespace indigovane::program {

// Older records are ignored, because an outdated cost misleads more than an unknown one.
inline constexpr std::uint64_t kShapeCostLifetimeMs = 3600'000;

std::string shape_cost_key(const limits::ShapePrior& prior);
std::string shape_cost_value(const limits::ShapePrior& prior, std::uint64_t now_unix_ms);
// Returns nothing if the record is malformed, outdated, or from the future.
std::optional<limits::ShapePrior> read_shape_cost(const std::string& key, const std::string& value,
                                                  std::uint64_t now_unix_ms);

}  // namespace indigovane::program
