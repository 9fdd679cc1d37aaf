// The endpoint list as discovery and the deploy file write it (JSON), read into the core's terms.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "routing/types.hpp"

namespace indigovane::routing {

struct EndpointListing {
    std::int64_t revision = 0;
    bool is_complete = false;  // the complete list; else what has changed
    std::vector<EndpointInfo> members;
};

// `zones`: the names of the deployment's zones; an endpoint's zone is its index there, or their number.
// Entries without a uid are passed over. Throws std::runtime_error on what is no list.
EndpointListing read_endpoint_listing(const nlohmann::json& json, const std::vector<std::string>& zones);

}  // namespace indigovane::routing
