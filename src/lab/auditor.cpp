#include "lab/auditor.hpp"

#include <algorithm>

namespace indigovane::lab {

namespace {
// Tolerance for rounding: on the wire, positions are rounded down and commits are rounded up.
constexpr Duration kRounding = std::chrono::milliseconds(3);
// Breaches beyond this number are not recorded.
constexpr std::size_t kMaxBreaches = 1000;
}  // namespace

void Auditor::record_breach(Time now, const char* rule, std::string description) {
    if (breaches_.size() < kMaxBreaches) breaches_.push_back({now, rule, std::move(description)});
}

void Auditor::request_sent(const std::string& id, Requirement requirement, std::uint64_t session) {
    RequestRecord& request = requests_[id];
    request = {};
    request.requirement = requirement;
    if (auto it = last_commits_.find(session);
        requirement == Requirement::session && it != last_commits_.end())
        request.required_position = it->second;
}

void Auditor::attempt_sent(const std::string& id, std::uint32_t pooler, std::uint32_t host, Time now) {
    ++checks_;
    auto it = requests_.find(id);
    if (it == requests_.end())
        return record_breach(now, "known", "a host was sent " + id + ", which no client asked");
    RequestRecord& request = it->second;
    // A request has at most one attempt in flight.
    if (++request.attempts_in_flight > 1) record_breach(now, "copies", id + " is out at two hosts");
    request.last_sent = now;
    // A pooler sends no new request to a host later than `limits_.drain_grace` (2 s by default, with slack)
    // after it was notified that the host drains.
    auto draining = notified_draining_at_.find({pooler, host});
    if (draining != notified_draining_at_.end() && now > draining->second + limits_.drain_grace)
        record_breach(now, "drain", "host " + std::to_string(host) + " was sent " + id + " after it drained");
}

void Auditor::attempt_ended(const std::string& id) {
    auto it = requests_.find(id);
    if (it != requests_.end() && it->second.attempts_in_flight > 0) --it->second.attempts_in_flight;
}

void Auditor::notified_draining(std::uint32_t pooler, std::uint32_t host, Time now) {
    notified_draining_at_.try_emplace({pooler, host}, now);
}
void Auditor::notified_ready(std::uint32_t pooler, std::uint32_t host) {
    notified_draining_at_.erase({pooler, host});
}

void Auditor::request_answered(const std::string& id, Time position, bool from_primary, Time now) {
    ++checks_;
    auto it = requests_.find(id);
    if (it == requests_.end())
        return record_breach(now, "answer", "an answer for " + id + ", which nobody waits for");
    RequestRecord& request = it->second;
    // Each request ends in one final answer.
    if (++request.answers > 1) record_breach(now, "answer", id + " was answered twice");
    if (from_primary) return;
    // A bounded read is not answered from data that was older than its class's bound when the read was sent.
    if (request.requirement == Requirement::bounded && position + limits_.staleness_bound < request.last_sent)
        record_breach(now, "stale", id + " is older than its bound");
    // A session read sees the session's own writes.
    if (request.requirement == Requirement::session && position + kRounding < request.required_position)
        record_breach(now, "stale", id + " misses its session's write");
}

void Auditor::request_ended_with_error(const std::string& id, Time now) {
    ++checks_;
    auto it = requests_.find(id);
    if (it == requests_.end())
        return record_breach(now, "answer", "a refusal for " + id + ", which nobody waits for");
    if (++it->second.answers > 1) record_breach(now, "answer", id + " was answered twice");
}

void Auditor::client_left(const std::string& id) {
    if (auto it = requests_.find(id); it != requests_.end()) ++it->second.answers;
}

void Auditor::write_committed(std::uint64_t session, Time commit) {
    Time& last = last_commits_[session];
    last = std::max(last, commit);
}

Time Auditor::last_commit(std::uint64_t session) const {
    auto it = last_commits_.find(session);
    return it == last_commits_.end() ? Time{} : it->second;
}

void Auditor::host_started(std::uint32_t host, Time now, double capacity) {
    warming_hosts_[host] = {now, capacity, {}};
}

// A host in slow start is not overloaded: the work sent to it within any window stays below a multiple of its
// capacity at that time.
void Auditor::work_sent(std::uint32_t host, Duration amount, Time now) {
    auto it = warming_hosts_.find(host);
    if (it == warming_hosts_.end()) return;
    ++checks_;
    WarmingHost& warming_host = it->second;
    if (now > warming_host.started + limits_.slow_start_ramp) {
        warming_hosts_.erase(it);
        return;
    }
    std::erase_if(warming_host.recent_work,
                  [&](auto& sent_work) { return sent_work.first + limits_.overload_window < now; });
    warming_host.recent_work.emplace_back(now, amount);
    double sent_s = 0;
    for (auto& [sent_at, work] : warming_host.recent_work) sent_s += double(work.count()) / 1e6;
    double capacity_share =
        std::min(1.0, limits_.slow_start_share + (1 - limits_.slow_start_share) *
                                                     double((now - warming_host.started).count()) /
                                                     double(limits_.slow_start_ramp.count()));
    double window_s = double(limits_.overload_window.count()) / 1e6;
    if (sent_s > limits_.overload_multiple * capacity_share * warming_host.capacity * window_s) {
        record_breach(now, "cold", "host " + std::to_string(host) + " was pushed over while it was cold");
        warming_hosts_.erase(it);
    }
}

void Auditor::finish(Time now) {
    for (auto& [id, request] : requests_)
        if (request.answers == 0) record_breach(now, "answer", id + " has no answer");
}

}  // namespace indigovane::lab
