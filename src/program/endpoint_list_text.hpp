// The endpoint list as it is stored for the next process: JSON in the discovery service's form, which
// routing::read_endpoint_listing() reads.
#pragma once

#include <string>
#include <vector>

#include "routing/core.hpp"

namespace indigovane::program {

// An endpoint's zone is its index in `zones`. An endpoint with another zone is written without a zone.
std::string write_endpoint_list(const std::vector<routing::EndpointInfo>& endpoints,
                                const std::vector<std::string>& zones, std::int64_t revision);

}  // namespace indigovane::program
