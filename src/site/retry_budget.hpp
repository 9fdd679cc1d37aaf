// Retry budget of reads while a site has a fault. Requests earn the retries, so that a loss does not double
// the load on the remaining hosts. Writes do not count: the settings of their class limit their retries.
// Settings: retry_budget_ratio (retries that a request earns), max_retry_budget. Source: docs/site-loss.md.
#pragma once

#include <algorithm>

#include "site/settings.hpp"

namespace indigovane::site {

class SiteRetryBudget {
  public:
    explicit SiteRetryBudget(const Settings& settings)
        : settings_(settings), balance_(settings.max_retry_budget) {}

    // Records a request. It adds `retry_budget_ratio` to the budget.
    void earn() { balance_ = std::min(settings_.max_retry_budget, balance_ + settings_.retry_budget_ratio); }
    // Takes one retry from the budget. False: the budget is empty.
    bool spend() {
        if (balance_ < 1 - kRoundingError) return false;
        balance_ -= 1;
        return true;
    }
    void update_settings(const Settings& settings) { settings_ = settings; }

  private:
    // The sum of five times 0.2 is slightly below 1 in floating point.
    static constexpr double kRoundingError = 1e-9;

    Settings settings_;
    double balance_;  // retries that may still be sent
};

}  // namespace indigovane::site
