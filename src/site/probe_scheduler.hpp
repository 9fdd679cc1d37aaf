// Schedule of health checks (probes) of sites: which host is probed when, to confirm a suspected loss and to
// notice the end of one. All poolers together probe no host more often than `probes_per_host_per_second`.
// Settings: confirmation_probes, probe_interval, probes_per_host_per_second, evidence_window,
// unresponsive_after. Source: docs/site-loss.md, "Probes" and "Steps as evidence grows".
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "site/site_health.hpp"

namespace indigovane::site {

class ProbeScheduler {
  public:
    // What the schedule reads; owned by the caller.
    struct View {
        const ContactEvidence& evidence;
        const SiteHealthTracker& health;
        const std::set<HostId>& excluded;  // hosts that get no new work
        unsigned poolers = 1;              // in the fleet
        Duration response_timeout{};
    };

    // `draw`: uniform in [0, 1).
    ProbeScheduler(const Settings& settings, std::function<double()> draw)
        : settings_(settings), draw_(std::move(draw)) {}
    void update_settings(const Settings& settings) { settings_ = settings; }

    // Probes that confirm or clear a suspicion: where a host is unresponsive and nothing has come from its
    // site since, some others of the site, and one host of each other site that has not answered lately.
    std::vector<HostId> confirmation_probes(const View& view, Time now);

    // The host of a lost or partitioned site that is to be tried now, if one is: by turns where it is probed.
    std::optional<HostId> recovery_probe(const View& view, SiteId site, Time now);
    // The same where no probes may be sent: a host chosen at random, for a trial request.
    std::optional<HostId> recovery_trial(const View& view, SiteId site, Time now);

  private:
    struct Schedule {
        Time last;
        Time due;  // the next one
    };
    bool is_suspected(const SiteEvidence& evidence, const View& view, Time now) const;
    bool take_confirmation(SiteId site, const SiteEvidence& evidence, const View& view, Time now);
    void confirm_site(SiteId site, const View& view, std::vector<HostId>& probes);
    void confirm_uplink(SiteId suspected, const View& view, Time now, std::vector<HostId>& probes);
    HostId take_random(std::vector<HostId>& hosts);
    // The site's hosts, if one of them is due; schedules the next.
    std::vector<HostId> take_due_candidates(const View& view, SiteId site, Time now);
    // Between two probes of one site by one pooler, if each does the same.
    Duration fair_interval(double probes, unsigned hosts, unsigned poolers) const;

    Settings settings_;
    std::function<double()> draw_;
    std::map<SiteId, Schedule> recovery_;         // of lost and partitioned sites
    std::map<SiteId, Time> confirmed_;            // last confirmation by probes
    std::map<SiteId, std::size_t> next_in_turn_;  // index into the site's ready hosts
};

}  // namespace indigovane::site
