// Site manager: decides for one pooler which sites are lost and what follows from it. Observations of hosts
// go in as events, decisions come out as actions. It selects no host for a request. It only decides which
// hosts get no new work, and the routing policy selects among the others.
//
// It connects the parts of this library and holds the set of excluded hosts. The parts are contact_evidence
// (facts), site_health (states), probe_scheduler, recovery_ramp (readmission), load_shedder with
// failover_plan and tenant_admission, and retry_budget. Source: docs/site-loss.md.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <variant>

#include "site/load_shedder.hpp"
#include "site/probe_scheduler.hpp"
#include "site/recovery_ramp.hpp"
#include "site/retry_budget.hpp"
#include "site/site_health.hpp"

namespace indigovane::site {

// The host gets no new work from now on.
struct ExcludeHost {
    HostId host{};
    // Work in flight on the host is not expected to be answered.
    bool unresponsive = false;
};
// The host gets new work again.
struct ReadmitHost {
    HostId host{};
    // Start of a slow start. None: the endpoint list decides whether the host has a slow start.
    std::optional<Time> started;
};
// A health check must be sent to the host.
struct ProbeHost {
    HostId host{};
};
// The state of a site has changed. Written to the log.
struct SiteTransition {
    StateChange change;
    double exclusion_seconds = 0;  // minimum length of the exclusion, if the site is lost or partitioned
    double ramp_seconds = 0;       // length of the recovery ramp, if the site is recovering
    unsigned losses = 0;           // SiteHealth::losses
};
using SiteAction = std::variant<ExcludeHost, ReadmitHost, ProbeHost, SiteTransition>;
using SiteActions = std::vector<SiteAction>;

// Facts about the fleet from the platform's settings.
struct FleetContext {
    unsigned poolers = 1;    // number of poolers in the fleet
    bool may_probe = false;  // health checks may be sent
    // One entry for each class index: name, priority weight, and whether the class needs the primary.
    std::vector<Demand> classes;
};

// Times passed to it must be monotonic. Used by one thread.
class SiteManager {
  public:
    // `draw` returns a uniform number in [0, 1).
    SiteManager(const Settings& settings, FleetContext context, std::function<double()> draw);
    void update_settings(const Settings& settings, FleetContext context);

    // Replaces the endpoint list. `hosts` is the full list.
    void set_hosts(const std::vector<Host>& hosts, Time now);
    // Records that a host was observed to act as the primary of its group.
    void record_primary(HostId host);
    // Records that an attempt or a probe was sent. record_ended() must follow.
    void record_sent(HostId host, Time now);
    void record_ended(HostId host) { evidence_.record_ended(host); }
    // `sent` is when the contact began.
    void record_contact(HostId host, ContactResult result, Time sent, Time now);
    // Records the utilization of the host's cores, from 0 to 1, as the host reports it.
    void record_utilization(HostId host, double utilization) {
        shedder_.record_utilization(host, utilization);
    }
    // Records the latency of an answer.
    void record_latency(GroupId group, std::size_t request_class, Duration latency);

    // Records the arrival of a request. False: the request must be rejected at once.
    bool admit(const RequestArrival& arrival, Time now);
    // Called before a retry of a read is sent. False: the retry budget is empty and the retry must not be
    // sent.
    bool may_retry();
    // Starts or ends a drain by operators. False: the site is unknown or already in the requested state.
    bool drain(SiteId site, bool drained, Time now);

    // Evaluates all sites and returns the actions to take. Must be called at next_evaluation(), and may be
    // called at any other time.
    SiteActions evaluate(Time now);
    std::optional<Time> next_evaluation() const { return next_evaluation_; }

    const SiteHealthTracker& health() const { return health_; }
    const ContactEvidence& evidence() const { return evidence_; }
    const Settings& settings() const { return settings_; }
    // Work that has been in flight for this long counts as unanswered.
    Duration response_timeout() const;
    // Input for a plan of the loss of `lost` sites.
    PlanInput plan_input(const std::set<SiteId>& lost, Time now) const;
    // Number of hosts that are excluded now.
    std::size_t excluded_host_count() const { return excluded_.size(); }
    // Number of requests rejected by load shedding since the start.
    std::uint64_t rejected_requests() const { return shedder_.rejected_requests(); }
    // Number of calls of may_retry() since the start that returned false.
    std::uint64_t retries_denied() const { return retries_denied_; }

  private:
    bool is_site_excluded(SiteId site) const { return is_excluded(health_.of_site(site).state); }
    // Schedules the next evaluation at `at`, unless it is due earlier.
    void schedule_evaluation(Time at);
    void update_listed_host(const Host& host, bool was_listed, std::optional<Time> started_before, Time now);
    void apply(const StateChange& change, Time now);
    void exclude_site(SiteId site, Time now);
    void start_recovery(SiteId site, Time now);
    void readmit_site(SiteId site, Time now);
    void readmit(HostId host, bool slow_start, Time now);
    void send_probes(Time now);
    void advance_ramps(Time now);
    void update_plan(Time now);
    bool has_unresponsive_host(Time now) const;
    ProbeScheduler::View probe_view() const;
    std::vector<Host> hosts_with_roles() const;
    bool has_mostly_restarted(SiteId site) const;

    Settings settings_;
    FleetContext context_;
    std::function<double()> draw_;
    ContactEvidence evidence_;
    SiteHealthTracker health_;
    ProbeScheduler probe_scheduler_;
    LoadShedder shedder_;
    SiteRetryBudget retry_budget_;
    std::map<SiteId, RecoveryRamp> ramps_;  // of recovering sites
    std::set<HostId> excluded_;
    std::map<GroupId, HostId> primaries_;        // hosts that were observed to act as primaries
    SiteActions actions_;                        // actions that evaluate() will return
    std::vector<StateChange> operator_changes_;  // to be applied by the next evaluation
    std::optional<Time> next_evaluation_;
    std::uint64_t retries_denied_ = 0;
    double average_latency_us_ = 0;
    bool plan_outdated_ = false;
};

}  // namespace indigovane::site
