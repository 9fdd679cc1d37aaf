#include "policy/health_check_budget.hpp"

#include <algorithm>

namespace indigovane::policy {
namespace {

/// Share of the requests' earnings that health checks may cost.
constexpr double kHealthCheckShareOfEarnings = 0.015;
/// Lower limit of the cost, so that one request earns at most ten checks.
constexpr double kMinCost = 0.1;

}  // namespace

double health_check_cost(const Settings& settings) {
    return std::max(0.0, settings.health_check_price.value_or(0)) / kHealthCheckShareOfEarnings;
}

void HealthCheckBudget::record_request(double cost) {
    double earned = 1 / std::max(cost, kMinCost);
    scheduled_credit_ = std::min(scheduled_credit_ + earned, kMaxCredit);
    on_demand_credit_ = std::min(on_demand_credit_ + earned, kMaxCredit);
}

bool HealthCheckBudget::spend(HealthCheckPurpose purpose, double cost) {
    if (cost <= 0) return true;
    double& credit = purpose == HealthCheckPurpose::on_demand ? on_demand_credit_ : scheduled_credit_;
    if (credit < 1) return false;
    credit -= 1;
    return true;
}

}  // namespace indigovane::policy
