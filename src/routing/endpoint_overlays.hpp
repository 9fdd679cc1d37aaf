// Changes that operators and lost sites apply on top of the endpoint list. An excluded endpoint drains
// whatever the list says. A readmitted endpoint counts as started at its readmission, so that it warms up
// again. Only this class combines the two sources of exclusions.
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

    // Replaces the set of uids that operators exclude. A uid that leaves the set is readmitted at `now`.
    // Returns the uids that have changed: first the readmitted ones, then the newly excluded ones.
    std::vector<std::string> set_operator_exclusions(const std::set<std::string>& uids, Time now);
    bool excluded_by_operators(const std::string& uid) const { return operator_exclusions_.count(uid) > 0; }
    const Readmissions& operator_readmissions() const { return operator_readmissions_; }
    // Adds a readmission that another process of this pooler has recorded. The later time counts.
    void merge_operator_readmission(const std::string& uid, Time at);
    // Forgets readmissions that are older than this time.
    void forget_operator_readmissions(Time before);

    void exclude_by_site(EndpointId endpoint) { site_overlays_[endpoint].excluded = true; }
    // The endpoint counts as started at `started`; nullopt leaves its start unchanged.
    void readmit_by_site(EndpointId endpoint, std::optional<Time> started);
    // The endpoint has left the list while its site excluded it, and is listed again. The site manager has
    // forgotten that exclusion and excludes the endpoint again if its site is still lost.
    void end_site_exclusion(EndpointId endpoint);
    // Forgets what sites have set for the endpoint.
    void forget(EndpointId endpoint) { site_overlays_.erase(endpoint); }

    // The list entry of the endpoint for the routing policy, with all exclusions and readmissions applied.
    policy::EndpointEntry apply(EndpointId endpoint, const EndpointInfo& info, const Clock& clock) const;

  private:
    struct SiteOverlay {
        bool excluded = false;
        std::optional<Time> readmitted;
    };
    std::set<std::string> operator_exclusions_;
    Readmissions operator_readmissions_;
    std::map<EndpointId, SiteOverlay> site_overlays_;
};

// When the endpoint's host started according to the list; nullopt: long ago.
std::optional<Time> listed_start(const EndpointInfo& info, const Clock& clock);

}  // namespace indigovane::routing
