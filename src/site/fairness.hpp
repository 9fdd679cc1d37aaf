// Of a class that is let in in part, whose requests and which of them: tenants by max-min fairness over their
// shares, and of each tenant's first those that can most easily be answered in time.
// Max-min fairness: D. Bertsekas, R. Gallager, Data Networks, 2nd ed., section 6.5.2 (water filling).
#pragma once

#include <map>
#include <unordered_map>

#include "site/types.hpp"

namespace indigovane::site {

struct ShareDemand {
    double rate = 0, weight = 1;  // requests a second; weight above 0
};

// The level at which each gets min(rate, weight x level) and all together `budget` (of rate); infinite where
// all fit.
double fair_level(std::vector<ShareDemand> demands, double budget);
// A tenant's weight: 1 where nobody has named it.
double share_of(const std::map<std::string, double>& shares, const std::string& tenant);
// Of the requests of one, at that level: from 0 to 1.
double fair_part(const ShareDemand& ask, double level);
// Of the young and of the old requests, where `part` of all are let in and `old` of all are old: young first.
struct ByAge {
    double young = 1, old = 1;
};
ByAge by_age(double part, double old);

// What has come of one class to one group lately, by tenant and age. Bounded: tenants beyond `kMost` are
// reckoned as one.
class Arrivals {
  public:
    static constexpr std::size_t kMost = 256;
    void came(const std::string& tenant, bool old, const Settings& settings, Time now);
    // What of the requests like this one is let in, if `part` of all are.
    double part(const std::string& tenant, bool old, double part, const Settings& settings, Time now);
    std::size_t tenants() const { return tenants_.size(); }

  private:
    struct Rate {
        double all = 0, old = 0;  // a second, decaying
        Time at{};
        double weight = 1;
        void age(Time now);
    };
    std::unordered_map<std::string, Rate> tenants_;
    double level_ = 0, level_part_ = -1;
    Time levelled_{};
};

}  // namespace indigovane::site
