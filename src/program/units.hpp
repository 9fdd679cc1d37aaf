// Durations, sizes and percentages as operators write them: with their unit.
#pragma once

#include <optional>
#include <stdexcept>
#include <string_view>

#include "limits/types.hpp"

namespace indigovane::program {

// One mistake a line: "file:line:column: what is wrong".
struct FileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// "250ms", "2s", "1m"; "8MiB", "64KiB", "512B"; "25%" as 0.25. Nothing: it is none.
std::optional<limits::Duration> read_duration(std::string_view text);
std::optional<std::size_t> read_size(std::string_view text);
std::optional<double> read_percentage(std::string_view text);

}  // namespace indigovane::program
