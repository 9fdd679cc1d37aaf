// The operator's file of sites: TOML. [sites] holds for `serve --sites`; [plan] and [[demand]] say what the
// fleet carries, for `indigovane site plan`.
#pragma once

#include <string>

#include "limits/types.hpp"
#include "program/config_error.hpp"
#include "site/failover_plan.hpp"
#include "site/settings.hpp"

namespace indigovane::program {

// What one class asks of the fleet, for a plan.
struct SiteDemand {
    std::optional<std::uint32_t> group;  // none: evenly over all
    std::string request_class;
    double per_second = 0;  // the sum of `tenants`, where those are given
    std::map<std::string, double> tenants;
    limits::Duration work{};  // that a request keeps a host busy
};

struct SiteConfig {
    site::Settings settings;
    double cores = 1;  // of a host: its capacity in seconds of work a second
    std::vector<SiteDemand> demand;
};

// Throws ConfigError.
SiteConfig parse_site_config(const std::string& text, const std::string& file);
SiteConfig read_site_config(const std::string& path);

}  // namespace indigovane::program
