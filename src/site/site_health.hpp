// Health of sites: derives the state of each site from the evidence, with hysteresis.
//
// A site is lost when three conditions hold: enough of its hosts have left work unanswered since the last
// answer of the site, that answer is at least `unresponsive_after` old, and another site answers now. If most
// of the listed hosts belong to unresponsive sites, the site is partitioned instead, because the fault may be
// on this side. A loss lasts for at least `min_exclusion`, doubled with each relapse up to `max_exclusion`.
// After that it ends when `min_recovered_hosts` have answered, or when no evidence has confirmed it for
// `unconfirmed_loss_timeout`.
//
// Settings: those under "Detection" and "Recovery" (settings.hpp). Source: docs/site-loss.md, "Verdict".
#pragma once

#include <map>
#include <utility>

#include "site/contact_evidence.hpp"
#include "site/settings.hpp"

namespace indigovane::site {

struct SiteHealth {
    SiteState state = SiteState::reachable;
    Time since{};             // when the site entered this state
    SiteEvidence evidence{};  // evidence on which it entered this state
    // Number of losses that followed each other within Settings::relapse_window.
    unsigned losses = 0;
    std::optional<Time> last_loss;
    Time last_confirmed{};  // latest evidence that the lost site is unresponsive
    Time excluded_until{};  // the loss lasts at least until then
    Duration ramp{};        // length of the latest recovery ramp
    // Most of the hosts have restarted, or reset connections, during the loss.
    bool has_restarted = false;
    // The hosts have not restarted: the site was partitioned or drained.
    bool is_warm = false;
    bool is_drain_ordered = false;  // operators have drained the site
};

// A change of a site's state. SiteManager takes the actions that follow from it and returns it for the log.
struct StateChange {
    SiteId site{};
    SiteState before{};
    SiteState after{};
    SiteEvidence evidence{};
    const char* reason = "";  // text of the log line, with static storage duration
};

class SiteHealthTracker {
  public:
    explicit SiteHealthTracker(const Settings& settings) : settings_(settings) {}

    // Evaluates all sites. Work in flight for `response_timeout` counts as unanswered.
    std::vector<StateChange> evaluate(const ContactEvidence& evidence, Time now, Duration response_timeout);

    // Records that a host of a lost or partitioned site has answered a probe or a trial request. Ignored in
    // other states.
    void record_answer(SiteId site, HostId host, Time now);
    // Records that most hosts of a site have restarted, so that they need a slow start.
    void mark_restarted(SiteId site) { sites_[site].has_restarted = true; }
    // Called when all hosts of a recovering site are in use again. None: the site is not recovering.
    std::optional<StateChange> complete_recovery(SiteId site, Time now);
    // Starts or ends a drain by operators. None: the site is already in the requested state.
    std::optional<StateChange> drain(SiteId site, bool drained, Time now);

    const SiteHealth& of_site(SiteId site) const;
    // The site is lost or partitioned, and one of its hosts has answered since then.
    bool answered_since_loss(SiteId site) const;
    // No site answers. This pooler's own link is then considered to be down, and no site is lost.
    bool uplink_down() const { return uplink_down_; }
    // Returns true once after each recovery of this pooler's own link.
    bool take_uplink_recovered() { return std::exchange(uplink_recovered_, false); }
    // At least one site is not in state `reachable`.
    bool has_any_fault() const;
    const std::map<SiteId, SiteHealth>& sites() const { return sites_; }
    void update_settings(const Settings& settings) { settings_ = settings; }

  private:
    // Evidence of all sites at one time.
    struct FleetEvidence {
        std::map<SiteId, SiteEvidence> sites;
        unsigned unresponsive_hosts = 0;    // ready hosts of lost, partitioned and unresponsive sites
        unsigned answering_hosts = 0;       // ready hosts of all other sites
        bool has_answering_site = false;    // one of the other sites answers now
        bool has_unsuspected_site = false;  // one of the other sites has no unresponsive host
    };
    FleetEvidence collect_evidence(const ContactEvidence& evidence, Time now, Duration response_timeout);
    bool is_uplink_down(const FleetEvidence& fleet, Time now) const;
    std::optional<StateChange> evaluate_lost(SiteId site, const SiteEvidence& evidence, Time now);
    std::optional<StateChange> evaluate_not_lost(SiteId site, const SiteEvidence& evidence,
                                                 const FleetEvidence& fleet, Time now);
    bool is_unresponsive(const SiteEvidence& evidence, Time now) const;
    bool is_degraded(const SiteEvidence& evidence) const;
    // Changes the state of a site. No other function changes it.
    StateChange enter_state(SiteId site, SiteState state, Time now, const SiteEvidence& evidence,
                            const char* reason);
    void begin_loss(SiteHealth& health, SiteState state, Time now, const SiteEvidence& evidence) const;

    Settings settings_;
    std::map<SiteId, SiteHealth> sites_;
    std::map<SiteId, std::map<HostId, Time>>
        answers_;  // latest answers of lost and partitioned sites since the loss
    bool uplink_down_ = false;
    bool uplink_recovered_ = false;
};

// Lost or partitioned: by its own evidence, this pooler sends the site no new work.
bool is_lost(SiteState state);
// Lost, partitioned or drained: hosts that are added to the site stay excluded.
bool is_excluded(SiteState state);

}  // namespace indigovane::site
