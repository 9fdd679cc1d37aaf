#include "site/contact_evidence.hpp"

#include <algorithm>
#include <set>

namespace indigovane::site {

namespace {

void clear_unanswered(HostEvidence& evidence) {
    evidence.unanswered_since.reset();
    evidence.last_unanswered.reset();
    evidence.unanswered_contacts = 0;
    evidence.resets = 0;
}

// Adds the evidence about a host to that about its site. The caller has set `site.last_answer` before.
void add_host(SiteEvidence& site, const HostEvidence& host, Time now, Duration evidence_window,
              Duration response_timeout) {
    // Only hosts in recent use count: over time a pooler with little traffic uses every host of a large site,
    // and would never see the required share of them unresponsive within the window.
    bool was_sent_recently = host.last_sent != Time::min() && now - host.last_sent <= evidence_window;
    if (host.in_flight > 0 || was_sent_recently) ++site.in_use;
    bool is_overdue = host.in_flight > 0 && now - host.waiting_since >= response_timeout;
    bool is_unanswered = host.unanswered_since && now - *host.last_unanswered <= evidence_window;
    if (is_overdue || is_unanswered) {
        ++site.unresponsive;
        if (is_overdue || !site.last_answer || *host.last_unanswered > *site.last_answer)
            ++site.newly_unresponsive;
        if (is_unanswered && host.resets * 2 > host.unanswered_contacts) ++site.resetting;
        Time since = is_unanswered ? *host.unanswered_since : host.waiting_since;
        site.unresponsive_since = std::min(site.unresponsive_since.value_or(since), since);
        Time last = is_overdue ? now : *host.last_unanswered;
        site.last_unanswered = std::max(site.last_unanswered.value_or(last), last);
    } else if (!host.unanswered_since && host.last_answer && now - *host.last_answer <= evidence_window) {
        ++site.answering;
    }
}

}  // namespace

const char* state_name(SiteState state) {
    switch (state) {
        case SiteState::reachable:
            return "reachable";
        case SiteState::degraded:
            return "doubtful";
        case SiteState::lost:
            return "lost";
        case SiteState::partitioned:
            return "cut off";
        case SiteState::drained:
            return "drained";
        case SiteState::recovering:
            return "returning";
    }
    return "";
}

void ContactEvidence::set_hosts(const std::vector<Host>& hosts) {
    for (const Host& host : hosts) {
        const Host* before = find_host(host.id);
        // Evidence about an earlier incarnation of the process does not apply to the present one.
        bool restarted = before && host.started && before->started != host.started;
        if (restarted) evidence_.erase(std::uint32_t(host.id));
    }
    hosts_ = hosts;
    index_.clear();
    for (std::size_t i = 0; i < hosts_.size(); ++i) index_[std::uint32_t(hosts_[i].id)] = i;
    std::erase_if(evidence_, [&](const auto& entry) { return !index_.count(entry.first); });
}

void ContactEvidence::record_sent(HostId host, Time now) {
    if (!index_.count(std::uint32_t(host))) return;
    HostEvidence& evidence = evidence_[std::uint32_t(host)];
    if (evidence.in_flight == 0) evidence.waiting_since = now;
    ++evidence.in_flight;
    evidence.last_sent = now;
}

void ContactEvidence::record_ended(HostId host) {
    auto it = evidence_.find(std::uint32_t(host));
    if (it != evidence_.end() && it->second.in_flight > 0) --it->second.in_flight;
}

void ContactEvidence::record_contact(HostId host, ContactResult result, Time sent, Time now) {
    if (!index_.count(std::uint32_t(host))) return;
    if (result != ContactResult::answered && sent < discarded_until_) return;
    HostEvidence& evidence = evidence_[std::uint32_t(host)];
    if (result == ContactResult::answered) {
        evidence.last_answer = now;
        evidence.waiting_since = now;
        clear_unanswered(evidence);
        return;
    }
    // The contact began before the last answer arrived: it was slow or dropped while the host could answer.
    if (evidence.last_answer && sent < *evidence.last_answer) return;
    if (!evidence.unanswered_since) evidence.unanswered_since = sent;
    evidence.last_unanswered = now;
    ++evidence.unanswered_contacts;
    if (result == ContactResult::reset) ++evidence.resets;
}

void ContactEvidence::discard_unanswered(Time now) {
    discarded_until_ = now;
    for (auto& [id, evidence] : evidence_) {
        clear_unanswered(evidence);
        evidence.waiting_since = now;
    }
}

void ContactEvidence::forget_site(SiteId site, Time now) {
    for (const Host& host : hosts_) {
        auto it = host.site == site ? evidence_.find(std::uint32_t(host.id)) : evidence_.end();
        if (it == evidence_.end()) continue;
        // Contacts in flight began before and still have to end. They are no evidence about the present
        // state.
        std::uint32_t in_flight = it->second.in_flight;
        it->second = {};
        it->second.in_flight = in_flight;
        it->second.waiting_since = now;
    }
}

SiteEvidence ContactEvidence::of_site(SiteId site, Time now, Duration evidence_window,
                                      Duration response_timeout) const {
    SiteEvidence site_evidence;
    for (const Host& host : hosts_) {
        const HostEvidence* evidence = host.site == site ? of_host(host.id) : nullptr;
        if (!evidence || !evidence->last_answer) continue;
        site_evidence.last_answer =
            std::max(site_evidence.last_answer.value_or(*evidence->last_answer), *evidence->last_answer);
    }
    for (const Host& host : hosts_) {
        if (host.site != site || !host.ready) continue;
        ++site_evidence.hosts;
        const HostEvidence* evidence = of_host(host.id);
        if (evidence) add_host(site_evidence, *evidence, now, evidence_window, response_timeout);
    }
    return site_evidence;
}

const HostEvidence* ContactEvidence::of_host(HostId host) const {
    auto it = evidence_.find(std::uint32_t(host));
    return it == evidence_.end() ? nullptr : &it->second;
}

const Host* ContactEvidence::find_host(HostId host) const {
    auto it = index_.find(std::uint32_t(host));
    return it == index_.end() ? nullptr : &hosts_[it->second];
}

std::vector<SiteId> ContactEvidence::sites() const {
    std::set<SiteId> ids;
    for (const Host& host : hosts_) ids.insert(host.site);
    return {ids.begin(), ids.end()};
}

}  // namespace indigovane::site
