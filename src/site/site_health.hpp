// Health of sites: from evidence to a state of each site, with hysteresis.
//
// The rule. A site is lost when enough of its hosts have left work unanswered since the site's last answer,
// that answer is at least `unresponsive_after` ago, and another site answers now. It is partitioned instead
// where most of the listed hosts are unresponsive: the fault may then be on this side. A loss stands for
// `min_exclusion`, doubled with each relapse up to `max_exclusion`; it ends when `min_recovered_hosts` have
// answered, or when nothing has confirmed it for `unconfirmed_loss_timeout`.
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
    Time since{};                   // in this state
    SiteEvidence evidence{};        // on which it was entered
    unsigned losses = 0;            // each within settings.relapse_window of the one before
    std::optional<Time> last_loss;  // the latest of them
    Time last_confirmed{};          // latest evidence that a lost site is unresponsive
    Time excluded_until{};          // a loss stands until then at least
    Duration ramp{};                // of the latest recovery
    bool restarted = false;         // its hosts have started anew or reset connections during the loss
    bool warm = false;              // they have not: a partition, or operators sent load away
    bool drain_ordered = false;     // by operators
};

// A change of state, for the log and for whoever acts on it.
struct StateChange {
    SiteId site{};
    SiteState before{};
    SiteState after{};
    SiteEvidence evidence{};
    const char* reason = "";  // text of the log line; static
};

class SiteHealthTracker {
  public:
    explicit SiteHealthTracker(const Settings& settings) : settings_(settings) {}

    // Evaluates all sites. `response_timeout`: see ContactEvidence::of_site.
    std::vector<StateChange> evaluate(const ContactEvidence& evidence, Time now, Duration response_timeout);

    // A host of a lost or partitioned site has answered, a probe or a trial request.
    void record_answer(SiteId site, HostId host, Time now);
    // Most of a site's hosts have started anew: they need slow start.
    void mark_restarted(SiteId site) { sites_[site].restarted = true; }
    // All hosts of a recovering site are in use again. None: the site is not recovering.
    std::optional<StateChange> complete_recovery(SiteId site, Time now);
    // By operators. None: the site is in the state asked for already.
    std::optional<StateChange> drain(SiteId site, bool drained, Time now);

    const SiteHealth& of_site(SiteId site) const;
    // Lost or partitioned, and one of its hosts has answered since.
    bool answered_since_loss(SiteId site) const;
    // No site answers: this pooler's own link is taken to be down, and no site is lost.
    bool uplink_down() const { return uplink_down_; }
    // True once after each recovery of the own link.
    bool take_uplink_recovered() { return std::exchange(uplink_recovered_, false); }
    bool any_fault() const;  // some site is not reachable
    const std::map<SiteId, SiteHealth>& sites() const { return sites_; }
    void update_settings(const Settings& settings) { settings_ = settings; }

  private:
    // Evidence of all sites at one moment.
    struct Survey {
        std::map<SiteId, SiteEvidence> sites;
        unsigned unresponsive_hosts = 0;  // listed hosts of unresponsive sites
        unsigned answering_hosts = 0;     // listed hosts of all others
        bool any_answer = false;          // some site answers now
        bool any_unused = false;          // some site has had nothing to answer lately
    };
    Survey survey(const ContactEvidence& evidence, Time now, Duration response_timeout);
    bool is_uplink_down(const Survey& survey, Time now) const;
    std::optional<StateChange> evaluate_lost(SiteId site, const SiteEvidence& evidence, Time now);
    std::optional<StateChange> evaluate_present(SiteId site, const SiteEvidence& evidence,
                                                const Survey& survey, Time now);
    bool is_unresponsive(const SiteEvidence& evidence, Time now) const;
    bool is_degraded(const SiteEvidence& evidence) const;
    // The only place where a state changes.
    StateChange enter(SiteId site, SiteState state, Time now, const SiteEvidence& evidence,
                      const char* reason);
    void begin_loss(SiteHealth& health, SiteState state, Time now, const SiteEvidence& evidence) const;

    Settings settings_;
    std::map<SiteId, SiteHealth> sites_;
    std::map<SiteId, std::map<HostId, Time>> answers_;  // of lost and partitioned sites, since the loss
    bool uplink_down_ = false;
    bool uplink_recovered_ = false;
};

// Lost or partitioned: this pooler sends nothing there on evidence of its own.
bool is_lost(SiteState state);
// Lost, partitioned or drained: new hosts of it stay excluded.
bool is_excluded(SiteState state);

}  // namespace indigovane::site
