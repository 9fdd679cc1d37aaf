// What operators and the loss of sites lay over the endpoint list: an excluded endpoint drains whatever the
// list says, and one that is readmitted counts as started then, so that it warms up again. The one place that
// knows how these combine.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "routing/types.hpp"

namespace indigovane::routing {

class EndpointOverlays {
  public:
    using Readmissions = std::map<std::string, Time>;  // by uid

    // Replaces the set that operators exclude. What leaves it is readmitted now. Returns the uids whose
    // overlay has changed: the readmitted ones first, then the excluded ones.
    std::vector<std::string> set_operator_exclusions(const std::set<std::string>& uids, Time now);
    bool excluded_by_operators(const std::string& uid) const { return operator_exclusions_.count(uid) > 0; }
    const Readmissions& operator_readmissions() const { return operator_readmissions_; }
    // From another process of this pooler; the later time counts.
    void merge_operator_readmission(const std::string& uid, Time at);
    void forget_operator_readmissions(Time before);

    void exclude_by_site(EndpointId endpoint) { by_site_[endpoint].excluded = true; }
    // `started`: it counts as started then; none: as before.
    void readmit_by_site(EndpointId endpoint, std::optional<Time> started);
    void forget(EndpointId endpoint) { by_site_.erase(endpoint); }

    // The endpoint as the routing policy is to see it.
    policy::EndpointEntry apply(EndpointId endpoint, const EndpointInfo& info, const Clock& clock) const;

  private:
    struct SiteOverlay {
        bool excluded = false;
        std::optional<Time> readmitted;
    };
    std::set<std::string> operator_exclusions_;
    Readmissions operator_readmissions_;
    std::map<EndpointId, SiteOverlay> by_site_;
};

// When the endpoint's host started, by the list; none: long ago.
std::optional<Time> listed_start(const EndpointInfo& info, const Clock& clock);

}  // namespace indigovane::routing
