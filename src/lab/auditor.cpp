#include "lab/auditor.hpp"

#include <algorithm>

namespace indigovane::lab {

namespace {
constexpr Duration kRounding =
    std::chrono::milliseconds(3);  // positions are rounded down, commits up, on wires
constexpr std::size_t kMaxBreaches = 1000;
}  // namespace

void Auditor::breach(Time now, const char* rule, std::string what) {
    if (breaches_.size() < kMaxBreaches) breaches_.push_back({now, rule, std::move(what)});
}

void Auditor::requested(const std::string& id, Need need, std::uint64_t session) {
    Request& r = requests_[id];
    r = {};
    r.need = need;
    if (auto it = commits_.find(session); need == Need::session && it != commits_.end()) r.needs = it->second;
}

void Auditor::sent(const std::string& id, std::uint32_t pooler, std::uint32_t host, Time now) {
    ++checks_;
    auto it = requests_.find(id);
    if (it == requests_.end())
        return breach(now, "known", "a host was sent " + id + ", which no client asked");
    Request& r = it->second;
    // A request's attempts are never out at once.
    if (++r.out > 1) breach(now, "copies", id + " is out at two hosts");
    r.last_sent = now;
    // Nothing new goes to a host that drains or is gone later than 2 s after its pooler was told.
    auto draining = draining_.find({pooler, host});
    if (draining != draining_.end() && now > draining->second + limits_.drain)
        breach(now, "drain", "host " + std::to_string(host) + " was sent " + id + " after it drained");
}

void Auditor::attempt_over(const std::string& id) {
    auto it = requests_.find(id);
    if (it != requests_.end() && it->second.out > 0) --it->second.out;
}

void Auditor::notified_draining(std::uint32_t pooler, std::uint32_t host, Time now) {
    draining_.try_emplace({pooler, host}, now);
}
void Auditor::notified_ready(std::uint32_t pooler, std::uint32_t host) {
    draining_.erase({pooler, host});
}

void Auditor::answered(const std::string& id, Time position, bool fresh, Time now) {
    ++checks_;
    auto it = requests_.find(id);
    if (it == requests_.end())
        return breach(now, "answer", "an answer for " + id + ", which nobody waits for");
    Request& r = it->second;
    // Each request ends in one final answer.
    if (++r.answers > 1) breach(now, "answer", id + " was answered twice");
    if (fresh) return;
    // No read is answered from data older than its class allows when it was sent.
    if (r.need == Need::bounded && position + limits_.staleness_bound < r.last_sent)
        breach(now, "stale", id + " is older than its bound");
    // A session sees what it has written.
    if (r.need == Need::session && position + kRounding < r.needs)
        breach(now, "stale", id + " misses its session's write");
}

void Auditor::refused(const std::string& id, Time now) {
    ++checks_;
    auto it = requests_.find(id);
    if (it == requests_.end())
        return breach(now, "answer", "a refusal for " + id + ", which nobody waits for");
    if (++it->second.answers > 1) breach(now, "answer", id + " was answered twice");
}

void Auditor::client_left(const std::string& id) {
    if (auto it = requests_.find(id); it != requests_.end()) ++it->second.answers;
}

void Auditor::committed(std::uint64_t session, Time commit) {
    Time& known = commits_[session];
    known = std::max(known, commit);
}

Time Auditor::last_commit(std::uint64_t session) const {
    auto it = commits_.find(session);
    return it == commits_.end() ? Time{} : it->second;
}

void Auditor::host_started(std::uint32_t host, Time now, double capacity) {
    warming_hosts_[host] = {now, capacity, {}};
}

// A host that has just started is not pushed over: the work sent to it within any window stays under a
// multiple of what it can do then.
void Auditor::work_sent(std::uint32_t host, Duration amount, Time now) {
    auto it = warming_hosts_.find(host);
    if (it == warming_hosts_.end()) return;
    ++checks_;
    WarmingHost& c = it->second;
    if (now > c.started + limits_.ramp) {
        warming_hosts_.erase(it);
        return;
    }
    std::erase_if(c.recent, [&](auto& w) { return w.first + limits_.overload_window < now; });
    c.recent.emplace_back(now, amount);
    double sum = 0;
    for (auto& [at, w] : c.recent) sum += double(w.count()) / 1e6;
    double warm = std::min(1.0, limits_.slow_start_share + (1 - limits_.slow_start_share) *
                                                               double((now - c.started).count()) /
                                                               double(limits_.ramp.count()));
    double window = double(limits_.overload_window.count()) / 1e6;
    if (sum > limits_.overload_multiple * warm * c.capacity * window) {
        breach(now, "cold", "host " + std::to_string(host) + " was pushed over while it was cold");
        warming_hosts_.erase(it);
    }
}

void Auditor::finish(Time now) {
    for (auto& [id, r] : requests_)
        if (r.answers == 0) breach(now, "answer", id + " has no answer");
}

}  // namespace indigovane::lab
