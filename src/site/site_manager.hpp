// One pooler's mind about sites: what it is told goes in, what is to be done comes out. It picks no host for
// any request: it says which hosts are out of use for now, and the module chooses among the others.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <variant>

#include "site/ramp.hpp"
#include "site/shed.hpp"
#include "site/site_health.hpp"

namespace indigovane::site {

struct ExcludeHost {  // nothing new goes there
    HostId host{};
    bool silent = false;  // nothing is to be expected of what is out there
};
struct ReadmitHost {
    HostId host{};
    std::optional<Time> started;  // it counts as cold since then; none: as the list says
};
struct ProbeHost {
    HostId host{};
};
struct SiteTransition {  // a change of phase, for the log
    Change change;
    double hold_s = 0, ramp_s = 0;
    unsigned falls = 0;
};
using SiteAction = std::variant<ExcludeHost, ReadmitHost, ProbeHost, SiteTransition>;
using SiteActions = std::vector<SiteAction>;

// What the platform's settings permit and say.
struct FleetContext {
    unsigned fleet = 1;
    bool probes = false;
    std::vector<Demand> classes;  // by class id: name, worth, whether the primary is needed
};

class SiteManager {
  public:
    // `draw`: uniform in [0, 1).
    SiteManager(const Settings& settings, FleetContext around, std::function<double()> draw);

    // Events. Times never go back.
    void hosts(const std::vector<Host>& hosts, Time now);
    void primary(HostId host);         // was seen to act as its group's primary
    void sent(HostId host, Time now);  // an attempt or a probe; over() follows
    void over(HostId host) { evidence_.over(host); }
    void sign(HostId host, ContactResult sign, Time sent, Time now);
    void busy(HostId host, double share) { shedder_.busy(host, share); }
    void took(GroupId group, std::size_t request_class, Duration latency);
    Duration response_timeout() const;  // with work that is out
    // False: the request is to be refused at once.
    bool admit(Shedder::Arrival arrival, Time now);
    // A further attempt of a read that is about to be sent. False: it may not.
    bool may_retry();
    // Looks at everything. To be called when next() says, and may be called at any time.
    SiteActions tick(Time now);
    std::optional<Time> next() const { return next_; }

    // Operators. False: no such site, or it is as asked already.
    bool drain(SiteId site, bool on, Time now);
    void set(const Settings& settings, FleetContext around);

    const SiteHealthTracker& verdicts() const { return verdicts_; }
    const Evidence& evidence() const { return evidence_; }

    PlanInput plan_input(const std::set<SiteId>& lost, Time now) const;

    std::size_t site_excluded() const { return out_.size(); }
    std::uint64_t refused() const { return shedder_.refused(); }
    std::uint64_t repeats_held_back() const { return held_back_; }
    const Settings& settings() const { return set_; }

  private:
    void apply(const Change& change, Time now);
    void hold_site(SiteId site, Time now);
    void let_in(HostId host, bool cold, Time now);
    void plan(Time now);
    void probe_lost(SiteId site, const SiteHealth& verdict, Time now);
    void confirm(Time now);
    void probe_one(std::vector<HostId>& of);  // by chance, and takes it out
    Duration probe_interval(SiteId site) const;
    std::vector<HostId> ready_hosts(SiteId site) const;
    std::vector<Host> with_roles() const;
    bool away(SiteId site) const;
    bool mostly_started(SiteId site) const;
    bool in_trouble() const { return verdicts_.any_trouble(); }

    Settings set_;
    FleetContext around_;
    std::function<double()> draw_;
    Evidence evidence_;
    SiteHealthTracker verdicts_;
    Shedder shedder_;
    RetryBudget retry_budget_;
    std::map<SiteId, Ramp> ramps_;
    struct Asked {
        Time last, due;  // the next one
    };
    std::map<SiteId, Asked> probed_;  // given up ones
    std::map<SiteId, Time> confirmed_;
    std::set<HostId> out_;                 // held out
    std::map<GroupId, HostId> primaries_;  // seen to act as such
    std::map<SiteId, std::size_t> turn_;   // whose turn it is to be probed
    SiteActions effects_;
    std::vector<Change> ordered_;  // by operators, not noted yet
    std::optional<Time> next_;
    std::uint64_t held_back_ = 0;
    double usual_ = 0;  // answer time, us, averaged
    bool plan_due_ = false;
};

}  // namespace indigovane::site
