// Parses durations, sizes and percentages as operators write them: a number with a unit.
#pragma once

#include <optional>
#include <string_view>

#include "limits/types.hpp"

namespace indigovane::program {

// Each function returns nothing if the text is malformed or has no unit.

// Parses "250ms", "2s" or "1m"; the units are us, ms, s, m and h.
std::optional<limits::Duration> read_duration(std::string_view text);
// Parses "8MiB", "64KiB" or "512B" and returns the number of bytes; the units are B, KiB, MiB and GiB.
std::optional<std::size_t> read_size(std::string_view text);
// Parses "25%" and returns 0.25.
std::optional<double> read_percentage(std::string_view text);

}  // namespace indigovane::program
