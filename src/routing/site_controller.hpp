// The core's side of src/site: turns the core's times, ids and statuses into those of sites and back, and
// draws its random numbers.
#pragma once

#include <random>

#include "routing/backend_task.hpp"
#include "routing/interfaces.hpp"
#include "site/site_manager.hpp"

namespace indigovane::routing {

// What the settings' classes are to sites. `names`: by class id.
std::vector<site::Demand> site_classes(const policy::Settings& settings,
                                       const std::vector<std::string>& names);

class SiteController {
  public:
    SiteController(const site::Settings& settings, site::FleetContext fleet, std::uint64_t seed);

    static site::Time time(Time at) { return site::Time(at.time_since_epoch()); }
    static Time time(site::Time at) { return Time(at.time_since_epoch()); }

    void set(const site::Settings& settings, site::FleetContext fleet) {
        manager_.update_settings(settings, std::move(fleet));
    }
    // Whether a request is taken in while a site is lost. False: it is shed.
    bool admit(const ClientRequest& request, Time now);
    // Whether the retry budget allows one more retry of a read. Draws on it.
    bool may_retry() { return manager_.may_retry(); }
    // The listed endpoints.
    void hosts(const std::vector<site::Host>& hosts, Time now) { manager_.set_hosts(hosts, time(now)); }
    void task_sent(EndpointId endpoint, Time now);
    void task_ended(EndpointId endpoint, const BackendTask& task, policy::AttemptStatus status,
                    Duration connect_timeout, Time now);
    void response_started(EndpointId endpoint, Time now);
    void report_received(EndpointId endpoint, std::optional<policy::Role> role,
                         const policy::LoadReport& report);
    void record_latency(const ClientRequest& request, Duration latency);
    // False: there is no such site, or it is so already.
    bool drain(std::uint32_t zone, bool on, Time now) {
        return manager_.drain(site::SiteId{zone}, on, time(now));
    }

    struct EndpointChange {
        enum class Kind { exclude, readmit, check_health } kind;
        EndpointId endpoint{};
        std::optional<Time> started;  // of one that is readmitted: it counts as started then
        bool unresponsive = false;    // excluded because nothing comes from there
    };
    // What is to be done about endpoints now. Changes of a site's state are logged.
    std::vector<EndpointChange> take_changes(Time now, Logger& logger);
    // When take_changes() is to be called; none: not before something happens.
    std::optional<Time> next() const;
    Duration retry_after() const { return manager_.settings().retry_after; }
    const site::SiteManager& manager() const { return manager_; }

  private:
    double draw();

    std::mt19937_64 random_;
    site::SiteManager manager_;
};

}  // namespace indigovane::routing
