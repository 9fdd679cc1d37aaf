// The budget for health checks: the requests of a pooler pay for the checks that it sends.
//
// Each request earns a fraction of a credit, by the price in the settings. A check spends one credit, and a
// few credits can be saved. Therefore the number of checks grows neither with poolers times endpoints nor
// with the time that reads wait. Checks that queued reads ask for (`on_demand`) have a budget of their own.
// Where checks cost nothing, there is no limit.
//
// Source: docs/capacity.md. Settings read: Settings::health_check_price.
#pragma once

#include "policy/settings.hpp"

namespace indigovane::policy {

enum class HealthCheckPurpose { scheduled, on_demand };

/// Cost of one check as the number of requests that pay for it; 0: checks cost nothing.
double health_check_cost(const Settings& settings);

/// The credits of one pooler. `cost` is health_check_cost() of the present settings.
class HealthCheckBudget {
  public:
    void record_request(double cost);
    /// Spends one credit, unless checks cost nothing. False if there is none: the check must not be sent.
    bool spend(HealthCheckPurpose purpose, double cost);

  private:
    static constexpr double kMaxCredit = 10;

    double scheduled_credit_ = kMaxCredit;
    double on_demand_credit_ = kMaxCredit;
};

}  // namespace indigovane::policy
