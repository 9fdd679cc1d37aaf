// Schedule of the health checks (probes) of sites: decides which host is probed when, to confirm a suspected
// loss and to detect the end of a loss. All poolers together probe no host more often than
// `probes_per_host_per_second`. Settings: confirmation_probes, probe_interval, probes_per_host_per_second,
// evidence_window, unresponsive_after. Source: docs/site-loss.md, "Probes" and "Steps as evidence grows".
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "site/site_health.hpp"

namespace indigovane::site {

class ProbeScheduler {
  public:
    // State that the schedule reads. The caller owns it.
    struct View {
        const ContactEvidence& evidence;
        const SiteHealthTracker& health;
        const std::set<HostId>& excluded;  // hosts that get no new work
        unsigned poolers = 1;              // number of poolers in the fleet
        Duration response_timeout{};
    };

    // `draw` returns a uniform number in [0, 1).
    ProbeScheduler(const Settings& settings, std::function<double()> draw)
        : settings_(settings), draw_(std::move(draw)) {}
    void update_settings(const Settings& settings) { settings_ = settings; }

    // Returns the hosts to probe in order to confirm or rule out a suspected loss. A site is suspected when
    // one of its hosts is unresponsive and no host of the site has answered since. The probes go to some
    // other hosts of the site and to one host of each other site that has not answered lately.
    std::vector<HostId> confirmation_probes(const View& view, Time now);

    // Returns the host of a lost or partitioned site to probe now, in round-robin order. None: no probe is
    // due.
    std::optional<HostId> recovery_probe(const View& view, SiteId site, Time now);
    // Returns a random host of a lost or partitioned site that is to get a trial request. Used where probes
    // are not allowed. None: no trial is due.
    std::optional<HostId> recovery_trial(const View& view, SiteId site, Time now);

  private:
    struct Schedule {
        Time last_probe;
        Time next_probe;
    };
    bool is_suspected(const SiteEvidence& evidence, const View& view, Time now) const;
    bool take_due_confirmation(SiteId site, const SiteEvidence& evidence, const View& view, Time now);
    void add_site_probes(SiteId site, const View& view, std::vector<HostId>& probes);
    void add_uplink_probes(SiteId suspected, const View& view, Time now, std::vector<HostId>& probes);
    HostId take_random_host(std::vector<HostId>& hosts);
    // Returns the ready hosts of a site if a probe of one of them is due, and schedules the next probe.
    std::vector<HostId> take_due_candidates(const View& view, SiteId site, Time now);
    // Returns the interval at which each pooler may send `probe_count` probes to a site with `hosts` hosts,
    // so that all poolers together stay within the rate per host.
    Duration fair_interval(double probe_count, unsigned hosts, unsigned poolers) const;

    Settings settings_;
    std::function<double()> draw_;
    std::map<SiteId, Schedule> recovery_schedules_;  // of lost and partitioned sites
    std::map<SiteId, Time> last_confirmation_;       // when confirmation probes were last sent
    std::map<SiteId, std::size_t> next_in_turn_;     // index into the ready hosts of a site
};

}  // namespace indigovane::site
