// Durations, sizes and percentages as operators write them: with their unit.
#pragma once

#include <optional>
#include <string_view>

#include "limits/types.hpp"

namespace indigovane::program {

// Each returns nothing where the text is not of its kind; a number without a unit is of none.
std::optional<limits::Duration> read_duration(std::string_view text);  // "250ms", "2s", "1m"
std::optional<std::size_t> read_size(std::string_view text);           // bytes: "8MiB", "64KiB", "512B"
std::optional<double> read_percentage(std::string_view text);          // "25%" as 0.25

}  // namespace indigovane::program
