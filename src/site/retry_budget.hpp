// Retry budget of reads while a site has a fault: as many retries as requests have earned, so that a loss
// does not double the load on what is left. Writes are not counted: their class limits them.
// Settings: retry_budget_ratio (retries a request earns), max_retry_budget. Source: docs/site-loss.md.
#pragma once

#include <algorithm>

#include "site/settings.hpp"

namespace indigovane::site {

class SiteRetryBudget {
  public:
    explicit SiteRetryBudget(const Settings& settings)
        : settings_(settings), balance_(settings.max_retry_budget) {}

    void earn() { balance_ = std::min(settings_.max_retry_budget, balance_ + settings_.retry_budget_ratio); }
    // False: spent.
    bool spend() {
        if (balance_ < 1 - kRoundingError) return false;
        balance_ -= 1;
        return true;
    }
    void update_settings(const Settings& settings) { settings_ = settings; }

  private:
    static constexpr double kRoundingError = 1e-9;  // five times 0.2 add up to a little less than one

    Settings settings_;
    double balance_;  // retries
};

}  // namespace indigovane::site
