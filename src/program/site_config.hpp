// The operator's TOML file of sites. `serve --sites` uses [sites]. `indigovane site plan` uses also [plan]
// and [[demand]], which describe the load of the fleet.
#pragma once

#include <string>

#include "limits/types.hpp"
#include "program/config_error.hpp"
#include "site/failover_plan.hpp"
#include "site/settings.hpp"

namespace indigovane::program {

// The load that the requests of one class put on the fleet, for a plan.
struct SiteDemand {
    std::optional<std::uint32_t> group;  // without it the load is spread evenly over all groups
    std::string request_class;
    double per_second = 0;                  // requests; the sum of `tenants` if those are given
    std::map<std::string, double> tenants;  // requests per second by tenant
    limits::Duration work{};                // how long a request keeps a host busy
};

struct SiteConfig {
    site::Settings settings;
    double cores = 1;  // a host's capacity in seconds of work per second
    std::vector<SiteDemand> demand;
};

// Throws ConfigError.
SiteConfig parse_site_config(const std::string& text, const std::string& file);
SiteConfig read_site_config(const std::string& path);

}  // namespace indigovane::program
