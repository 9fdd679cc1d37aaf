// Recovery ramp of one site: which of its hosts this pooler uses again, and when.
//
// Each pooler readmits each host at a moment of its own within the ramp, so that the sum over all poolers
// grows evenly from the initial share to all hosts, whatever their number and without any exchange. Hosts of
// groups with the highest load ratio come first. Settings: initial_share, probe_before_readmission,
// probe_interval; the length is the tracker's (site_health.hpp). Source: docs/site-loss.md, "The way back".
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
        double initial_share = 0;  // of the hosts, readmitted at once
        bool probes = false;       // each host is readmitted only after an answer since the start
    };

    // `load_ratio`: load of a group's remaining members as a multiple of the usual, 1 and up.
    // `draw`: uniform in [0, 1); drawn once for each host, in the order given.
    void start(const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio,
               const Parameters& parameters, const std::function<double()>& draw, Time now);

    void record_answer(HostId host);

    struct Due {
        std::vector<HostId> probe;
        std::vector<HostId> readmit;  // no longer part of the ramp
    };
    Due take_due(Time now, Duration probe_interval);

    void remove(HostId host) { excluded_.erase(host); }
    bool finished() const { return excluded_.empty(); }

  private:
    struct Readmission {
        Time due{};
        bool answered = false;
        std::optional<Time> probed;
    };
    std::map<HostId, Readmission> excluded_;
    bool probes_ = false;
};

}  // namespace indigovane::site
