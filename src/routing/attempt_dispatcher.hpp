// Carries out the routing policy's decisions about attempts and health checks: gives them to the endpoint's
// pool, sets their deadlines, checks attempts again before the first byte, and cancels them. Their results go
// to AttemptOutcomes.
#pragma once

#include <functional>
#include <set>

#include "routing/attempt_outcomes.hpp"
#include "routing/timer_queue.hpp"

namespace indigovane::routing {

class AttemptDispatcher : public Pool::Owner {
  public:
    // Objects of the core that this class uses. All must outlive it.
    struct Dependencies {
        const Clock& clock;
        const CoreLimits& limits;
        RequestTable& requests;
        EndpointRegistry& endpoints;
        TimerQueue& timers;
        RequestCompletion& completion;
        AttemptOutcomes& outcomes;
        RequestGuard& guard;
        RequestLog& log;
        RequestStatistics& statistics;
        policy::RoutingPolicy& policy;  // asked about attempts that it has decided on earlier
    };
    explicit AttemptDispatcher(const Dependencies& dependencies) : core_(dependencies) {}
    virtual ~AttemptDispatcher() = default;
    AttemptDispatcher(const AttemptDispatcher&) = delete;
    AttemptDispatcher& operator=(const AttemptDispatcher&) = delete;

    // nullptr: sites are not watched.
    void set_sites(SiteController* sites) { sites_ = sites; }

    // Called before the first byte of a request that must not run again.
    using StartObserver = std::function<void(const StartedRequests::Entry&)>;
    void set_start_observer(StartObserver observer) { start_observer_ = std::move(observer); }

    // Sends an attempt. One that may not be sent ends at once, so that the policy is told.
    void send(const policy::SendAttempt& send);
    // Cancels an attempt. Does nothing once the client has received part of the response.
    void cancel(const policy::CancelAttempt& cancel);
    // Starts a health check. Does nothing while one is in flight at that endpoint.
    void check_health(EndpointId id);
    // The request's responder has room for pieces of a long value again.
    void resume(RequestId id);
    // Ends idempotent reads in flight at unresponsive endpoints with a timeout, so that the policy may retry
    // them elsewhere. Reads whose response has started go on.
    void abandon_reads(const std::set<EndpointId>& unresponsive);

    // Ends a task whose answer is due (routing/answer_bounds.hpp).
    void deadline_expired(const TaskDeadline& deadline);
    // Ends a task that still waits for a connection at the time by which it had to start.
    void start_deadline_expired(const StartDeadline& deadline);

    // ---- Pool::Owner ----
    void on_task_end(EndpointId endpoint, const BackendTask& task, AttemptResult result) override;
    void on_response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                             std::size_t length) override;
    bool on_response_piece(const BackendTask& task, std::string_view bytes) override;
    void on_answer_paused(EndpointId endpoint, const BackendTask& task, Duration pause) override;
    Pool::StartDecision may_start(EndpointId id, BackendTask& task) override;

  private:
    BackendTask make_task(const policy::SendAttempt& send, const PendingRequest& pending) const;
    bool exceeds_retry_budget(const PendingRequest& pending);
    void block_attempt(RequestId id, const PendingRequest& pending, Invariant invariant);
    void submit(Endpoint& endpoint, EndpointId id, const BackendTask& task);
    bool still_qualifies(const PendingRequest& pending, EndpointId id, BackendTask& task, Time now);
    bool is_response_started(const BackendTask& task);
    std::optional<Time> extended_deadline(const BackendTask& task);
    bool end_task(EndpointId id, Pool& pool, const BackendTask& task, policy::AttemptStatus if_sent,
                  policy::AttemptStatus if_waiting);

    Dependencies core_;
    SiteController* sites_ = nullptr;
    StartObserver start_observer_;
};

}  // namespace indigovane::routing
