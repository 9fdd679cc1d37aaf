// The core of the pooler. It accepts requests, passes events to the routing policy in batches and carries out
// the policy's decisions. It is the only caller of the policy. The core has no sockets, timers or randomness
// of its own: it takes the time from its clock, and reaches connections, clients and its driver through
// interfaces. routing/loop_core.hpp runs it on an event loop; an emulator or a test runs the same code. All
// calls must come from one thread.
//
// This class only connects its collaborators: RequestTable, RequestCompletion, AttemptDispatcher,
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
    // All references must outlive the core. `seed` seeds the policy's random draws.
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
    bool is_open(const std::string& id) const override { return requests_.is_open(id, clock_.now()); }
    void resume(RequestId id) override { dispatcher_.resume(id); }
    void withdraw(RequestId id, Departure departure) override { completion_.withdraw(id, departure); }

    // ---- settings ----
    // Replaces settings and limits; the policy applies them in the next batch. `continued_ids` holds, for
    // each class of the new settings, the old id of the class that it continues.
    void retune(const policy::Settings& settings, std::vector<std::optional<ClassId>> continued_ids,
                Duration connect_timeout, Duration idle_limit);
    // Sets the largest number of connections to hosts, and of bytes of pending requests.
    void limit(std::size_t max_connections, std::size_t max_request_bytes);

    // ---- state that another process of this pooler takes over ----
    // The last commit of each session.
    policy::SessionTokens tokens() const { return policy_.tokens(); }
    void take_over(policy::SessionTokens tokens);
    // Requests that were sent to a host and must not run again, here or in the other process.
    std::vector<StartedRequests::Entry> started_requests() { return requests_.started().entries(); }
    void merge_started_request(const StartedRequests::Entry& entry) {
        requests_.started().add(entry, clock_.now());
    }
    // Called before the first byte of such a request.
    void on_start(AttemptDispatcher::StartObserver observer) {
        dispatcher_.set_start_observer(std::move(observer));
    }
    // When operators last readmitted an endpoint, by uid.
    const std::map<std::string, Time>& readmissions() const {
        return endpoints_.overlays().operator_readmissions();
    }
    // Adds another process's readmission; the later time counts.
    void merge_readmission(const std::string& uid, Time at) {
        endpoints_.overlays().merge_operator_readmission(uid, at);
    }
    // Called for each commit of a session, before its client receives the answer.
    void on_commit(std::function<void(std::uint64_t session, Time commit)> observer) {
        outcomes_.set_commit_observer(std::move(observer));
    }
    // Called when a write of a session arrives (`is_started`), and again once no answer to it is owed and no
    // attempt of it is in flight.
    void on_write(std::function<void(std::uint64_t session, bool is_started)> observer) {
        completion_.set_write_observer(std::move(observer));
    }

    // ---- endpoints ----
    void apply_endpoint_list(policy::EndpointListKind kind, const std::vector<EndpointInfo>& members);
    // The endpoints that the list names now.
    std::vector<EndpointInfo> listed() const { return endpoints_.listed(); }
    // Replaces the set of uids that operators exclude. An excluded endpoint drains, whatever the list says.
    // An endpoint that leaves the set counts as started now, since only its operators used it meanwhile.
    void set_excluded(const std::set<std::string>& excluded_endpoints);
    bool knows(const std::string& uid) const { return endpoints_.find_uid(uid).has_value(); }
    // The endpoint's uid, or an empty string if the endpoint is unknown.
    std::string uid(EndpointId id) const { return endpoints_.uid(id); }
    // Called when the policy asks for the endpoint list to be followed.
    void on_follow_list(std::function<void()> observer) { follow_list_observer_ = std::move(observer); }
    // Called when an answer or a report received by this pooler shows that a group's primary has changed.
    void on_primary(std::function<void(const EndpointInfo& endpoint, Time as_of)> observer) {
        primaries_.set_observer(std::move(observer));
    }
    // Another pooler reports a group's primary. False: the uid names no listed endpoint of that group, or the
    // report is more than a few seconds old or ahead of the clock.
    bool on_primary_gossip(const std::string& uid, std::uint32_t group, std::int64_t as_of_unix_us);

    // ---- sites ----
    // Starts to watch sites and to exclude and readmit them as a whole. A later call replaces the settings.
    void watch_sites(const site::Settings& settings, std::vector<site::Demand> classes, std::uint64_t seed);
    const SiteController* sites() const { return sites_.get(); }  // nullptr: not watched
    // Starts or ends the draining of a site. False: there is no such site, or it is in that state already.
    bool drain_site(std::uint32_t zone, bool on);

    // ---- the driver's calls ----
    // Passes all events since the last batch to the policy, then carries out its actions. Events that an
    // action causes are passed on in the next batch.
    void run_batch();
    // The time passed to Driver::alarm() has come. run_batch() must follow.
    void timer_expired() { requested_alarm_.reset(); }

    // ---- shutdown ----
    // Limits the deadline of each request that arrives from now on to this time.
    void finish_by(Time at) { finish_by_ = at; }
    // Rejects or fails all unanswered requests now, except those whose answer has started.
    void finish_all() { completion_.end_all(); }

    // ---- figures ----
    // Whether no request is pending.
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
    void request_alarm();

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
    std::unique_ptr<SiteController> sites_;    // nullptr: not watched
    std::vector<RequestId> rejected_by_site_;  // rejected on arrival, and ended in the next batch

    std::function<void()> follow_list_observer_;
    std::optional<Time> requested_alarm_;  // the time that the driver was last asked for
    Time last_sweep_{};
    Time last_statistics_{};
    Time finish_by_ = Time::max();
};

}  // namespace indigovane::routing
