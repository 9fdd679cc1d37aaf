// Evidence of contact: what this pooler has observed of each host, and the sum over each site. It holds facts
// only. site_health.hpp derives the state of a site from them.
//
// It reads no settings: `evidence_window` and the response timeout are arguments.
// Source: docs/site-loss.md, "Verdict".
#pragma once

#include <unordered_map>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

// Evidence about one host.
// Invariant: `unanswered_since` is set if and only if the last contact that counted was not answered.
struct HostEvidence {
    std::optional<Time> last_answer;
    // Start of the first unanswered contact since the last answer.
    std::optional<Time> unanswered_since;
    // End of the last unanswered contact since the last answer.
    std::optional<Time> last_unanswered;
    std::uint32_t unanswered_contacts = 0;  // since the last answer, including resets
    std::uint32_t resets = 0;               // since the last answer
    std::uint32_t in_flight = 0;            // attempts and probes that have not ended
    Time last_sent = Time::min();
    // While contacts are in flight: start of the first of them, or the last answer if that is later.
    Time waiting_since{};
};

// Evidence about one site: numbers of its hosts in each condition. A host may be counted in several.
struct SiteEvidence {
    unsigned hosts = 0;      // hosts to which the endpoint list allows new work; other hosts are not counted
    unsigned in_use = 0;     // hosts with work in flight or sent to within the evidence window
    unsigned answering = 0;  // hosts that answered within the window and left nothing unanswered since
    unsigned unresponsive = 0;  // hosts with work unanswered within the window, or in flight for too long
    // Unresponsive hosts with unanswered work since the last answer of any host of the site.
    unsigned newly_unresponsive = 0;
    // Unresponsive hosts most of whose unanswered contacts were resets.
    unsigned resetting = 0;
    std::optional<Time> last_answer;         // latest answer of any host of the site
    std::optional<Time> unresponsive_since;  // earliest time among the unresponsive hosts
    std::optional<Time> last_unanswered;     // latest time among the unresponsive hosts

    // Number of hosts with evidence.
    unsigned observed() const { return answering + unresponsive; }
    // Share of unresponsive hosts among those with evidence. 0: no host has evidence.
    double unresponsive_share() const {
        return observed() == 0 ? 0 : double(unresponsive) / double(observed());
    }
};

class ContactEvidence {
  public:
    // Replaces the endpoint list. Evidence about hosts that stay is retained, unless a host has restarted.
    void set_hosts(const std::vector<Host>& hosts);

    // Records that an attempt or a probe was sent. Unknown hosts are ignored.
    void record_sent(HostId host, Time now);
    // Records that a contact of record_sent() has ended, whatever its result.
    void record_ended(HostId host);
    // `sent` is when the contact began. Unknown hosts are ignored.
    void record_contact(HostId host, ContactResult result, Time sent, Time now);

    // Drops all evidence of unanswered contacts until now. Used when this process was paused or its link was
    // down: the evidence is then about this side. The response timeout of work in flight starts again.
    void discard_unanswered(Time now);
    // Drops all evidence about the hosts of a site, except for the number of contacts in flight. Their
    // response timeout starts again.
    void forget_site(SiteId site, Time now);

    // Work that has been in flight for `response_timeout` counts as unanswered before it has ended.
    SiteEvidence of_site(SiteId site, Time now, Duration evidence_window, Duration response_timeout) const;
    // Null: there is no evidence about the host.
    const HostEvidence* of_host(HostId host) const;
    // Null: the host is not in the endpoint list.
    const Host* find_host(HostId host) const;
    const std::vector<Host>& hosts() const { return hosts_; }
    // Sites of the hosts in the endpoint list, in ascending order.
    std::vector<SiteId> sites() const;

  private:
    std::vector<Host> hosts_;
    std::unordered_map<std::uint32_t, std::size_t> index_;      // position in hosts_ by host id
    std::unordered_map<std::uint32_t, HostEvidence> evidence_;  // by host id
    Time discarded_until_ = Time::min();  // unanswered contacts that began before this do not count
};

}  // namespace indigovane::site
