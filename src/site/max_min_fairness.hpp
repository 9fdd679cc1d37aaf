// Max-min fairness by water filling: how a limited rate is divided among weighted demands. Pure arithmetic.
// Source: D. Bertsekas, R. Gallager, Data Networks, 2nd ed., section 6.5.2.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace indigovane::site {

struct WeightedDemand {
    double rate = 0;    // requests a second
    double weight = 1;  // above 0
};

// The level at which each demand gets min(rate, weight x level) and all together get `capacity` (requests a
// second). Infinite where all demands fit.
double fair_level(std::vector<WeightedDemand> demands, double capacity);

// The part of a demand that is satisfied at that level, from 0 to 1.
double satisfied_share(const WeightedDemand& demand, double level);

// A tenant's weight: 1 for a tenant without one.
double weight_of(const std::map<std::string, double>& weights, const std::string& tenant);

}  // namespace indigovane::site
