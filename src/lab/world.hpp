// The state of an emulated run. It owns the parts of the model (network, discovery, clients, fault schedule,
// poolers, hosts), which reach each other through it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/auditor.hpp"
#include "lab/clients.hpp"
#include "lab/discovery.hpp"
#include "lab/fault_schedule.hpp"
#include "lab/fleet.hpp"
#include "lab/host.hpp"
#include "lab/network.hpp"
#include "lab/random.hpp"
#include "lab/simulated_pooler.hpp"
#include "lab/timeline.hpp"

namespace indigovane::lab {

class World {
  public:
    explicit World(const FleetOptions& options);
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // Runs the fleet once until its end, and returns the results.
    FleetSummary run();
    // The routing settings, which are the same for every pooler.
    policy::Settings settings() const;

    enum class CrashMode {
        connections_reset,  // the machine is reachable and resets the connections
        unresponsive,       // the machine does not respond at all
    };
    void crash(Host& host, CrashMode mode);
    void restart(Host& host);
    void restart_pooler(std::uint32_t number);
    // Reports to the auditor what a pooler with the defect duplicate_attempt or overloaded_slow_start would
    // do. Does nothing for other defects. `host` is the host that the request was sent to.
    void plant_defect(const std::string& request, std::uint32_t pooler, std::uint32_t host);

    static Duration duration_of_seconds(double seconds) { return Duration(std::int64_t(seconds * 1e6)); }
    static Time at_seconds(double seconds) { return Time(duration_of_seconds(seconds)); }

    const FleetOptions& options;
    Timeline timeline;
    VirtualClock clock;
    Auditor auditor;
    struct NullLogger final : routing::Logger {
        void log(routing::Level, const char*, const std::string&, const Data&) override {}
    } logger;
    RandomStream traffic_stream, work_stream, fault_stream;
    FleetSummary summary;
    Network network;
    std::vector<std::unique_ptr<Host>> hosts;
    Discovery discovery;
    Clients clients;
    FaultSchedule faults;
    std::vector<std::unique_ptr<SimulatedPooler>> poolers;

  private:
    void make_hosts();
    void start_pooler(std::unique_ptr<SimulatedPooler>& slot, std::uint32_t number, std::uint64_t seed);
    void schedule_election(std::uint32_t group);
    void elect(std::uint32_t group);
    void schedule_cleanup();
    void finish();

    // Kept until the end of the run, because connections still refer to them.
    std::vector<std::unique_ptr<SimulatedPooler>> ended_poolers_;
};

}  // namespace indigovane::lab
