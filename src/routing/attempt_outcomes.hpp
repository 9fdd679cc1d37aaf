// What follows from the end of an attempt or a health check: what its host reports is checked, the attempt is
// recorded, the client gets its answer, and the routing policy is notified.
#pragma once

#include <functional>

#include "routing/endpoint_registry.hpp"
#include "routing/event_inbox.hpp"
#include "routing/primary_tracker.hpp"
#include "routing/request_completion.hpp"

namespace indigovane::routing {

class AttemptOutcomes {
  public:
    using CommitObserver = std::function<void(std::uint64_t session, Time commit)>;

    // What the core shares with this class. All must outlive it.
    struct Dependencies {
        const Clock& clock;
        const CoreLimits& limits;
        const policy::Settings& settings;
        RequestTable& requests;
        EndpointRegistry& endpoints;
        EventInbox& inbox;
        RequestCompletion& completion;
        PrimaryTracker& primaries;
        RequestGuard& guard;
        RequestLog& log;
        RequestStatistics& statistics;
    };
    explicit AttemptOutcomes(const Dependencies& dependencies) : core_(dependencies) {}

    // Told of each commit of a session before its client is.
    void set_commit_observer(CommitObserver observer) { commit_observer_ = std::move(observer); }
    // None: sites are not watched.
    void set_sites(SiteController* sites) { sites_ = sites; }

    void task_ended(EndpointId endpoint, const BackendTask& task, AttemptResult result);
    // A long value has begun.
    void response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                          std::size_t length);
    // False: no more for now.
    bool pass_on_piece(const BackendTask& task, std::string_view bytes);

  private:
    struct Outcome {
        EndpointId endpoint{};
        const BackendTask& task;
        AttemptResult& result;
        policy::LoadReport report;
        Time now;

        Duration latency() const { return now - task.sent; }
        bool ok() const { return result.status == policy::AttemptStatus::ok; }
    };

    void observe_endpoint(const Outcome& outcome);
    void health_check_ended(const Outcome& outcome);
    void attempt_ended(Outcome& outcome);
    void classify(const PendingRequest& pending, Outcome& outcome);
    void record(PendingRequest& pending, const Outcome& outcome);
    void note_commit(const ClientRequest& request, Outcome& outcome);
    void raise_session_position(std::uint64_t session, std::int64_t commit_unix_ms);
    policy::AttemptOutcome event(const PendingRequest& pending, const Outcome& outcome) const;

    Dependencies core_;
    SiteController* sites_ = nullptr;
    CommitObserver commit_observer_;
};

}  // namespace indigovane::routing
