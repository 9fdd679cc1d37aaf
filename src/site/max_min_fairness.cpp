#include "site/max_min_fairness.hpp"

#include <algorithm>
#include <limits>

namespace indigovane::site {

double fair_level(std::vector<WeightedDemand> demands, double capacity) {
    double total_rate = 0;
    double total_weight = 0;
    for (const WeightedDemand& demand : demands) {
        total_rate += demand.rate;
        total_weight += demand.weight;
    }
    if (total_rate <= capacity) return std::numeric_limits<double>::infinity();
    // Demands with the smallest rate for their weight are satisfied first. The others share the remaining
    // capacity.
    std::sort(demands.begin(), demands.end(), [](const WeightedDemand& a, const WeightedDemand& b) {
        return a.rate / a.weight < b.rate / b.weight;
    });
    for (const WeightedDemand& demand : demands) {
        double level = capacity / total_weight;
        if (demand.rate / demand.weight >= level) return level;
        capacity -= demand.rate;
        total_weight -= demand.weight;
    }
    return std::numeric_limits<double>::infinity();
}

double satisfied_share(const WeightedDemand& demand, double level) {
    return demand.rate <= 0 ? 1 : std::min(1.0, demand.weight * level / demand.rate);
}

double tenant_weight(const std::map<std::string, double>& weights, const std::string& tenant) {
    auto it = weights.find(tenant);
    return it == weights.end() ? 1 : it->second;
}

}  // namespace indigovane::site
