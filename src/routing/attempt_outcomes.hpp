// Processes the end of an attempt or a health check: checks what the host reports, records the attempt, gives
// the client its answer and notifies the routing policy.
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

    // Objects of the core that this class uses. All must outlive it.
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

    // Called for each commit of a session, before its client receives the answer.
    void set_commit_observer(CommitObserver observer) { commit_observer_ = std::move(observer); }
    // nullptr: sites are not watched.
    void set_sites(SiteController* sites) { sites_ = sites; }

    void task_ended(EndpointId endpoint, const BackendTask& task, AttemptResult result);
    // A long value of `length` bytes has started to arrive.
    void response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                          std::size_t length);
    // Passes a piece of a long value on to the client. False: the client accepts no more for now.
    bool pass_on_piece(const BackendTask& task, std::string_view bytes);

  private:
    struct Outcome {
        EndpointId endpoint{};
        const BackendTask& task;
        AttemptResult& result;
        policy::LoadReport report;
        Time now;

        Duration latency() const { return now - task.sent; }
        bool is_ok() const { return result.status == policy::AttemptStatus::ok; }
    };

    void observe_endpoint(const Outcome& outcome);
    void health_check_ended(const Outcome& outcome);
    void attempt_ended(Outcome& outcome);
    void classify(const PendingRequest& pending, Outcome& outcome);
    void record_attempt(PendingRequest& pending, const Outcome& outcome);
    void note_commit(const ClientRequest& request, Outcome& outcome);
    void raise_session_position(std::uint64_t session, std::int64_t commit_unix_ms);
    policy::AttemptOutcome make_event(const PendingRequest& pending, const Outcome& outcome) const;

    Dependencies core_;
    SiteController* sites_ = nullptr;
    CommitObserver commit_observer_;
};

}  // namespace indigovane::routing
