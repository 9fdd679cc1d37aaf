// Settings of the loss of a site, from the operators' file (deploy/sites.toml, table [sites]). The key of
// each is in parentheses; src/program/site_config.cpp maps and checks them. Shares are from 0 to 1. Meaning
// and reasons: docs/site-loss.md.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

struct Settings {
    bool enabled = false;

    // ---- Detection (site_health.hpp, probe_scheduler.hpp).

    // (quiet) A site that answers nothing for so long is unresponsive.
    Duration unresponsive_after = milliseconds(400);
    // (fresh) Older evidence does not count. Longer than `unresponsive_after`.
    Duration evidence_window = seconds(2);
    // (doubt) Unresponsive ones among the hosts with evidence, from which a site is degraded.
    double degraded_share = 0.5;
    // (least) Unresponsive hosts of a lost or degraded site; all of them, if it has fewer.
    unsigned min_unresponsive_hosts = 3;
    // (witness) Unresponsive ones among the hosts in use by this pooler, from which a site is lost.
    double lost_share = 0.34;
    // (confirm) Hosts of a site that are probed when one of it is unresponsive; 0: none.
    unsigned confirmation_probes = 3;
    // Work in flight for so many usual latencies counts as unanswered.
    double response_timeout_multiple = 4;
    // (stall) An evaluation so much later than requested means that this process was paused.
    Duration process_pause_threshold = milliseconds(1000);
    // (lapse) A loss without new evidence for so long ends, and the site is tried again.
    Duration unconfirmed_loss_timeout = seconds(15);

    // ---- Recovery (site_health.hpp, recovery_ramp.hpp). Exclusion and ramp double with each relapse.

    Duration min_exclusion = seconds(1);   // (hold)
    Duration max_exclusion = seconds(16);  // (hold_most)
    // (flap_memory) A loss so soon after the one before is a relapse.
    Duration relapse_window = seconds(60);
    // (back) Hosts that must answer before recovery starts.
    unsigned min_recovered_hosts = 2;
    // Length of the ramp where the site's hosts have restarted (ramp), where nothing says so (ramp_unsure)
    // and where they have not: a partition or a drained site (ramp_warm); (ramp_most).
    Duration restart_ramp = seconds(4);
    Duration default_ramp = seconds(1);
    Duration warm_ramp = milliseconds(500);
    Duration max_ramp = seconds(30);
    // (trickle) Of the site's hosts, readmitted at the start of the ramp.
    double initial_share = 0.05;
    // (ramp_probes) Each host answers a probe before it is readmitted.
    bool probe_before_readmission = false;
    // (probe_every) At least so long between two probes of a lost site by this pooler.
    Duration probe_interval = milliseconds(250);
    // (probes_per_host) By all poolers together.
    double probes_per_host_per_second = 10;

    // ---- Load shedding and retries (failover_plan.hpp, tenant_admission.hpp, retry_budget.hpp).

    // (ceiling) Of a host's capacity; above it requests would queue.
    double max_utilization = 0.8;
    // (floor) Of each class, admitted at any load.
    double min_class_share = 0.05;
    // (starve) At least one request of each class and tenant is admitted in so long.
    Duration starvation_interval = seconds(2);
    // (last) Classes that are shed last, the most protected first.
    std::vector<std::string> protected_classes;
    // (by_tenant) Within a class, max-min fairness over tenants.
    bool tenant_fairness = true;
    // (shares) Weights of tenants; 1 for those not named.
    std::map<std::string, double> tenant_shares;
    // (by_age) Of a tenant's requests, retries and those with little time left are shed first.
    bool shed_late_first = true;
    // (repeat_income) Retries of reads that each request earns, spent while a site has a fault.
    double retry_budget_ratio = 0.2;
    // (repeat_most) Retries saved up.
    double max_retry_budget = 20;
    // (retry_after) For the client of a rejected request.
    Duration retry_after = milliseconds(500);

    // ---- Parts that can be switched off one by one.

    bool exclude = true;               // (hold_out) no new work for hosts of a lost site
    bool abandon_unresponsive = true;  // (rescue) idempotent work in flight there is retried elsewhere
    bool shed_by_plan = false;         // (shed)
    bool limit_retries = true;         // (budget)
    bool pace_recovery = true;         // (pace) recovery ramp, and slow start of restarted hosts
    bool detect_own_faults = true;  // (doubt_self) own link and own pauses, before any site is taken for lost
};

}  // namespace indigovane::site
