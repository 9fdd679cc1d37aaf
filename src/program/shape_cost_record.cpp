#include "program/shape_cost_record.hpp"

#include <cstdio>

namespace indigovane::program {

using limits::CostModel;

namespace {
constexpr std::size_t kKeyDigits = 32;
}  // namespace

std::string shape_cost_key(const limits::ShapePrior& prior) {
    char key[kKeyDigits + 1];
    std::snprintf(key, sizeof key, "%016llx%016llx", static_cast<unsigned long long>(prior.shape.high),
                  static_cast<unsigned long long>(prior.shape.low));
    return key;
}

std::string shape_cost_value(const limits::ShapePrior& prior, std::uint64_t now_unix_ms) {
    return std::to_string(prior.mean_us) + " " + std::to_string(prior.baseline_us) + " " +
           std::to_string(prior.outcomes) + " " + std::to_string(now_unix_ms);
}

std::optional<limits::ShapePrior> read_shape_cost(const std::string& key, const std::string& value,
                                                  std::uint64_t now_unix_ms) {
    unsigned long long high = 0;
    unsigned long long low = 0;
    unsigned long long mean = 0;
    unsigned long long baseline = 0;
    unsigned long long stored_ms = 0;
    unsigned outcomes = 0;
    if (key.size() != kKeyDigits || std::sscanf(key.c_str(), "%16llx%16llx", &high, &low) != 2 ||
        std::sscanf(value.c_str(), "%llu %llu %u %llu", &mean, &baseline, &outcomes, &stored_ms) != 4)
        return std::nullopt;
    if (stored_ms > now_unix_ms || now_unix_ms - stored_ms > kShapeCostLifetimeMs) return std::nullopt;
    return limits::ShapePrior{{high, low}, mean, baseline, outcomes};
}

}  // namespace indigovane::program
