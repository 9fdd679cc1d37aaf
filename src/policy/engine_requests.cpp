#include <algorithm>
#include <utility>

#include "policy/admission.hpp"
#include "policy/engine.hpp"
#include "policy/engine_timers.hpp"
#include "policy/retry_policy.hpp"

namespace indigovane::policy {

void Engine::enqueue(ReplicaGroup& group, Request& request) {
    request.enqueue();
    group.queue.push_back(request.id);
}

/// Sends the queued requests for which an endpoint has capacity; the others stay queued or get
/// their final answer.
void Engine::dispatch_queued(ReplicaGroup& group) {
    if (group.queue.empty()) return;
    std::vector<Request*> queue;
    queue.reserve(group.queue.size());
    for (RequestId id : group.queue) queue.push_back(&requests_.at(id));
    group.queue.clear();
    sort_for_dispatch(queue, now_);
    for (Request* request : queue) dispatch(group, *request);
}

void Engine::dispatch(ReplicaGroup& group, Request& request) {
    // The deduplication window may have ended while a retry was queued.
    if (!may_retry(request, now_)) return send_final_answer(request);
    Selection selection = select_endpoint(group, request);
    if (selection.decision == Selection::Decision::send) return send(request, *selection.endpoint);
    if (selection.decision == Selection::Decision::check_health)
        start_on_demand_check(request, *selection.endpoint);
    if (selection.decision == Selection::Decision::reject) return send_final_answer(request);
    Time give_up_at = queue_deadline(request);
    if (now_ >= give_up_at) return send_final_answer(request);
    group.queue.push_back(request.id);
    set_review_timer(request, give_up_at);
}

Selection Engine::select_endpoint(const ReplicaGroup& group, const Request& request) {
    bool needs_token =
        request.request_class->consistency == Consistency::session || endpoints_check_staleness(settings_);
    Time token = needs_token ? session_token(request) : Time{};
    return ReplicaSelector({settings_, health_check_interval_, now_, random_}, group, request, token)
        .select();
}

/// The staleness bound counts from the send, so that the position that a bounded read requires rises while it
/// waits for a connection.
SendCheck Engine::check_send(RequestId id, EndpointId endpoint_id, std::optional<Time> decided_position,
                             Time now) {
    const Request* request = requests_.find(id);
    const Endpoint* endpoint = endpoints_.find(endpoint_id);
    const ReplicaGroup* group = request ? endpoints_.find_group(request->group) : nullptr;
    if (!group || !endpoint) return {true, decided_position};
    SendCheck check;
    check.required_position = std::max(decided_position, required_position(*request, Time{}, now));
    Time token = check.required_position.value_or(Time{});
    check.is_allowed =
        ReplicaSelector({settings_, health_check_interval_, now, random_}, *group, *request, token)
            .still_qualifies(*endpoint, check.required_position);
    return check;
}

bool Engine::may_retry_elsewhere(RequestId id, Time now) {
    const Request* request = requests_.find(id);
    if (!request || request->phase() != Request::Phase::in_flight || !may_retry(*request, now)) return false;
    const ReplicaGroup* group = endpoints_.find_group(request->group);
    return group && ReplicaSelector({settings_, health_check_interval_, now, random_}, *group, *request,
                                    session_token(*request))
                        .has_alternative();
}

void Engine::start_on_demand_check(Request& request, Endpoint& endpoint) {
    request.on_demand_check.endpoint = &endpoint;
    request.on_demand_check.sent = now_;
    ++request.on_demand_check.count;
    check_health(endpoint, HealthCheckPurpose::on_demand);
}

void Engine::send(Request& request, Endpoint& endpoint) {
    Time start_by = attempt_start_deadline(request, now_);
    request.start_attempt(endpoint, now_);
    endpoint.ejection.record_attempt_sent(endpoint.in_flight, request.request_class->usual_latency_ms, now_);
    ++endpoint.in_flight;
    append_action(
        SendAttempt{request.id, endpoint.id, std::nullopt, required_position_of(request), start_by - now_});
    set_review_timer(request, request.answer_due());
}

/// The token that the client sent, or, where clients send none or this one can't, the one that is remembered
/// now: the session may have written since this read was queued. Where endpoints do not check positions, a
/// write of the session in flight may have been answered already; then the token is the present time.
Time Engine::session_token(const Request& request) const {
    bool is_carried = settings_.token_source.value_or(TokenSource::carried) == TokenSource::carried;
    if (is_carried && !request.uses_remembered_token) return request.carried_token;
    bool may_be_unseen = !endpoints_check_staleness(settings_) && request.session &&
                         requests_.has_unresolved_write(*request.session);
    return may_be_unseen ? now_ : session_tokens_.token(request.session);
}

std::optional<Time> Engine::required_position_of(const Request& request) const {
    bool is_session_read = request.request_class->consistency == Consistency::session;
    return required_position(request, is_session_read ? session_token(request) : Time{}, now_);
}

void Engine::complete_attempt(ReplicaGroup& group, Request& request, const AttemptOutcome& outcome) {
    bool is_disqualified = outcome.status == AttemptStatus::disqualified;
    request.end_attempt(outcome.attempt, outcome.execution(), is_disqualified);
    if (is_disqualified) request.undecided_since = now_;
    remember_write(request, outcome);
    if (outcome.is_request_finished || request.phase() == Request::Phase::finished) return finish(request);
    if (request.attempts_in_flight() > 0) return;
    if (may_retry(request, now_))
        enqueue(group, request);
    else
        send_final_answer(request);
}

/// Remembers the commit of a write as its session's token. Where endpoints do not check positions, an attempt
/// of a write that failed but may have run counts as a commit now.
void Engine::remember_write(const Request& request, const AttemptOutcome& outcome) {
    if (!request.session || !request.is_write_of(*request.session)) return;
    bool is_ok = outcome.status == AttemptStatus::ok;
    bool may_have_committed =
        !endpoints_check_staleness(settings_) && !is_ok && outcome.execution() != Execution::never_ran;
    if (may_have_committed)
        session_tokens_.remember(*request.session, now_, now_);
    else if (outcome.is_request_finished && is_ok && outcome.position)
        session_tokens_.remember(*request.session, *outcome.position, now_);
}

/// Called when the request's timer expires. Gives the final answer if the request's time is over, or else
/// sets the timer again.
void Engine::review(Request& request) {
    if (request.phase() == Request::Phase::finished || request.has_response_started()) return;
    bool is_queued = request.phase() == Request::Phase::queued;
    Time next = is_queued ? queue_deadline(request) : request.answer_due();
    if (now_ >= next || now_ >= request.answer_due())
        send_final_answer(request);
    else
        set_review_timer(request, next);
}

/// Gives the final answer immediately: a rejection if a retry by the client is harmless, else a failure.
void Engine::send_final_answer(Request& request) {
    cancel_attempts(request);
    bool is_past_deadline = now_ >= request.answer_due();
    if (rejection_is_harmless(request))
        append_action(RejectRequest{request.id, retry_after(settings_), is_past_deadline});
    else
        append_action(FailRequest{request.id, is_past_deadline});
    finish(request);
}

/// Cancels the attempts in flight, whose answers nobody waits for any more, where the settings allow it.
void Engine::cancel_attempts(const Request& request) {
    if (!settings_.may_cancel_attempts.value_or(false)) return;
    std::uint32_t number = 0;
    for (const Attempt& attempt : request.attempts()) {
        if (attempt.is_in_flight()) append_action(CancelAttempt{request.id, number});
        ++number;
    }
}

void Engine::finish(Request& request) {
    if (request.phase() == Request::Phase::queued)
        if (ReplicaGroup* group = endpoints_.find_group(request.group)) std::erase(group->queue, request.id);
    request.finish();
    if (request.attempts_in_flight() == 0) requests_.erase(request.id);
}

/// Sets the request's timer, but not after its final answer is due. An earlier timer that has
/// not expired stays.
void Engine::set_review_timer(Request& request, Time at) {
    at = std::max(std::min(at, request.answer_due()), now_);
    if (request.review_at && *request.review_at <= at && *request.review_at > now_) return;
    request.review_at = at;
    append_action(SetTimer{request_timer(request.id), at - now_});
}

}  // namespace indigovane::policy
