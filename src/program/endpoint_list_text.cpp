#include "program/endpoint_list_text.hpp"

#include <nlohmann/json.hpp>

namespace indigovane::program {

using nlohmann::json;

namespace {

json endpoint_json(const routing::EndpointInfo& endpoint, const std::vector<std::string>& zones) {
    json json_endpoint{{"uid", endpoint.uid},
                       {"endpoint", endpoint.address},
                       {"pod_group", endpoint.group},
                       {"boot_ms", endpoint.boot_unix_ms}};
    json_endpoint["state"] = endpoint.state == policy::EndpointState::ready ? "ready" : "draining";
    json_endpoint["recovery"] = endpoint.primary ? "off" : "on";
    if (endpoint.zone < zones.size()) json_endpoint["az"] = zones[endpoint.zone];
    return json_endpoint;
}

}  // namespace

std::string write_endpoint_list(const std::vector<routing::EndpointInfo>& endpoints,
                                const std::vector<std::string>& zones, std::int64_t revision) {
    json json_endpoints = json::array();
    for (const routing::EndpointInfo& endpoint : endpoints)
        json_endpoints.push_back(endpoint_json(endpoint, zones));
    json list{{"rev", revision}, {"all", true}, {"targets", std::move(json_endpoints)}};
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace indigovane::program
