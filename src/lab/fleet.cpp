#include "lab/fleet.hpp"

#include "lab/world.hpp"

namespace indigovane::lab {

FleetSummary run(const FleetOptions& options) {
    return World(options).run();
}

}  // namespace indigovane::lab
