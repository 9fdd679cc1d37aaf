// Emulates a whole installation in virtual time: clients, poolers (the real core with the real routing
// policy), hosts, the network between them, and faults. It uses one thread and one seed, so equal options
// give equal results.
#pragma once

#include "lab/fleet_options.hpp"
#include "lab/fleet_summary.hpp"

namespace indigovane::lab {

FleetSummary run(const FleetOptions& options);

}  // namespace indigovane::lab
