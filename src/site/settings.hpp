// Settings for the loss and recovery of a site, read from table [sites] of the operators' file
// (deploy/sites.toml). The key of each setting is in parentheses. src/program/site_config.cpp reads and
// checks them. Shares are from 0 to 1. Meaning and reasons: docs/site-loss.md.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

struct Settings {
    bool enabled = false;

    // ---- Detection (site_health.hpp, probe_scheduler.hpp).

    // (quiet) A site is unresponsive when it has answered nothing for this long.
    Duration unresponsive_after = milliseconds(400);
    // (fresh) Evidence older than this does not count. Must be longer than `unresponsive_after`.
    Duration evidence_window = seconds(2);
    // (doubt) A site is degraded when at least this share of its hosts with evidence is unresponsive.
    double degraded_share = 0.5;
    // (least) A lost or degraded site has at least this many unresponsive hosts, or all hosts if it has
    // fewer.
    unsigned min_unresponsive_hosts = 3;
    // (witness) A lost site has at least this share of unresponsive hosts among those that this pooler uses.
    double lost_share = 0.34;
    // (confirm) Number of hosts of a site that are probed when one of its hosts is unresponsive. 0: none.
    unsigned confirmation_probes = 3;
    // Work in flight counts as unanswered after this multiple of the usual latency.
    double response_timeout_multiple = 4;
    // (stall) An evaluation that comes later than requested by more than this means that this process was
    // paused.
    Duration process_pause_threshold = milliseconds(1000);
    // (lapse) A loss ends when no new evidence has confirmed it for this long. The site is then tried again.
    Duration unconfirmed_loss_timeout = seconds(15);

    // ---- Recovery (site_health.hpp, recovery_ramp.hpp). Exclusion and ramp double with each relapse.

    // (hold) A lost site stays excluded for at least this long.
    Duration min_exclusion = seconds(1);
    // (hold_most) Upper bound of the exclusion after relapses.
    Duration max_exclusion = seconds(16);
    // (flap_memory) A loss within this time after the previous loss is a relapse.
    Duration relapse_window = seconds(60);
    // (back) Number of hosts that must answer before the recovery starts.
    unsigned min_recovered_hosts = 2;
    // (ramp) Length of the ramp when the hosts of the site have restarted.
    Duration restart_ramp = seconds(4);
    // (ramp_unsure) Length of the ramp when it is unknown whether they have restarted.
    Duration default_ramp = seconds(1);
    // (ramp_warm) Length of the ramp when they have not restarted: after a partition or a drain.
    Duration warm_ramp = milliseconds(500);
    // (ramp_most) Upper bound of the ramp after relapses.
    Duration max_ramp = seconds(30);
    // (trickle) Share of the site's hosts that is readmitted at the start of the ramp.
    double initial_share = 0.05;
    // (ramp_probes) Each host must answer a probe before it is readmitted.
    bool probe_before_readmission = false;
    // (probe_every) Minimum time between two probes of a lost site by this pooler.
    Duration probe_interval = milliseconds(250);
    // (probes_per_host) Maximum rate of probes of one host by all poolers together.
    double probes_per_host_per_second = 10;

    // ---- Load shedding and retries (failover_plan.hpp, tenant_admission.hpp, retry_budget.hpp).

    // (ceiling) Maximum load of a host in a plan, as a share of its capacity. Requests would queue above it.
    double max_utilization = 0.8;
    // (floor) Share of each class that is admitted at any load.
    double min_class_share = 0.05;
    // (starve) At least one request of each class and tenant is admitted in each interval of this length.
    Duration starvation_interval = seconds(2);
    // (last) Classes that are shed last, the most protected one first.
    std::vector<std::string> protected_classes;
    // (by_tenant) Tenants of a class are shed by max-min fairness.
    bool tenant_fairness = true;
    // (shares) Weights of tenants. A tenant that is not named has weight 1.
    std::map<std::string, double> tenant_shares;
    // (by_age) Retries and requests with little time left are shed before the other requests of a tenant.
    bool shed_late_first = true;
    // (repeat_income) Retries of reads that each request adds to the retry budget. The budget is spent while
    // a site has a fault.
    double retry_budget_ratio = 0.2;
    // (repeat_most) Maximum of the retry budget, in retries.
    double max_retry_budget = 20;
    // (retry_after) Time after which the client of a rejected request is told to retry.
    Duration retry_after = milliseconds(500);

    // ---- Parts that can be switched off one by one.

    // (hold_out) Hosts of a lost site get no new work.
    bool exclude = true;
    // (rescue) Idempotent work in flight on hosts of a lost site is retried elsewhere.
    bool abandon_unresponsive = true;
    // (shed) Requests are rejected according to the failover plan.
    bool shed_by_plan = false;
    // (budget) Retries of reads are limited by the retry budget.
    bool limit_retries = true;
    // (pace) Hosts are readmitted along the recovery ramp, and restarted hosts have a slow start.
    bool pace_recovery = true;
    // (doubt_self) Faults of this pooler's own link and pauses of its process are ruled out before a site is
    // lost.
    bool detect_own_faults = true;
};

}  // namespace indigovane::site
