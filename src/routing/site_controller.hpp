// The core's interface to src/site. It converts the core's times, ids and statuses to those of src/site and
// back, and supplies random numbers.
#pragma once

#include <random>

#include "routing/backend_task.hpp"
#include "routing/interfaces.hpp"
#include "site/site_manager.hpp"

namespace indigovane::routing {

// The demand that each class of the settings places on sites. `names` holds the class names by class id.
std::vector<site::Demand> site_classes(const policy::Settings& settings,
                                       const std::vector<std::string>& names);

class SiteController {
  public:
    SiteController(const site::Settings& settings, site::FleetContext fleet, std::uint64_t seed);

    static site::Time time(Time at) { return site::Time(at.time_since_epoch()); }
    static Time time(site::Time at) { return Time(at.time_since_epoch()); }

    void update_settings(const site::Settings& settings, site::FleetContext fleet) {
        manager_.update_settings(settings, std::move(fleet));
    }
    // Whether a request is admitted. False: it is shed, because a site is lost.
    bool admit(const ClientRequest& request, Time now);
    // Whether the retry budget allows one more retry of a read. A retry that is allowed is charged to the
    // budget.
    bool may_retry() { return manager_.may_retry(); }
    // Replaces the listed endpoints.
    void set_hosts(const std::vector<site::Host>& hosts, Time now) { manager_.set_hosts(hosts, time(now)); }
    void task_sent(EndpointId endpoint, Time now);
    void task_ended(EndpointId endpoint, const BackendTask& task, policy::AttemptStatus status,
                    Duration connect_timeout, Time now);
    void response_started(EndpointId endpoint, Time now);
    void report_received(EndpointId endpoint, std::optional<policy::Role> role,
                         const policy::LoadReport& report);
    void record_latency(const ClientRequest& request, Duration latency);
    // Starts or ends the draining of a site. False: there is no such site, or it is in that state already.
    bool drain(std::uint32_t zone, bool on, Time now) {
        return manager_.drain(site::SiteId{zone}, on, time(now));
    }

    struct EndpointChange {
        enum class Kind { exclude, readmit, check_health } kind;
        EndpointId endpoint{};
        std::optional<Time> started;  // a readmitted endpoint counts as started at this time
        bool unresponsive = false;    // the endpoint is excluded because its site doesn't answer
    };
    // Evaluates the sites. Returns the changes to apply to endpoints now, and logs changes of a site's state.
    std::vector<EndpointChange> take_changes(Time now, Logger& logger);
    // When take_changes() must be called next; nullopt: not before another event.
    std::optional<Time> next_evaluation() const;
    // The retry-after time for requests that are rejected because a site is lost.
    Duration retry_after() const { return manager_.settings().retry_after; }
    const site::SiteManager& manager() const { return manager_; }

  private:
    double draw();  // in [0, 1)

    std::mt19937_64 random_;
    site::SiteManager manager_;
};

}  // namespace indigovane::routing
