// Evidence of contact: what this pooler has seen of each host, and the sum of it by site. Facts only; what
// follows from them is decided in site_health.hpp.
//
// Reads settings through its callers: `evidence_window` and the response timeout are arguments.
// Source: docs/site-loss.md, "Verdict".
#pragma once

#include <unordered_map>
#include <vector>

#include "site/types.hpp"

namespace indigovane::site {

// Invariant: `unanswered_since` is set if and only if the last contact that counted was not answered.
struct HostEvidence {
    std::optional<Time> last_answer;
    std::optional<Time> unanswered_since;  // when the first unanswered contact since the last answer was sent
    std::optional<Time> last_unanswered;   // when the last of them ended
    std::uint32_t unanswered = 0;          // their number, resets included
    std::uint32_t resets = 0;
    std::uint32_t in_flight = 0;
    Time last_sent = Time::min();
    Time waiting_since{};  // with any in flight: the first of them sent, or the last answer if that is later
};

struct SiteEvidence {
    unsigned hosts = 0;         // those that the list allows new work
    unsigned in_use = 0;        // of these: sent to within the evidence window, or with work in flight
    unsigned answering = 0;     // of these: answered within the window, nothing unanswered since
    unsigned unresponsive = 0;  // of these: work unanswered within the window, or in flight for too long
    unsigned newly_unresponsive = 0;  // of the unresponsive: since the last answer of any host of the site
    unsigned resetting = 0;           // of the unresponsive: mostly by resets
    std::optional<Time> last_answer;  // of any host
    std::optional<Time> unresponsive_since;  // earliest of the unresponsive hosts
    std::optional<Time> last_unanswered;     // latest of the unresponsive hosts

    unsigned observed() const { return answering + unresponsive; }
    double unresponsive_share() const {
        return observed() == 0 ? 0 : double(unresponsive) / double(observed());
    }
};

class ContactEvidence {
  public:
    // Replaces the endpoint list. Evidence on hosts that stay is retained, except of hosts that have
    // restarted.
    void set_hosts(const std::vector<Host>& hosts);

    void record_sent(HostId host, Time now);
    void record_ended(HostId host);  // one that was sent, however it ended
    // `sent`: when the contact began. Unknown hosts are ignored.
    void record_contact(HostId host, ContactResult result, Time sent, Time now);

    // Drops what went unanswered until now: this process was paused or its link down, so that the evidence
    // is about this side. Work in flight gets its response timeout anew.
    void discard_unanswered(Time now);
    // Drops all evidence on a site's hosts except for the number in flight.
    void forget_site(SiteId site, Time now);

    // Work in flight for `response_timeout` counts as unanswered before it has ended.
    SiteEvidence of_site(SiteId site, Time now, Duration evidence_window, Duration response_timeout) const;
    const HostEvidence* of_host(HostId host) const;  // null: nothing known
    const Host* find_host(HostId host) const;        // null: not in the list
    const std::vector<Host>& hosts() const { return hosts_; }
    std::vector<SiteId> sites() const;  // ascending

  private:
    std::vector<Host> hosts_;
    std::unordered_map<std::uint32_t, std::size_t> index_;  // into hosts_, by id
    std::unordered_map<std::uint32_t, HostEvidence> evidence_;
    Time discarded_until_ = Time::min();
};

}  // namespace indigovane::site
