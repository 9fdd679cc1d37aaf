// The engine behind RoutingPolicy: it receives each event, calls the modules in order and
// appends the actions.
//
// It holds the state that several modules share (endpoint table, open requests, session tokens, random number
// generator) and makes no decision that belongs to one module. The steps of a request:
//  1. On arrival, admission decides whether it is admitted; then it joins its group's queue.
//  2. When the queue is dispatched, the retry policy decides whether it may be sent. Replica selection
//     chooses the endpoint; it consults outlier ejection, rejection backoff, replication state, round trip
//     times, concurrency limit and slow start. If none is chosen, admission decides how long the request
//     stays queued.
//  3. When an attempt ends, the engine records what that shows about the endpoint, then the session token.
//     The retry policy decides whether the request is queued again or gets its final answer.
// Maintenance, every 20 ms while a group is in use, ejects unresponsive endpoints, sends health checks and
// dispatches the queue.
//
// Files: engine.cpp (events), engine_observations.cpp (what events show about endpoints), engine_requests.cpp
// (the steps of a request), engine_maintenance.cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/actions.hpp"
#include "policy/endpoint_list_poll.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/events.hpp"
#include "policy/health_check_budget.hpp"
#include "policy/random.hpp"
#include "policy/replica_selection.hpp"
#include "policy/request_class.hpp"
#include "policy/request_state.hpp"
#include "policy/routing_policy.hpp"
#include "policy/session_tokens.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// The implementation of RoutingPolicy, with the same contract. Not thread-safe.
class Engine {
  public:
    Engine(const Settings& settings, std::uint64_t seed, Time now);

    /// Appends the actions that the event leads to to `out`.
    void handle(Time now, const Event& event, Actions& out);
    SendCheck check_send(RequestId id, EndpointId endpoint_id, std::optional<Time> decided_position,
                         Time now);
    bool may_retry_elsewhere(RequestId id, Time now);
    SessionTokens tokens() const { return session_tokens_.snapshot(); }

  private:
    // Events.
    void start_list_polling();
    void on_event(const EndpointList& list);
    void on_event(const RequestArrival& arrival);
    void on_event(const AttemptOutcome& outcome);
    void on_event(const RequestCancelled& cancelled);
    void on_event(const HealthCheckResult& result);
    void on_event(const TimerExpired& expired);
    void on_event(const SettingsChanged& change);
    void on_event(const SessionTokens& tokens);
    void on_event(const ResponseStarted& started);
    void on_event(const PrimaryGossip& gossip);
    void apply_settings(const Settings& settings);
    void forget_endpoints();

    // What events show about endpoints.
    void observe_answer(Endpoint& endpoint, const AttemptOutcome& outcome, const RequestClass* request_class);
    void observe_report(Endpoint& endpoint, const LoadReport& report);
    void observe_health(Endpoint& endpoint, const AttemptOutcome& outcome, RequestClass* request_class);
    void observe_latency(Endpoint& endpoint, const AttemptOutcome& outcome, RequestClass& request_class);
    void eject(Endpoint& endpoint, Fault fault);
    void apply_ejection_change(Endpoint& endpoint, const EjectionChange& change);

    // The steps of a request.
    void enqueue(ReplicaGroup& group, Request& request);
    void dispatch_queued(ReplicaGroup& group);
    void dispatch(ReplicaGroup& group, Request& request);
    Selection select_endpoint(const ReplicaGroup& group, const Request& request);
    void start_on_demand_check(Request& request, Endpoint& endpoint);
    void send(Request& request, Endpoint& endpoint);
    void complete_attempt(ReplicaGroup& group, Request& request, const AttemptOutcome& outcome);
    void remember_write(const Request& request, const AttemptOutcome& outcome);
    void review(Request& request);
    void send_final_answer(Request& request);
    void cancel_attempts(const Request& request);
    void finish(Request& request);
    void set_review_timer(Request& request, Time at);
    Time session_token(const Request& request) const;
    std::optional<Time> required_position_of(const Request& request) const;

    // Maintenance of the groups in use.
    void record_use(ReplicaGroup& group, const Request& request);
    void maintain_groups();
    void maintain(ReplicaGroup& group);
    void check_health(Endpoint& endpoint, HealthCheckPurpose purpose);

    double fleet_size() const;
    void append_action(Action action) { actions_->push_back(std::move(action)); }
    /// Logs at most one line a second: drops this one if another was logged less than a second ago.
    void log(std::string text);

    Settings settings_;
    std::vector<std::shared_ptr<RequestClass>> classes_;
    Duration health_check_interval_{};
    Random random_;

    // Set by handle() for the event that it handles.
    Time now_;
    Actions* actions_ = nullptr;

    EndpointTable endpoints_;
    RequestTable requests_;
    SessionTokenStore session_tokens_;
    HealthCheckBudget health_check_budget_;
    EndpointListPoll list_poll_;
    std::vector<ReplicaGroup*> maintained_groups_;  // ordered by the start of their present use
    bool has_started_ = false;
    bool clients_mark_retries_ = false;  // a client has marked a retry since the start
    std::optional<Time> logged_at_;
};

}  // namespace indigovane::policy
