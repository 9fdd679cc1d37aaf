// What one pooler has seen of each host, and the sum of it by site.
#pragma once

#include <unordered_map>

#include "site/types.hpp"

namespace indigovane::site {

// Invariant: `mute_since` is set if and only if the last sign that counted was no answer.
struct HostEvidence {
    std::optional<Time> answered;    // when an answer last came
    std::optional<Time> mute_since;  // when the first of those was sent that have had no answer since
    std::optional<Time> mute_at;     // when the last of them ended
    std::uint32_t mutes = 0, broken = 0;
    std::uint32_t out = 0;     // sent, and not over
    Time asked = Time::min();  // when something was last sent there
    Time waiting{};            // since then, if any is out: the first of them sent, or the last answer
};

struct SiteEvidence {
    unsigned hosts = 0;            // that the list allows new work
    unsigned known = 0;            // of these, this pooler deals with: sent to within `fresh`, or waited for
    unsigned answering = 0;        // an answer within `fresh`, and nothing unanswered since
    unsigned mute = 0;             // unanswered, the last of it within `fresh`
    unsigned run = 0;              // of these, since the last answer of any host of the site
    unsigned broken = 0;           // of the mute ones: by resets and refusals
    std::optional<Time> answered;  // the last of all
    std::optional<Time> mute_since;  // the first of the mute ones'
    std::optional<Time> mute_at;     // the last

    unsigned witnesses() const { return answering + mute; }
    double silent_share() const { return witnesses() == 0 ? 0 : double(mute) / double(witnesses()); }
};

class Evidence {
  public:
    // The whole list. What is known of hosts that stay is kept; a host that has started since forgets.
    void hosts(const std::vector<Host>& hosts);
    void sent(HostId host, Time now);
    void over(HostId host);  // one that was sent, however it ended
    void sign(HostId host, ContactResult sign, Time sent, Time now);
    // This process has slept until now: what it failed to hear before says nothing of the others.
    void woke(Time now);
    void forget(SiteId site, Time now);  // all that is held against its hosts

    // What is out for `patience` counts as unanswered before it is over.
    SiteEvidence of(SiteId site, Time now, Duration fresh, Duration response_timeout) const;
    const HostEvidence* of(HostId host) const;
    const Host* host(HostId id) const;
    const std::vector<Host>& all() const { return hosts_; }
    std::vector<SiteId> sites() const;

  private:
    std::vector<Host> hosts_;
    std::unordered_map<std::uint32_t, std::size_t> index_;  // into hosts_, by id
    std::unordered_map<std::uint32_t, HostEvidence> seen_;
    Time woke_ = Time::min();
};

}  // namespace indigovane::site
