// The limit of requests to a host in slow start, checked against recorded times.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>
#include <vector>

namespace indigovane::testing {

// Rule: a host in slow start receives no more, from all poolers together, than the settings allow: of
// `capacity` (a second) a share that grows evenly from `from` to all of it within `ramp`, `multiple` times
// that in any `window`, and chance beside it (N + 3 x root of N + 3). The first moment that breaks it, in
// seconds.
struct SlowStartRule {
    double capacity, from, ramp, multiple, window;
    std::optional<double> first_breach(const std::vector<double>& query_times) const {
        for (std::size_t i = 0, first = 0; i < query_times.size(); ++i) {
            while (query_times[i] - query_times[first] > window) ++first;
            // What it can do at the end of the window is the most that it can in it.
            double share = std::min(1.0, from + (1 - from) * std::max(0.0, query_times[i]) / ramp);
            double n = multiple * share * capacity * window;
            if (double(i - first + 1) > n + 3 * std::sqrt(n) + 3) return query_times[i];
        }
        return std::nullopt;
    }
};

}  // namespace indigovane::testing
