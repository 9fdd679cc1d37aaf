// Brings a run's faults about, and ends them.
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

    void schedule_all();  // of the world's options

  private:
    void begin(const Fault& fault);
    bool begin_traffic_fault(const Fault& fault);
    bool begin_host_fault(const Fault& fault);
    bool begin_zone_fault(const Fault& fault);
    void begin_pooler_fault(const Fault& fault);
    void fall_behind(Host& host, const Fault& fault);
    void drain(Host& host, const Fault& fault);
    void lose_zone(const Fault& fault);
    void flap(std::uint32_t zone, Time until);
    void at_end(const Fault& fault, std::function<void()> then);
    std::vector<Host*> choose_hosts(double part, bool replicas_only);

    World& world_;
};

}  // namespace indigovane::lab
