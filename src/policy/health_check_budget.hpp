// What health checks may cost: they are paid for by the requests of the pooler that sends them.
//
// Each request earns a part of a check, at the price in the settings; a check spends one credit, and a few
// can be saved up. So checks don't grow with poolers times endpoints, or with the time that reads wait.
// Checks that queued reads need (`on_demand`) have a budget of their own. Where checks cost nothing there
// is no limit.
//
// Source: docs/capacity.md. Settings read: Settings::health_check_price.
#pragma once

#include "policy/settings.hpp"

namespace indigovane::policy {

enum class HealthCheckPurpose { scheduled, on_demand };

/// Of one check, in requests that pay for it; 0: nothing.
double health_check_cost(const Settings& settings);

class HealthCheckBudget {
  public:
    void record_request(double cost);
    /// Takes one credit, if there is one or none is needed.
    bool spend(HealthCheckPurpose purpose, double cost);

  private:
    static constexpr double kMaxCredit = 10;

    double scheduled_credit_ = kMaxCredit;
    double on_demand_credit_ = kMaxCredit;
};

}  // namespace indigovane::policy
