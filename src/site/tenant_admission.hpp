// Which requests of a class are admitted where only a part of them can be: tenants by max-min fairness over
// their shares; of one tenant's requests, first those that can most easily be answered in time.
// Settings: tenant_fairness, tenant_shares, shed_late_first. Source: docs/site-loss.md; max_min_fairness.hpp.
#pragma once

#include <string>
#include <unordered_map>

#include "site/max_min_fairness.hpp"
#include "site/settings.hpp"

namespace indigovane::site {

// Admitted parts, from 0 to 1. Late: a retry, or a request with little of its time left.
struct TimelinessShares {
    double timely = 1;
    double late = 1;
};

// Splits `admitted_share` of all requests, of which `late_share` are late: timely ones first.
TimelinessShares split_by_timeliness(double admitted_share, double late_share);

// Arrivals of one class at one group, by tenant and timeliness, and what is admitted of them. Memory is
// bounded: tenants beyond `kMaxTenants` are counted as one.
class TenantAdmission {
  public:
    static constexpr std::size_t kMaxTenants = 256;

    void record_arrival(const std::string& tenant, bool late, const Settings& settings, Time now);
    // The part of requests like this one that is admitted, where `class_share` of the class is.
    double admitted_share(const std::string& tenant, bool late, double class_share, const Settings& settings,
                          Time now);
    std::size_t tenants() const { return tenants_.size(); }

  private:
    struct ArrivalRate {
        double all = 0;   // a second, decaying
        double late = 0;  // of these
        Time updated{};
        double weight = 1;
        void decay(Time now);
    };
    void update_level(double class_share, Time now);

    std::unordered_map<std::string, ArrivalRate> tenants_;
    double level_ = 0;
    double level_class_share_ = -1;  // for which the level was computed; -1: never
    Time level_updated_{};
};

}  // namespace indigovane::site
