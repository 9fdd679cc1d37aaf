// A plan for the loss of a site, and the health of sites, as operators read them: for the command line and
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

using HostName = std::function<std::string(site::HostId)>;

// What classes are to sites: name, priority weight, whether only the primary serves them. By class id.
std::vector<site::Demand> site_classes(const Config& config);

nlohmann::ordered_json plan_json(const site::Plan& plan, const std::vector<std::string>& zones,
                                 const HostName& host_name);
std::string plan_text(const site::Plan& plan, const std::vector<std::string>& zones,
                      const HostName& host_name);
nlohmann::ordered_json status_json(const site::SiteManager& manager, const std::vector<std::string>& zones,
                                   site::Time now);
// Sites are numbered by the zones of the settings; nothing: no zone has this name.
std::optional<std::uint32_t> zone_number(const std::vector<std::string>& zones, const std::string& name);

}  // namespace indigovane::program
