// The core of the pooler: takes requests in, hands what happens to the routing policy in batches, and carries
// out what it decides; the only caller of the policy. It has no socket, clock, timer or randomness of its
// own: calls come in, with the time that its clock tells; connections, answers and wake-ups go out through
// interfaces. routing/loop_core.hpp drives it on a real loop; whatever else drives it drives the same
// decisions. All calls come from one thread.
//
// This class only wires its collaborators: RequestTable, RequestCompletion, AttemptDispatcher,
// AttemptOutcomes, EndpointRegistry (with EndpointOverlays and the pools), ConnectionBudget, TimerQueue,
// EventInbox, PrimaryTracker, RequestGuard, RequestLog, RequestStatistics, SiteController
// (docs/architecture.md).
#pragma once

#include <functional>
#include <map>
#include <set>

#include "routing/attempt_dispatcher.hpp"
#include "routing/core_limits.hpp"
#include "routing/driver.hpp"

namespace indigovane::routing {

class Core : public RequestAdmission {
  public:
    // All references must outlive the core. `seed`: of the policy's random draws.
    Core(Driver& driver, const Clock& clock, const policy::Settings& settings, std::uint64_t seed,
         CoreLimits limits, Backend& backend, Logger& logger);
    virtual ~Core();
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;

    // ---- requests (RequestAdmission) ----
    RequestId accept(ClientRequest request, Responder& responder) override;
    bool has_capacity(std::size_t bytes) const override {
        return requests_.bytes() + bytes <= limits_.max_request_bytes;
    }
    bool is_open(const std::string& id) const override { return requests_.is_open(id); }
    void resume(RequestId id) override { dispatcher_.resume(id); }
    void withdraw(RequestId id, Departure departure) override { completion_.withdraw(id, departure); }

    // ---- settings ----
    // Other settings and limits from the next batch on. `continues`: for each class the one that it
    // continues.
    void retune(const policy::Settings& settings, std::vector<std::optional<ClassId>> continues,
                Duration connect_timeout, Duration idle_limit);
    // Connections and bytes of requests at most, from now on.
    void limit(std::size_t links, std::size_t bytes);

    // ---- state that another process of this pooler takes over ----
    // What sessions have written.
    policy::SessionTokens tokens() const { return policy_.tokens(); }
    void take_over(policy::SessionTokens tokens);
    // When operators readmitted an endpoint, by uid.
    const std::map<std::string, Time>& readmissions() const {
        return endpoints_.overlays().operator_readmissions();
    }
    void merge_readmission(const std::string& uid, Time at) {
        endpoints_.overlays().merge_operator_readmission(uid, at);
    }
    // Told of each commit of a session before its client is.
    void on_commit(std::function<void(std::uint64_t session, Time commit)> observer) {
        outcomes_.set_commit_observer(std::move(observer));
    }
    // Told when a session's write is taken in, and when nothing of it is owed or in flight any more.
    void on_write(std::function<void(std::uint64_t session, bool begins)> observer) {
        completion_.set_write_observer(std::move(observer));
    }

    // ---- endpoints ----
    void apply_endpoint_list(policy::EndpointListKind kind, const std::vector<EndpointInfo>& members);
    std::vector<EndpointInfo> listed() const { return endpoints_.listed(); }
    // These uids are excluded by operators: whatever list names them, they drain. One that leaves the set
    // counts as started now, since its operators had it to themselves meanwhile.
    void set_excluded(const std::set<std::string>& excluded_endpoints);
    bool knows(const std::string& uid) const { return endpoints_.find_uid(uid).has_value(); }
    // Empty: it is unknown.
    std::string uid(EndpointId id) const { return endpoints_.uid(id); }
    // Called when the policy asks for the endpoint list to be followed.
    void on_follow_list(std::function<void()> observer) { follow_list_ = std::move(observer); }
    // A group has another primary than before, by an answer or a report that this pooler has had itself.
    void on_primary(std::function<void(const EndpointInfo& endpoint, Time as_of)> observer) {
        primaries_.set_observer(std::move(observer));
    }
    // Another pooler says so. False: it names no listed endpoint of that group, or is too old to be of use.
    bool on_primary_gossip(const std::string& uid, std::uint32_t group, std::int64_t as_of_unix_us);

    // ---- sites ----
    // Sites are watched, and excluded and readmitted as a whole, from now on. At a later call: other
    // settings.
    void watch_sites(const site::Settings& settings, std::vector<site::Demand> classes, std::uint64_t seed);
    const SiteController* sites() const { return sites_.get(); }  // none: not watched
    // False: there is no such site, or it is so already.
    bool drain_site(std::uint32_t zone, bool on);

    // ---- the driver's calls ----
    // Hands everything that has come in since the last batch to the policy in one go, then carries out what
    // it decides. Nothing that an action brings about is seen before the next batch.
    void run_batch();
    // The timer that the driver was asked for has expired; run_batch() follows.
    void timer_expired() { armed_.reset(); }

    // ---- shutdown ----
    // Requests that arrive from now on have their deadline by then.
    void finish_by(Time at) { finish_by_ = at; }
    // Whatever is owed is rejected or failed now.
    void finish_all() { completion_.end_all(); }

    // ---- figures ----
    bool idle() const { return requests_.size() == 0; }
    std::size_t requests() const { return requests_.size(); }
    std::size_t connection_count() const { return connections_.open(); }
    std::size_t endpoint_count() const { return endpoints_.size(); }
    const RequestGuard::Counts& violations() const { return guard_.violations(); }

  private:
    std::unique_ptr<Pool> make_pool(EndpointId id);
    void add_list(policy::EndpointList list);
    void update_site_hosts();
    void apply_site_changes(Time now);
    void expire_timers(Time now);
    void carry_out(const policy::Action& action);
    void forget_requests(const std::vector<RequestId>& finished);
    void log_statistics(Time now);
    void arm();

    Driver& driver_;
    const Clock& clock_;
    Backend& backend_;
    Logger& logger_;
    CoreLimits limits_;
    policy::Settings settings_;
    policy::RoutingPolicy policy_;

    EventInbox inbox_;
    TimerQueue timers_;
    RequestTable requests_;
    ConnectionBudget connections_;
    EndpointRegistry endpoints_;
    PrimaryTracker primaries_;
    RequestStatistics statistics_;
    RequestLog log_;
    RequestGuard guard_;
    RequestCompletion completion_;
    AttemptOutcomes outcomes_;
    AttemptDispatcher dispatcher_;
    std::unique_ptr<SiteController> sites_;    // none: not watched
    std::vector<RequestId> rejected_by_site_;  // on arrival: they are ended in the next batch

    std::function<void()> follow_list_;
    std::optional<Time> armed_;  // what the driver was asked for last
    Time swept_{};
    Time statistics_logged_{};
    Time finish_by_ = Time::max();
};

}  // namespace indigovane::routing
