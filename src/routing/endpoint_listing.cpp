#include "routing/endpoint_listing.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace indigovane::routing {

using policy::EndpointState;

namespace {
constexpr double kMaxBootUnixMillis = 9e12;  // far in the future; converts to an integer without overflow

EndpointState read_state(const std::string& name) {
    if (name == "ready") return EndpointState::ready;
    if (name == "draining") return EndpointState::draining;
    return EndpointState::gone;
}

EndpointInfo read_endpoint(const nlohmann::json& json, const std::vector<std::string>& zones) {
    EndpointInfo info;
    info.uid = json.at("uid").get<std::string>();
    info.address = json.value("endpoint", std::string());
    auto zone = std::find(zones.begin(), zones.end(), json.value("az", std::string()));
    info.zone = std::uint32_t(zone - zones.begin());
    info.group = json.value("pod_group", std::uint32_t(0));
    info.state = read_state(json.value("state", std::string("ready")));
    if (json.contains("recovery")) info.primary = json["recovery"] == "off" || json["recovery"] == false;
    double boot_ms = json.value("boot_ms", 0.0);
    info.boot_unix_ms = std::int64_t(std::clamp(boot_ms, 0.0, kMaxBootUnixMillis));
    return info;
}
}  // namespace

EndpointListing read_endpoint_listing(const nlohmann::json& json, const std::vector<std::string>& zones) {
    if (!json.is_object() || !json.contains("targets") || !json["targets"].is_array())
        throw std::runtime_error("no list of members");
    EndpointListing list;
    try {
        list.revision = json.value("rev", std::int64_t(0));
        list.is_complete = json.value("all", false);
        for (const auto& target : json["targets"])
            if (target.is_object() && target.contains("uid"))
                list.members.push_back(read_endpoint(target, zones));
    } catch (const nlohmann::json::exception& error) {
        throw std::runtime_error(error.what());
    }
    return list;
}

}  // namespace indigovane::routing
