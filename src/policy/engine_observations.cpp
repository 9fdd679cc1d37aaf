#include <string>

#include "policy/engine.hpp"
#include "policy/health_check_schedule.hpp"
#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

std::string endpoint_text(EndpointId id) {
    return std::to_string(std::uint32_t(id));
}

}  // namespace

/// Records the load report, the position and the role that came with an answer.
void Engine::observe_answer(Endpoint& endpoint, const AttemptOutcome& outcome,
                            const RequestClass* request_class) {
    observe_report(endpoint, outcome.report);
    bool is_commit = request_class && request_class->consistency == Consistency::write &&
                     outcome.status == AttemptStatus::ok;
    ReplicationState& replication = endpoint.replication;
    if (outcome.position && !is_commit) replication.record_position(*outcome.position, now_);
    if (outcome.role == Role::primary) replication.record_primary(now_);
    if (outcome.role == Role::replica) replication.record_replica(now_);
}

void Engine::observe_report(Endpoint& endpoint, const LoadReport& report) {
    ReplicationState& replication = endpoint.replication;
    if (report.position) {
        replication.record_position(*report.position, now_);
        bool has_load = report.cpu_utilization || report.in_flight;
        if (has_load && &endpoint != known_primary(endpoints_.group_of(endpoint)))
            endpoint.limit.record_replication_lag(report, strictest_bound(health_check_interval_),
                                                  endpoint.in_flight, now_);
    }
    if (!report.primary) return;
    // The position of a primary is the time of its report, by which the reports of several
    // endpoints are ordered.
    Time as_of = report.position.value_or(now_);
    if (*report.primary)
        replication.record_primary(as_of);
    else if (replication.primary_as_of && as_of > *replication.primary_as_of)
        replication.record_replica(as_of);
}

/// Records what the end of an attempt shows about the endpoint: whether it answers, whether it returns
/// errors, and how loaded it is.
void Engine::observe_health(Endpoint& endpoint, const AttemptOutcome& outcome, RequestClass* request_class) {
    AttemptStatus status = outcome.status;
    if (status == AttemptStatus::ok) endpoint.rejection_backoff.record_success();
    apply_ejection_change(endpoint, endpoint.ejection.record_attempt_end(status, now_));
    if (status == AttemptStatus::unreachable || status == AttemptStatus::reset)
        check_health(endpoint, HealthCheckPurpose::scheduled);
    if (status == AttemptStatus::not_started) endpoint.rejection_backoff.record_no_connection(now_);
    if (status == AttemptStatus::rejected) {
        endpoint.rejection_backoff.record_rejection(now_, random_);
        endpoint.limit.record_rejection(endpoint.in_flight, now_);
    }
    if (request_class) observe_latency(endpoint, outcome, *request_class);
}

void Engine::observe_latency(Endpoint& endpoint, const AttemptOutcome& outcome, RequestClass& request_class) {
    bool is_answered = outcome.status == AttemptStatus::ok;
    bool was_given_up =
        outcome.status == AttemptStatus::timeout || outcome.status == AttemptStatus::cancelled;
    if (!is_answered && !was_given_up) return;
    if (is_answered) request_class.record_latency(to_milliseconds(outcome.latency));
    endpoint.limit.record_latency(
        {outcome.latency, request_class.latency_objective, is_answered, endpoint.in_flight}, now_);
}

void Engine::eject(Endpoint& endpoint, Fault fault) {
    bool is_new = endpoint.ejection.eject(fault, now_);
    apply_ejection_change(endpoint, {false, is_new});
}

void Engine::apply_ejection_change(Endpoint& endpoint, const EjectionChange& change) {
    if (change.was_readmitted) {
        log("endpoint " + endpoint_text(endpoint.id) + " readmitted");
        endpoint.limit.recover();
    }
    if (change.was_ejected)
        log("endpoint " + endpoint_text(endpoint.id) + " " + describe(endpoint.ejection.fault()));
}

}  // namespace indigovane::policy
