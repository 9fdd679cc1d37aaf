// From evidence to a standing of each site, with hysteresis. One slow host is no lost site; silence of all
// sites at once is no loss of them; a pooler that slept doubts itself first.
#pragma once

#include <map>
#include <utility>

#include "site/evidence.hpp"

namespace indigovane::site {

struct SiteHealth {
    SiteState standing = SiteState::reachable;
    Time since{};              // in this standing
    SiteEvidence evidence{};   // on which it was entered
    unsigned falls = 0;        // within settings.flap_memory
    std::optional<Time> fell;  // the last of them
    Time confirmed{};          // silence was last heard of, in a word
    Time look_at{};            // a loss stands until then at least
    Duration ramp{};           // of this return
    bool restarted = false;    // its hosts have started anew, or refused while they were away
    bool warm = false;         // they have not: the fault was on this side, or operators sent load away
    bool ordered = false;      // by operators
};

// A change of standing, for the log and for whoever acts on it.
struct Change {
    SiteId site{};
    SiteState before{}, now{};
    SiteEvidence evidence{};
    const char* why = "";
};

class SiteHealthTracker {
  public:
    explicit SiteHealthTracker(const Settings& settings) : set_(settings) {}

    // Looks at all sites. `own`: where this pooler runs, if that is known.
    // `patience`: see Evidence::of.
    std::vector<Change> look(const Evidence& evidence, Time now, Duration response_timeout);
    // A host of the site has answered although the site was given up: by probe or trial.
    void answered(SiteId site, HostId host, Time now);
    std::optional<Change> home(SiteId site, Time now);  // its return is over
    std::optional<Change> drain(SiteId site, bool on, Time now);
    void restarted(SiteId site) { sites_[site].restarted = true; }

    const SiteHealth& of(SiteId site) const;
    bool heard(SiteId site) const;  // given up, and one of it has answered since
    bool uplink_down() const { return uplink_down_; }
    bool uplink_is_back() { return std::exchange(uplink_back_, false); }  // once
    bool any_trouble() const;
    const std::map<SiteId, SiteHealth>& all() const { return sites_; }
    void set(const Settings& settings) { set_ = settings; }

  private:
    Change enter(SiteId site, SiteState standing, Time now, const SiteEvidence& evidence, const char* why);
    bool silent(const SiteEvidence& e, Time now) const;
    bool doubtful(const SiteEvidence& e) const;

    Settings set_;
    std::map<SiteId, SiteHealth> sites_;
    std::map<SiteId, std::map<HostId, Time>> answers_;  // of sites that were given up, since then
    bool uplink_down_ = false, uplink_back_ = false;
};

}  // namespace indigovane::site
