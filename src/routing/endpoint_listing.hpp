// Reads the JSON endpoint list of the discovery service and the deploy file into the core's types.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "routing/types.hpp"

namespace indigovane::routing {

struct EndpointListing {
    std::int64_t revision = 0;
    // True: the complete list; false: only the entries that have changed.
    bool is_complete = false;
    std::vector<EndpointInfo> members;
};

// `zones` holds the names of the deployment's zones. An endpoint's zone number is the index of its zone's
// name in `zones`, or the size of `zones` if the name is not there. Entries without a uid are ignored. Throws
// std::runtime_error if `json` is not an endpoint list.
EndpointListing read_endpoint_listing(const nlohmann::json& json, const std::vector<std::string>& zones);

}  // namespace indigovane::routing
