// Decides which requests of a class are admitted when only a share of them can be. Tenants get shares by
// weighted max-min fairness. Of the requests of one tenant, those that can most easily be answered in time
// come first. Settings: tenant_fairness, tenant_shares, shed_late_first. Source: docs/site-loss.md;
// max_min_fairness.hpp.
#pragma once

#include <string>
#include <unordered_map>

#include "site/max_min_fairness.hpp"
#include "site/settings.hpp"

namespace indigovane::site {

// Shares of the timely and of the late requests that are admitted, from 0 to 1. A request is late if it is a
// retry or has little time left before its deadline.
struct TimelinessShares {
    double timely = 1;
    double late = 1;
};

// Splits the admitted share of all requests into shares of the timely and the late ones. Timely requests come
// first. `late_share` is the share of late requests among all requests.
TimelinessShares split_by_timeliness(double admitted_share, double late_share);

// Arrival rates of one class at one group by tenant and timeliness, and the shares of them that are admitted.
// Memory is bounded: tenants beyond `kMaxTenants` are counted as one tenant.
class TenantAdmission {
  public:
    static constexpr std::size_t kMaxTenants = 256;

    void record_arrival(const std::string& tenant, bool late, const Settings& settings, Time now);
    // Returns the share of the tenant's timely or late requests that is admitted when `class_share` of the
    // class is.
    double admitted_share(const std::string& tenant, bool late, double class_share, const Settings& settings,
                          Time now);
    std::size_t tenant_count() const { return tenants_.size(); }

  private:
    struct ArrivalRate {
        double total = 0;  // requests per second, decaying
        double late = 0;   // the late ones of these
        Time updated{};
        double weight = 1;
        void decay(Time now);
    };
    void update_level(double class_share, Time now);

    std::unordered_map<std::string, ArrivalRate> tenants_;
    double level_ = 0;               // result of fair_level()
    double level_class_share_ = -1;  // class share for which level_ was computed; -1: never computed
    Time level_updated_{};
};

}  // namespace indigovane::site
