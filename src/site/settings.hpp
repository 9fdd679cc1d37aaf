// Settings of the loss of a site, from the operators' file (deploy/sites.toml, table [sites]). The key of
// each is in parentheses; src/program/site_config.cpp maps and checks them. Meaning and reasons:
// docs/site-loss.md.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

struct Settings {
    bool enabled = false;

    // Detection.
    Duration unresponsive_after = milliseconds(400);  // (quiet) a site that answers nothing for so long
    Duration evidence_window = seconds(2);            // (fresh) older evidence does not count
    double degraded_share = 0.5;                      // (doubt) of the hosts with evidence, unresponsive ones
    unsigned min_unresponsive_hosts = 3;              // (least) or all of the site's, if it has fewer
    double lost_share = 0.34;          // (witness) of a site's hosts in use here, unresponsive ones
    unsigned confirmation_probes = 3;  // (confirm) hosts probed when one of a site is unresponsive; 0: none
    double response_timeout_multiple = 4;  // of the usual latency: in flight for longer is unanswered
    Duration process_pause_threshold =
        milliseconds(1000);                           // (stall) an evaluation so late means a pause here
    Duration unconfirmed_loss_timeout = seconds(15);  // (lapse) a loss without new evidence is retried

    // Recovery. Exclusion and ramp double with each relapse.
    Duration min_exclusion = seconds(1);    // (hold)
    Duration max_exclusion = seconds(16);   // (hold_most)
    Duration relapse_window = seconds(60);  // (flap_memory) losses within so long of one another are relapses
    unsigned min_recovered_hosts = 2;       // (back) hosts that must answer again
    Duration restart_ramp = seconds(4);     // (ramp) where the site's hosts have started anew
    Duration default_ramp = seconds(1);     // (ramp_unsure) where nothing says that they have
    Duration warm_ramp = milliseconds(500);  // (ramp_warm) where they have not: partition or drained site
    Duration max_ramp = seconds(30);         // (ramp_most)
    double initial_share = 0.05;             // (trickle) of the hosts, readmitted at once
    bool probe_before_readmission = false;   // (ramp_probes) each host answers a probe first
    Duration probe_interval = milliseconds(250);  // (probe_every) minimum between two probes of a lost site
    double probes_per_host_per_second = 10;       // (probes_per_host) by all poolers together

    // Load shedding and retries.
    double max_utilization = 0.8;                 // (ceiling) of a host's capacity; above it requests queue
    double min_class_share = 0.05;                // (floor) of each class, admitted at any load
    Duration starvation_interval = seconds(2);    // (starve) one request of each class and tenant in so long
    std::vector<std::string> protected_classes;   // (last) shed last, the most protected first
    bool tenant_fairness = true;                  // (by_tenant) within a class, max-min fairness over tenants
    std::map<std::string, double> tenant_shares;  // (shares) weights; 1 for tenants not named
    bool shed_late_first = true;  // (by_age) of a tenant's requests, retries and late ones first
    double retry_budget_ratio =
        0.2;                       // (repeat_income) retries of reads per request, while a site has a fault
    double max_retry_budget = 20;  // (repeat_most) retries saved up
    Duration retry_after = milliseconds(500);  // told to the client of a rejected request

    // Parts that can be switched off one by one.
    bool exclude = true;               // (hold_out) no new work for hosts of a lost site
    bool abandon_unresponsive = true;  // (rescue) idempotent work in flight there is retried elsewhere
    bool shed_by_plan = false;         // (shed)
    bool limit_retries = true;         // (budget)
    bool pace_recovery = true;         // (pace) recovery ramp and slow start of restarted hosts
    bool detect_own_faults = true;     // (doubt_self) own link and own pauses, before any site is judged
};

}  // namespace indigovane::site
