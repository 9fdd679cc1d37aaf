// A whole installation in virtual time: clients, poolers (the real core with the real routing policy), hosts,
// the network between them, and the faults that befall them. One thread, one seed: the same again each time.
#pragma once

#include "lab/fleet_options.hpp"
#include "lab/fleet_summary.hpp"

namespace indigovane::lab {

FleetSummary run(const FleetOptions& options);

}  // namespace indigovane::lab
