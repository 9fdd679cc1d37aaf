#include "routing/attempt_outcomes.hpp"

#include <algorithm>

#include "routing/response_checks.hpp"

namespace indigovane::routing {

using policy::AttemptStatus;
using policy::Role;

void AttemptOutcomes::task_ended(EndpointId endpoint, const BackendTask& task, AttemptResult result) {
    Time now = core_.clock.now();
    policy::LoadReport report = sanitize(result, core_.clock, now);
    Outcome outcome{endpoint, task, result, report, now};
    observe_endpoint(outcome);
    if (task.is_health_check)
        health_check_ended(outcome);
    else
        attempt_ended(outcome);
}

// Records what the result shows about the endpoint. This doesn't depend on the request, which may be gone.
void AttemptOutcomes::observe_endpoint(const Outcome& outcome) {
    const AttemptResult& result = outcome.result;
    if (const Endpoint* endpoint = core_.endpoints.find(outcome.endpoint)) {
        if (result.role == Role::primary)
            core_.primaries.record(outcome.endpoint, endpoint->info, outcome.now);
        else if (outcome.report.primary == true && outcome.report.position)
            core_.primaries.record(outcome.endpoint, endpoint->info, *outcome.report.position);
        if (sites_) {
            sites_->task_ended(outcome.endpoint, outcome.task, result.status, core_.limits.connect_timeout,
                               outcome.now);
            sites_->report_received(outcome.endpoint, result.role, outcome.report);
        }
    }
    if (result.malformed)
        core_.log.malformed(
            outcome.task.is_health_check ? nullptr : core_.requests.find(outcome.task.request), outcome.task,
            outcome.endpoint, result.malformed);
}

void AttemptOutcomes::health_check_ended(const Outcome& outcome) {
    if (Endpoint* endpoint = core_.endpoints.find(outcome.endpoint)) {
        if (!endpoint->health_check || !endpoint->health_check->is_same_task(outcome.task)) return;
        endpoint->health_check.reset();
    }
    if (!outcome.is_ok()) ++core_.statistics.health_checks_failed;
    core_.inbox.post(policy::HealthCheckResult{outcome.endpoint, outcome.result.status, outcome.latency(),
                                               outcome.report});
}

void AttemptOutcomes::attempt_ended(Outcome& outcome) {
    PendingRequest* pending = core_.requests.find(outcome.task.request);
    if (!pending) return;
    const ClientRequest& request = pending->request;
    classify(*pending, outcome);
    record_attempt(*pending, outcome);
    // The commit is recorded before the client gets its answer, so that no read of the session can reach
    // another process before the record.
    if (outcome.is_ok() && request.writes()) note_commit(request, outcome);
    if (sites_ && outcome.is_ok() && request.request_class != kNoClass)
        sites_->record_latency(request, outcome.latency());
    // The first answer goes to the client without a decision of the policy, and ends the request.
    if (outcome.is_ok())
        core_.completion.deliver_answer(*pending, outcome.result.answer, outcome.now);
    else
        core_.completion.abort_answer(*pending);
    core_.inbox.post(make_event(*pending, outcome));
    core_.completion.finish_if_done(outcome.task.request);
}

// Corrects the result by what this process knows and the host's protocol doesn't tell.
void AttemptOutcomes::classify(const PendingRequest& pending, Outcome& outcome) {
    AttemptResult& result = outcome.result;
    // The attempt was not started because its client has left. `not_started` would tell the policy that the
    // endpoint was short of connections.
    if (result.status == AttemptStatus::not_started && !pending.responder)
        result.status = AttemptStatus::cancelled;
    if (pending.response_started) {
        // The role and position that arrive after a long value describe the time at which it started, so they
        // are dropped. The position of a commit is kept, because it is the time of the commit itself.
        if (!pending.request.writes()) result.position_unix_us.reset();
        result.role.reset();
    } else if (is_stale(pending.request, outcome.task, result)) {
        core_.log.stale(pending, outcome.task, outcome.endpoint, *result.position_unix_us / kMicrosPerMilli,
                        outcome.now);
        result.status = AttemptStatus::stale;
    }
}

void AttemptOutcomes::record_attempt(PendingRequest& pending, const Outcome& outcome) {
    const AttemptResult& result = outcome.result;
    Attempt& attempt = pending.attempts.at(outcome.task.number);
    attempt.in_flight = false;
    attempt.status = result.status;
    attempt.execution = execution_of(result.status, result.evidence);
    if (attempt.execution == policy::Execution::ran) core_.guard.check_executions(pending);
    ++core_.statistics.attempts_ended[std::size_t(result.status)];
    if (!outcome.is_ok()) core_.log.attempt_ended(pending, attempt, outcome.now);
}

void AttemptOutcomes::note_commit(const ClientRequest& request, Outcome& outcome) {
    std::optional<std::int64_t>& position = outcome.result.position_unix_us;
    // The host may report no commit position for a forwarded statement. The commit is not later than now, and
    // the session must see it, so now is taken.
    if (request.verb == ClientRequest::Verb::other && !position) position = core_.clock.to_unix(outcome.now);
    if (!request.session || !position) return;
    raise_session_position(*request.session, *position / kMicrosPerMilli);
    if (commit_observer_) commit_observer_(*request.session, core_.clock.from_unix(*position));
}

// A read may wait for a connection while a write of its session is answered. The position that the policy
// required when it chose the endpoint is then too old when the read is sent.
void AttemptOutcomes::raise_session_position(std::uint64_t session, std::int64_t commit_unix_ms) {
    bool is_remembered = core_.settings.token_source == policy::TokenSource::remembered;
    for (auto& [id, pending] : core_.requests)
        if (pending.responder && pending.request.session == session && !pending.request.writes() &&
            (is_remembered || pending.request.uses_remembered_token))
            pending.newer_commit_unix_ms = std::max(pending.newer_commit_unix_ms.value_or(0), commit_unix_ms);
}

policy::AttemptOutcome AttemptOutcomes::make_event(const PendingRequest& pending,
                                                   const Outcome& outcome) const {
    const AttemptResult& result = outcome.result;
    policy::AttemptOutcome event;
    event.id = outcome.task.request;
    event.attempt = outcome.task.number;
    event.endpoint = outcome.endpoint;
    event.status = result.status;
    event.latency = outcome.latency();
    event.is_request_finished = !pending.responder;
    event.role = result.role;
    if (result.position_unix_us) event.position = core_.clock.from_unix(*result.position_unix_us);
    event.report = outcome.report;
    event.evidence = result.evidence;
    return event;
}

void AttemptOutcomes::response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                                       std::size_t length) {
    PendingRequest* pending = core_.requests.find_unanswered(task.request);
    if (!pending) return;
    Time now = core_.clock.now();
    pending->response_started = true;
    if (sites_) sites_->response_started(endpoint, now);
    core_.inbox.post(policy::ResponseStarted{task.request, task.number, endpoint, now - task.sent});
    pending->responder->on_answer_started(head, length);
}

// Without a responder the client has left. Its attempt is about to be cancelled, and no more is read until
// then.
bool AttemptOutcomes::pass_on_piece(const BackendTask& task, std::string_view bytes) {
    PendingRequest* pending = core_.requests.find_unanswered(task.request);
    if (!pending) return false;
    bool has_room = pending->responder->on_answer_piece(bytes);
    pending->awaits_client = !has_room;
    pending->response_bytes += bytes.size();
    return has_room;
}

}  // namespace indigovane::routing
