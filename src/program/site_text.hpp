// A plan for the loss of a site and the health of sites, formatted for operators: for the command line and
// for control calls.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "adapters/classes.hpp"
#include "program/config.hpp"
#include "site/site_manager.hpp"

namespace indigovane::program {

// Returns the name of a host.
using HostName = std::function<std::string(site::HostId)>;

// Returns the properties of each class that a plan needs, by class id: name, priority weight, and whether
// only the primary serves it.
std::vector<site::Demand> site_classes(const Config& config);

nlohmann::ordered_json plan_json(const site::Plan& plan, const std::vector<std::string>& zones,
                                 const HostName& host_name);
std::string plan_text(const site::Plan& plan, const std::vector<std::string>& zones,
                      const HostName& host_name);
nlohmann::ordered_json status_json(const site::SiteManager& manager, const std::vector<std::string>& zones,
                                   site::Time now);
// Returns the number of the site with this zone's name, which is the zone's index in the settings, or nothing
// if no zone has this name.
std::optional<std::uint32_t> zone_number(const std::vector<std::string>& zones, const std::string& name);

}  // namespace indigovane::program
