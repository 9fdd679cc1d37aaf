// Starts and ends the faults of a run.
#pragma once

#include <functional>
#include <vector>

#include "lab/fleet_options.hpp"
#include "lab/host.hpp"

namespace indigovane::lab {

class World;

class FaultSchedule {
  public:
    explicit FaultSchedule(World& world) : world_(world) {}

    // Schedules all faults of the run's options.
    void schedule_all();

  private:
    void begin(const Fault& fault);
    // These return false if the fault is of another kind.
    bool begin_traffic_fault(const Fault& fault);
    bool begin_host_fault(const Fault& fault);
    bool begin_zone_fault(const Fault& fault);
    // Starts a fault of any of the remaining kinds, which concern poolers.
    void begin_pooler_fault(const Fault& fault);
    void fall_behind(Host& host, const Fault& fault);
    void drain(Host& host, const Fault& fault);
    // Takes the hosts of a zone down until the end of the fault.
    void lose_zone(const Fault& fault);
    // Partitions and heals the zone in turn. Heals it for good at the time `until`.
    void flap(std::uint32_t zone, Time until);
    // Schedules the action for the end of the fault, which has just started.
    void schedule_end(const Fault& fault, std::function<void()> action);
    // Draws this share of the hosts, at least one, ordered by number.
    std::vector<Host*> choose_hosts(double share, bool replicas_only);

    World& world_;
};

}  // namespace indigovane::lab
