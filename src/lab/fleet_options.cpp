#include "lab/fleet_options.hpp"

namespace indigovane::lab {

using namespace std::chrono_literals;
using policy::Consistency;

FleetOptions usual_fleet() {
    FleetOptions options;
    options.classes = {{"stock-view", Consistency::bounded, 0.51, 1, 0, 60ms, 250ms, 1s},
                       {"own-order", Consistency::session, 0.34, 3, 0, 37ms, 200ms, 600ms},
                       {"scan-write", Consistency::write, 0.15, 6, 0.3, 60ms, 600ms, 2s}};
    return options;
}

FleetOptions station_fleet() {
    FleetOptions options;
    options.poolers = 4;
    options.groups = 3;
    options.hosts_per_group = 4;
    options.cores = 5;
    options.rate = 260;
    options.classes = {{"map-read", Consistency::bounded, 0.7, 1, 0, 118ms, 600ms, 2s},
                       {"own-read", Consistency::session, 0.2, 1, 0, 118ms, 500ms, 1200ms},
                       {"fresh-read", Consistency::fresh, 0.021, 1, 0, 118ms, 600ms, 2s},
                       {"booking-write", Consistency::write, 0.079, 4, 0.5, 180ms, 1500ms, 5s}};
    options.one_way_delay = 600us;
    options.replication_delay = 9ms;
    options.slow_start_share = 0.18;
    options.slow_start_ramp = 16s;
    options.overload_multiple = 2;
    options.overload_window = 1500ms;
    options.drain_grace = 1s;
    options.staleness_bound = 300ms;
    options.list_calls_per_second = 3;
    options.clients_carry_tokens = true;
    options.answers_tell_position = false;
    options.reports_cpu = true;
    options.hedging = true;
    options.log_apply_load = 0.5;
    options.health_check_price = 0.02;
    return options;
}

}  // namespace indigovane::lab
