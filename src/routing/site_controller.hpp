// The core's side of src/site: the module's times, ids and statuses turned into those of sites, and draws.
#pragma once

#include <random>

#include "routing/interfaces.hpp"
#include "site/site_manager.hpp"

namespace indigovane::routing {

// What the settings' classes are to sites. Names: by class id.
std::vector<site::Demand> site_classes(const policy::Settings& settings,
                                       const std::vector<std::string>& names);

class SiteController {
  public:
    SiteController(const site::Settings& settings, site::FleetContext around, std::uint64_t seed);

    static site::Time time(Time t) { return site::Time(t.time_since_epoch()); }
    static Time time(site::Time t) { return Time(t.time_since_epoch()); }

    void set(const site::Settings& settings, site::FleetContext around) {
        manager_.update_settings(settings, std::move(around));
    }
    bool admit(const ClientRequest& item, Time now);
    bool may_retry() { return manager_.may_retry(); }
    void hosts(const std::vector<site::Host>& hosts, Time now) { manager_.set_hosts(hosts, time(now)); }
    void ended(EndpointId endpoint, bool probe, Time sent, policy::AttemptStatus status,
               Duration connect_timeout, Time now);
    void sent(EndpointId endpoint, Time now);
    void begun(EndpointId endpoint, Time now);
    void heard(EndpointId endpoint, std::optional<policy::Role> role, const policy::LoadReport& report);
    void took(const ClientRequest& item, Duration latency);
    bool drain(std::uint32_t zone, bool on, Time now) {
        return manager_.drain(site::SiteId{zone}, on, time(now));
    }

    struct Use {  // what is to be done about a member
        enum class What { exclude, let_in, probe } what;
        EndpointId endpoint{};
        std::optional<Time> started{};
        bool silent = false;  // held out because nothing comes from there
    };
    std::vector<Use> look(Time now, Logger& logger);
    std::optional<Time> next() const;
    Duration retry_after() const { return manager_.settings().retry_after; }
    const site::SiteManager& manager() const { return manager_; }

  private:
    double draw() { return double(random_() >> 11) * 0x1.0p-53; }
    std::mt19937_64 random_;
    site::SiteManager manager_;
};

}  // namespace indigovane::routing
