// Recovery ramp of one site: decides when this pooler readmits each of its hosts.
//
// Each pooler readmits each host at a random time within the ramp. The load from all poolers together
// therefore grows evenly from the initial share to all hosts, for any number of poolers and without messages
// between them. Hosts of groups with the highest load ratio come first. Settings: initial_share,
// probe_before_readmission, probe_interval. The length comes from SiteHealth::ramp. Source:
// docs/site-loss.md, "The way back".
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

class RecoveryRamp {
  public:
    struct Parameters {
        Duration length{};
        double initial_share = 0;  // share of the hosts that is readmitted at once, from 0 to 1
        // A host is readmitted only if it has answered since the start of the ramp. It is probed until then.
        bool requires_answer = false;
    };

    // Starts the ramp for `hosts`. `load_ratio` returns the load of a group's remaining members as a multiple
    // of their usual load, at least 1. `draw` returns a uniform number in [0, 1). It is called once for each
    // host, in the order of `hosts`.
    void start(const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio,
               const Parameters& parameters, const std::function<double()>& draw, Time now);

    void record_answer(HostId host);

    struct DueHosts {
        std::vector<HostId> to_probe;
        std::vector<HostId> to_readmit;  // these have left the ramp
    };
    // Returns the hosts that are to be probed or readmitted now. A host is probed once per `probe_interval`.
    DueHosts take_due_hosts(Time now, Duration probe_interval);

    void remove(HostId host) { excluded_.erase(host); }
    // All hosts have been readmitted or removed.
    bool is_finished() const { return excluded_.empty(); }

  private:
    struct Readmission {
        Time due{};
        bool has_answered = false;  // since the start of the ramp
        std::optional<Time> last_probe;
    };
    std::map<HostId, Readmission> excluded_;  // hosts that are not readmitted yet
    bool requires_answer_ = false;
};

}  // namespace indigovane::site
