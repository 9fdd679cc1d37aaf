// Carries out what the routing policy decides about attempts and health checks: gives them to the endpoint's
// pool, sets their deadlines, checks again before the first byte, cancels them. What came of them goes to
// AttemptOutcomes.
#pragma once

#include <set>

#include "routing/attempt_outcomes.hpp"
#include "routing/timer_queue.hpp"

namespace indigovane::routing {

class AttemptDispatcher : public Pool::Owner {
  public:
    // What the core shares with this class. All must outlive it.
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
    };
    explicit AttemptDispatcher(const Dependencies& dependencies) : core_(dependencies) {}
    virtual ~AttemptDispatcher() = default;
    AttemptDispatcher(const AttemptDispatcher&) = delete;
    AttemptDispatcher& operator=(const AttemptDispatcher&) = delete;

    // None: sites are not watched.
    void set_sites(SiteController* sites) { sites_ = sites; }

    // An attempt that may not go out ends at once, so that the policy learns of it.
    void send(const policy::SendAttempt& send);
    // Does nothing once part of the response is with the client.
    void cancel(const policy::CancelAttempt& cancel);
    // Does nothing while one is in flight at that endpoint.
    void check_health(EndpointId id);
    // The request's client has room for pieces again.
    void resume(RequestId id);
    // Ends reads in flight at endpoints from which nothing is to be expected, so that the policy may retry
    // them elsewhere.
    void abandon_reads(const std::set<EndpointId>& unresponsive);

    void deadline_expired(const TaskDeadline& deadline);
    void start_deadline_expired(const StartDeadline& deadline);

    // ---- Pool::Owner ----
    void on_task_end(EndpointId endpoint, const BackendTask& task, AttemptResult result) override;
    void on_response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                             std::size_t length) override;
    bool on_response_piece(const BackendTask& task, std::string_view bytes) override;
    const ClientRequest* may_start(EndpointId id, BackendTask& task) override;

  private:
    BackendTask make_task(const policy::SendAttempt& send, const PendingRequest& pending) const;
    bool spends_retry_budget(const PendingRequest& pending);
    void block(RequestId id, const PendingRequest& pending, Invariant invariant);
    void submit(Endpoint& endpoint, EndpointId id, const BackendTask& task);
    bool is_response_started(const BackendTask& task);
    bool end_task(EndpointId id, Pool& pool, const BackendTask& task, policy::AttemptStatus if_sent,
                  policy::AttemptStatus if_waiting);

    Dependencies core_;
    SiteController* sites_ = nullptr;
};

}  // namespace indigovane::routing
