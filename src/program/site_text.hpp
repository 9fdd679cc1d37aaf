// A plan and the standing of sites as operators read them: for the command line and for control calls.
#pragma once

#include <nlohmann/json.hpp>

#include "adapters/classes.hpp"
#include "program/config.hpp"
#include "site/site_manager.hpp"

namespace indigovane::program {

// What classes are to sites: name, worth, whether only the primary serves them. By class id.
std::vector<site::Demand> site_classes(const Config& config);

nlohmann::ordered_json plan_json(const site::Plan& plan, const std::vector<std::string>& zones,
                                 const std::function<std::string(site::HostId)>& name);
std::string plan_text(const site::Plan& plan, const std::vector<std::string>& zones,
                      const std::function<std::string(site::HostId)>& name);
nlohmann::ordered_json status_json(const site::SiteManager& manager, const std::vector<std::string>& zones,
                                   site::Time now);
std::optional<std::uint32_t> zone_number(const std::vector<std::string>& zones, const std::string& name);

}  // namespace indigovane::program
