// Max-min fairness by water filling: divides a limited rate among weighted demands.
// Source: D. Bertsekas, R. Gallager, Data Networks, 2nd ed., section 6.5.2.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace indigovane::site {

struct WeightedDemand {
    double rate = 0;    // requests per second
    double weight = 1;  // must be above 0
};

// Returns the level at which each demand gets min(rate, weight x level) and their sum is `capacity`, in
// requests per second. Infinite if all demands fit.
double fair_level(std::vector<WeightedDemand> demands, double capacity);

// Returns the share of a demand that is satisfied at a level of fair_level(), from 0 to 1.
double satisfied_share(const WeightedDemand& demand, double level);

// Returns the weight of a tenant. A tenant that is not in `weights` has weight 1.
double tenant_weight(const std::map<std::string, double>& weights, const std::string& tenant);

}  // namespace indigovane::site
