// The way back of one site: which of its hosts this pooler uses again, and when.
#pragma once

#include <functional>
#include <map>

#include "site/types.hpp"

namespace indigovane::site {

// Each pooler lets each host in at a moment of its own within the ramp: the sum over poolers grows evenly
// from the trickle to all, whatever their number, without a word between them. Hosts of groups that are most
// strained come first. A host is let in only once it has answered a probe since, where probes can be sent.
class Ramp {
  public:
    // `strain`: of a host's group, 1 and up. `draw`: uniform in [0, 1).
    void begin(const std::vector<Host>& hosts, const std::function<double(GroupId)>& load_ratio,
               Duration length, double trickle, bool probes, const std::function<double()>& draw, Time now);
    void answered(HostId host);  // since the ramp's beginning
    struct Due {
        std::vector<HostId> probe, let_in;
    };
    Due due(Time now, Duration probe_every);
    bool over() const { return waiting_.empty(); }

    void gone(HostId host) { waiting_.erase(host); }

  private:
    struct Step {
        Time at{};
        bool answered = false;
        Time probed = Time::min();
    };
    std::map<HostId, Step> waiting_;
    bool probes_ = false;
};

}  // namespace indigovane::site
