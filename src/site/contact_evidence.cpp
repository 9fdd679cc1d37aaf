#include "site/contact_evidence.hpp"

#include <algorithm>
#include <set>

namespace indigovane::site {

namespace {

void clear_unanswered(HostEvidence& evidence) {
    evidence.unanswered_since.reset();
    evidence.last_unanswered.reset();
    evidence.unanswered = 0;
    evidence.resets = 0;
}

// Adds one host's evidence to its site's. `site.last_answer` is complete already.
void add_host(SiteEvidence& site, const HostEvidence& host, Time now, Duration evidence_window,
              Duration response_timeout) {
    // Only hosts in recent use: a small pooler has dealt with every host of a large site in time, and would
    // never see its share of unresponsive ones within the window.
    bool sent_lately = host.last_sent != Time::min() && now - host.last_sent <= evidence_window;
    if (host.in_flight > 0 || sent_lately) ++site.in_use;
    bool overdue = host.in_flight > 0 && now - host.waiting_since >= response_timeout;
    bool unanswered = host.unanswered_since && now - *host.last_unanswered <= evidence_window;
    if (overdue || unanswered) {
        ++site.unresponsive;
        if (overdue || !site.last_answer || *host.last_unanswered > *site.last_answer)
            ++site.newly_unresponsive;
        if (unanswered && host.resets * 2 > host.unanswered) ++site.resetting;
        Time since = unanswered ? *host.unanswered_since : host.waiting_since;
        site.unresponsive_since = std::min(site.unresponsive_since.value_or(since), since);
        Time last = overdue ? now : *host.last_unanswered;
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
        // What an earlier incarnation of the process did says nothing about this one.
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
    // Sent before the last answer arrived: slow or dropped, while the host was able to answer.
    if (evidence.last_answer && sent < *evidence.last_answer) return;
    if (!evidence.unanswered_since) evidence.unanswered_since = sent;
    evidence.last_unanswered = now;
    ++evidence.unanswered;
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
        // What is in flight was sent before: it will end, and says nothing about the present.
        std::uint32_t in_flight = it->second.in_flight;
        it->second = {};
        it->second.in_flight = in_flight;
        it->second.waiting_since = now;
    }
}

SiteEvidence ContactEvidence::of_site(SiteId site, Time now, Duration evidence_window,
                                      Duration response_timeout) const {
    SiteEvidence sum;
    for (const Host& host : hosts_) {
        const HostEvidence* evidence = host.site == site ? of_host(host.id) : nullptr;
        if (!evidence || !evidence->last_answer) continue;
        sum.last_answer = std::max(sum.last_answer.value_or(*evidence->last_answer), *evidence->last_answer);
    }
    for (const Host& host : hosts_) {
        if (host.site != site || !host.ready) continue;
        ++sum.hosts;
        const HostEvidence* evidence = of_host(host.id);
        if (evidence) add_host(sum, *evidence, now, evidence_window, response_timeout);
    }
    return sum;
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
