#include "routing/attempt_dispatcher.hpp"

#include <algorithm>
#include <vector>

#include "routing/answer_bounds.hpp"

namespace indigovane::routing {

using policy::AttemptStatus;

BackendTask AttemptDispatcher::make_task(const policy::SendAttempt& send,
                                         const PendingRequest& pending) const {
    BackendTask task;
    task.request = send.id;
    task.number = std::uint32_t(pending.attempts.size());
    task.sent = core_.clock.now();
    task.deadline = send.timeout ? std::min(pending.deadline, task.sent + *send.timeout) : pending.deadline;
    if (send.required_position)
        task.required_position_unix_ms = core_.clock.to_unix(*send.required_position) / kMicrosPerMilli;
    return task;
}

void AttemptDispatcher::send(const policy::SendAttempt& send) {
    PendingRequest* pending = core_.requests.find(send.id);
    if (!pending) return;
    Endpoint* endpoint = core_.endpoints.find(send.endpoint);
    BackendTask task = make_task(send, *pending);
    std::optional<Invariant> invariant;
    if (endpoint && pending->responder)
        invariant = RequestGuard::invariant_against_attempt(
            pending->retry_rule, pending->attempts, endpoint->info.zone, endpoint->info.group, task.sent);
    if (!pending->attempts.empty() && pending->responder)
        core_.log.retried(*pending, send.endpoint, task.sent);
    bool is_over_budget = exceeds_retry_budget(*pending);
    if (is_over_budget)
        core_.completion.end_for_lost_site(send.id);
    else if (invariant)
        block_attempt(send.id, *pending, *invariant);
    ++core_.statistics.attempts;
    Attempt& attempt = pending->attempts.emplace_back();
    attempt.task = task;
    attempt.endpoint = send.endpoint;
    if (endpoint) {
        attempt.zone = endpoint->info.zone;
        attempt.group = endpoint->info.group;
        ++endpoint->attempts;
    }
    if (invariant || !pending->responder || !endpoint) {
        auto status = is_over_budget ? AttemptStatus::cancelled : AttemptStatus::not_started;
        core_.outcomes.task_ended(send.endpoint, task, result_without_answer(status));
        return;
    }
    if (send.start_timeout && *send.start_timeout > Duration::zero())
        task.start_by = task.sent + *send.start_timeout;
    submit(*endpoint, send.endpoint, task);
}

// Whether the attempt would retry a read that may have run although the retry budget is spent. The budget is
// limited while a site has a fault. A retry that is within the budget is charged to it here.
bool AttemptDispatcher::exceeds_retry_budget(const PendingRequest& pending) {
    return sites_ && pending.may_have_run() && pending.responder && !pending.request.writes() &&
           !sites_->may_retry();
}

// Records the violation. Unless it was only that another attempt is in flight, no later attempt can be
// allowed either, so the request fails.
void AttemptDispatcher::block_attempt(RequestId id, const PendingRequest& pending, Invariant invariant) {
    core_.guard.record_violation(invariant, pending.request, pending.attempts);
    if (invariant == Invariant::single_attempt) return;
    core_.completion.end_with_error(id, {FinalError::Kind::failed, false, std::nullopt},
                                    "a further attempt would break an invariant");
}

void AttemptDispatcher::submit(Endpoint& endpoint, EndpointId id, const BackendTask& task) {
    core_.timers.add(task.deadline, TaskDeadline{id, task});
    if (task.start_by < task.deadline) core_.timers.add(task.start_by, StartDeadline{id, task});
    if (sites_) sites_->task_sent(id, task.sent);
    endpoint.pool->submit(task);
}

void AttemptDispatcher::cancel(const policy::CancelAttempt& cancel) {
    const PendingRequest* pending = core_.requests.find(cancel.id);
    if (!pending || cancel.attempt >= pending->attempts.size()) return;
    // The response may have started after the policy decided to cancel.
    if (pending->response_started && pending->responder) return;
    Attempt attempt = pending->attempts[cancel.attempt];
    Endpoint* endpoint = core_.endpoints.find(attempt.endpoint);
    if (!attempt.in_flight || !endpoint) return;
    if (end_task(attempt.endpoint, *endpoint->pool, attempt.task, AttemptStatus::cancelled,
                 AttemptStatus::cancelled))
        endpoint->pool->serve_waiting();
}

void AttemptDispatcher::check_health(EndpointId id) {
    Endpoint* endpoint = core_.endpoints.find(id);
    BackendTask task;
    task.is_health_check = true;
    task.sent = core_.clock.now();
    if (!endpoint) {
        core_.outcomes.task_ended(id, task, result_without_answer(AttemptStatus::not_started));
        return;
    }
    if (endpoint->health_check) return;
    ++core_.statistics.health_checks;
    task.number = endpoint->health_checks++;
    task.deadline = task.sent + core_.limits.probe_timeout;
    endpoint->health_check = task;
    submit(*endpoint, id, task);
}

void AttemptDispatcher::resume(RequestId id) {
    PendingRequest* pending = core_.requests.find(id);
    if (!pending || pending->attempts.empty()) return;
    pending->awaits_client = false;
    const Attempt& attempt = pending->attempts.back();
    Endpoint* endpoint = attempt.in_flight ? core_.endpoints.find(attempt.endpoint) : nullptr;
    if (endpoint) endpoint->pool->resume(BackendTask(attempt.task));
}

// Left alone, each read would wait until its deadline, since a pooler with only one or two requests at a host
// can't tell an unresponsive host from a long request. Requests that are not idempotent reads are left alone,
// because they may have run.
void AttemptDispatcher::abandon_reads(const std::set<EndpointId>& unresponsive) {
    std::vector<std::pair<EndpointId, BackendTask>> abandoned;
    for (const auto& [id, pending] : core_.requests) {
        if (!pending.responder || pending.response_started || pending.request.writes() ||
            pending.retry_rule.idempotency != policy::Idempotency::idempotent)
            continue;
        for (const Attempt& attempt : pending.attempts)
            if (attempt.in_flight && unresponsive.count(attempt.endpoint))
                abandoned.emplace_back(attempt.endpoint, attempt.task);
    }
    for (const auto& [id, task] : abandoned)
        if (Endpoint* endpoint = core_.endpoints.find(id))
            end_task(id, *endpoint->pool, task, AttemptStatus::timeout, AttemptStatus::timeout);
}

void AttemptDispatcher::deadline_expired(const TaskDeadline& deadline) {
    Endpoint* endpoint = core_.endpoints.find(deadline.endpoint);
    if (!endpoint) return;
    if (std::optional<Time> extended = extended_deadline(deadline.task))
        return core_.timers.add(*extended, deadline);
    // A task that was never given a connection never ran.
    auto if_waiting = deadline.task.is_health_check ? AttemptStatus::unreachable : AttemptStatus::not_started;
    if (end_task(deadline.endpoint, *endpoint->pool, deadline.task, AttemptStatus::timeout, if_waiting))
        endpoint->pool->serve_waiting();
}

void AttemptDispatcher::start_deadline_expired(const StartDeadline& deadline) {
    Endpoint* endpoint = core_.endpoints.find(deadline.endpoint);
    if (!endpoint || !endpoint->pool->is_waiting(deadline.task) || is_response_started(deadline.task)) return;
    // A connection that is not established in time is evidence against the endpoint. A connection that the
    // budget did not allow to open is not.
    bool is_unreachable = deadline.task.is_health_check || endpoint->pool->connecting() > 0;
    auto if_waiting = is_unreachable ? AttemptStatus::unreachable : AttemptStatus::not_started;
    if (end_task(deadline.endpoint, *endpoint->pool, deadline.task, AttemptStatus::timeout, if_waiting))
        endpoint->pool->serve_waiting();
}

bool AttemptDispatcher::is_response_started(const BackendTask& task) {
    if (task.is_health_check) return false;
    const PendingRequest* pending = core_.requests.find(task.request);
    return pending && pending->response_started;
}

// When a task that has reached its deadline is to be looked at again; nullopt: it is ended now.
std::optional<Time> AttemptDispatcher::extended_deadline(const BackendTask& task) {
    if (!is_response_started(task)) return std::nullopt;
    return next_look_at_started(*core_.requests.find(task.request), core_.clock.now());
}

// Ends a task with status `if_sent` if it was on a connection, or `if_waiting` if it waited for one. False:
// the task is not in that pool.
bool AttemptDispatcher::end_task(EndpointId id, Pool& pool, const BackendTask& task, AttemptStatus if_sent,
                                 AttemptStatus if_waiting) {
    Pool::Cancelled cancelled = pool.cancel(task);
    if (cancelled == Pool::Cancelled::unknown) return false;
    auto status = cancelled == Pool::Cancelled::sent ? if_sent : if_waiting;
    core_.outcomes.task_ended(id, task, result_without_answer(status));
    return true;
}

void AttemptDispatcher::on_task_end(EndpointId endpoint, const BackendTask& task, AttemptResult result) {
    core_.outcomes.task_ended(endpoint, task, std::move(result));
}

void AttemptDispatcher::on_response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                                            std::size_t length) {
    core_.outcomes.response_started(endpoint, task, head, length);
}

