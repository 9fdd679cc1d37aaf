// Site manager: one pooler's decisions about sites. What it sees of hosts goes in as events, what is to be
// done comes out as actions. It picks no host for any request: it says which hosts get no new work for now,
// and the routing policy chooses among the others.
//
// It wires the parts and holds the set of excluded hosts: contact_evidence (facts), site_health (states),
// probe_scheduler, recovery_ramp (readmission), load_shedder with failover_plan and tenant_admission,
// retry_budget. Source: docs/site-loss.md.
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

struct ExcludeHost {  // no new work goes there
    HostId host{};
    bool unresponsive = false;  // nothing is to be expected of work in flight there
};
struct ReadmitHost {
    HostId host{};
    std::optional<Time> started;  // slow start from then on; none: as the endpoint list says
};
struct ProbeHost {  // a health check is to be sent
    HostId host{};
};
struct SiteTransition {  // a change of state, for the log
    StateChange change;
    double exclusion_seconds = 0;
    double ramp_seconds = 0;
    unsigned losses = 0;
};
using SiteAction = std::variant<ExcludeHost, ReadmitHost, ProbeHost, SiteTransition>;
using SiteActions = std::vector<SiteAction>;

// What the platform's settings permit and say.
struct FleetContext {
    unsigned poolers = 1;         // in the fleet
    bool probes = false;          // health checks may be sent
    std::vector<Demand> classes;  // by class index: name, priority weight, whether the primary is needed
};

// Times never go back. One thread.
class SiteManager {
  public:
    // `draw`: uniform in [0, 1).
    SiteManager(const Settings& settings, FleetContext context, std::function<double()> draw);
    void update_settings(const Settings& settings, FleetContext context);

    // Events.
    void set_hosts(const std::vector<Host>& hosts, Time now);  // the full endpoint list
    void record_primary(HostId host);                          // was seen to act as its group's primary
    void record_sent(HostId host, Time now);  // an attempt or a probe; record_ended() follows
    void record_ended(HostId host) { evidence_.record_ended(host); }
    void record_contact(HostId host, ContactResult result, Time sent, Time now);
    void record_utilization(HostId host, double utilization) {
        shedder_.record_utilization(host, utilization);
    }
    void record_latency(GroupId group, std::size_t request_class, Duration latency);

    // False: the request is to be rejected at once.
    bool admit(const RequestArrival& arrival, Time now);
    // Before a further attempt of a read is sent. False: the retry budget is spent.
    bool may_retry();
    // By operators. False: no such site, or it is in the state asked for already.
    bool drain(SiteId site, bool drained, Time now);

    // Evaluates everything. To be called when next_evaluation() says, and may be called at any time.
    SiteActions evaluate(Time now);
    std::optional<Time> next_evaluation() const { return next_evaluation_; }

    const SiteHealthTracker& health() const { return health_; }
    const ContactEvidence& evidence() const { return evidence_; }
    const Settings& settings() const { return settings_; }
    Duration response_timeout() const;  // work in flight for longer counts as unanswered
    PlanInput plan_input(const std::set<SiteId>& lost, Time now) const;
    std::size_t excluded_hosts() const { return excluded_.size(); }
    std::uint64_t rejected() const { return shedder_.rejected(); }
    std::uint64_t retries_denied() const { return retries_denied_; }

  private:
    bool is_site_excluded(SiteId site) const { return is_excluded(health_.of_site(site).state); }
    void schedule_evaluation(Time at);  // unless one is due sooner
    void update_listed_host(const Host& host, bool known, std::optional<Time> started_before, Time now);
    void apply(const StateChange& change, Time now);
    void exclude_site(SiteId site, Time now);
    void start_recovery(SiteId site, Time now);
    void readmit_site(SiteId site, Time now);
    void readmit(HostId host, bool slow_start, Time now);
    void send_probes(Time now);
    void advance_ramps(Time now);
    void update_plan(Time now);
    bool any_unresponsive_host(Time now) const;
    ProbeScheduler::View probe_view() const;
    std::vector<Host> hosts_with_roles() const;
    bool mostly_restarted(SiteId site) const;

    Settings settings_;
    FleetContext context_;
    std::function<double()> draw_;
    ContactEvidence evidence_;
    SiteHealthTracker health_;
    ProbeScheduler prober_;
    LoadShedder shedder_;
    SiteRetryBudget retry_budget_;
    std::map<SiteId, RecoveryRamp> ramps_;  // of recovering sites
    std::set<HostId> excluded_;
    std::map<GroupId, HostId> primaries_;        // seen to act as such
    SiteActions actions_;                        // of the evaluation under way
    std::vector<StateChange> operator_changes_;  // applied by the next evaluation
    std::optional<Time> next_evaluation_;
    std::uint64_t retries_denied_ = 0;
    double usual_latency_us_ = 0;  // averaged
    bool plan_outdated_ = false;
};

}  // namespace indigovane::site
