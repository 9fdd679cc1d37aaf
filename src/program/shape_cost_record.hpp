// The cost of a statement shape as a record of the store. Key: the shape as 32 hex digits. Value: mean us,
// baseline us, outcomes and Unix time in ms, as text with spaces between, so that a dump can be read.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "limits/cost_model.hpp"

namespace indigovane::program {

// Outdated costs mislead more than none.
inline constexpr std::uint64_t kShapeCostLifetimeMs = 3600'000;

std::string shape_cost_key(const limits::ShapePrior& prior);
std::string shape_cost_value(const limits::ShapePrior& prior, std::uint64_t now_unix_ms);
// Nothing: it is no such record, or outdated.
std::optional<limits::ShapePrior> read_shape_cost(const std::string& key, const std::string& value,
                                                  std::uint64_t now_unix_ms);

}  // namespace indigovane::program