bool AttemptDispatcher::on_response_piece(const BackendTask& task, std::string_view bytes) {
    return core_.outcomes.pass_on_piece(task, bytes);
}

void AttemptDispatcher::on_answer_paused(EndpointId id, const BackendTask& task, Duration pause) {
    PendingRequest* pending = task.is_health_check ? nullptr : core_.requests.find_unanswered(task.request);
    Endpoint* endpoint = core_.endpoints.find(id);
    if (!pending || !endpoint) return;
    bool policy_retries = core_.policy.may_retry_elsewhere(task.request, core_.clock.now());
    if (!may_give_up_paused_answer(*pending, pause, policy_retries)) return;
    if (endpoint->pool->cancel(task) != Pool::Cancelled::sent) return;
    pending->attempts.at(task.number).paused = true;
    AttemptResult result = result_without_answer(AttemptStatus::error);
    result.malformed = "the answer paused, and the request is retried elsewhere";
    core_.outcomes.task_ended(id, task, std::move(result));
    endpoint->pool->serve_waiting();
}

// All that holds at the moment of a send is checked here, for new connections and for idle ones.
Pool::StartDecision AttemptDispatcher::may_start(EndpointId id, BackendTask& task) {
    PendingRequest* pending = core_.requests.find_unanswered(task.request);
    const Endpoint* endpoint = core_.endpoints.find(id);
    if (!pending || !endpoint || !endpoint->accepts_requests) return {};
    Time now = core_.clock.now();
    if (now >= task.deadline || now > task.start_by) return {};
    // The client may have closed its connection without this process having read that: the event loop was
    // blocked, or it reads no further than the request.
    if (!pending->responder->is_client_present()) {
        core_.completion.withdraw(task.request, RequestAdmission::Departure::client_left);
        return {};
    }
    if (!core_.guard.admits_first_byte(*pending, task.number, endpoint->info.zone, endpoint->info.group, now))
        return {};
    if (!still_qualifies(*pending, id, task, now)) {
        core_.log.disqualified(*pending, task, id, now);
        return {nullptr, AttemptStatus::disqualified};
    }
    if (core_.requests.record_start(*pending, now) && start_observer_)
        start_observer_({StartedRequests::hash(pending->request.id), now});
    return {&pending->request};
}

// Asks the policy again whether the endpoint has what the request requires, and updates the position that the
// answer must have reached.
bool AttemptDispatcher::still_qualifies(const PendingRequest& pending, EndpointId id, BackendTask& task,
                                        Time now) {
    std::optional<std::int64_t> decided =
        std::max(task.required_position_unix_ms, pending.newer_commit_unix_ms);
    std::optional<Time> position;
    if (decided) position = core_.clock.from_unix(*decided * kMicrosPerMilli);
    policy::SendCheck check = core_.policy.check_send(task.request, id, position, now);
    task.required_position_unix_ms.reset();
    if (check.required_position)
        task.required_position_unix_ms = core_.clock.to_unix(*check.required_position) / kMicrosPerMilli;
    return check.is_allowed;
}

}  // namespace indigovane::routing
