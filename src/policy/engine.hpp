// The engine behind RoutingPolicy: it takes each event, asks the modules in order, and appends the actions.
//
// It holds the state that several modules share (endpoint table, open requests, session tokens, random
// draws) and decides nothing that a module could decide by itself. The order of a request's life:
//  1. on arrival: admission (worth admitting?), then its group's queue;
//  2. dispatch of the queue: retry policy (may it go?), replica selection, which asks outlier ejection and
//     rejection backoff, replication state, round trips, concurrency limit and slow start; else admission
//     (how long queued?);
//  3. on an attempt's end: what it tells of the endpoint, session tokens, retry policy, then the queue
//     again or the final answer.
// Maintenance, every 20 ms while a group is in use: unresponsive endpoints, health checks, dispatch.
//
// Files: engine.cpp (events), engine_observations.cpp (what events tell of endpoints), engine_requests.cpp
// (a request's way), engine_maintenance.cpp.
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
#include "policy/session_tokens.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

class Engine {
  public:
    Engine(const Settings& settings, std::uint64_t seed, Time now);

    void handle(Time now, const Event& event, Actions& out);
    SessionTokens tokens() const { return session_tokens_.snapshot(); }

  private:
    // Events.
    void start();
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

    // What events tell of endpoints.
    void observe_answer(Endpoint& endpoint, const AttemptOutcome& outcome, const RequestClass* request_class);
    void observe_report(Endpoint& endpoint, const LoadReport& report);
    void observe_health(Endpoint& endpoint, const AttemptOutcome& outcome, RequestClass* request_class);
    void observe_latency(Endpoint& endpoint, const AttemptOutcome& outcome, RequestClass& request_class);
    void eject(Endpoint& endpoint, Fault fault);
    void apply_ejection_change(Endpoint& endpoint, const EjectionChange& change);

    // A request's way.
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

    // Maintenance of groups in use.
    void record_use(ReplicaGroup& group, const Request& request);
    void maintain_groups();
    void maintain(ReplicaGroup& group);
    void check_health(Endpoint& endpoint, HealthCheckPurpose purpose);

    double fleet_size() const;
    void append_action(Action action) { actions_->push_back(std::move(action)); }
    /// Drops the line if another was logged less than a second ago.
    void log(std::string text);

    Settings settings_;
    std::vector<std::shared_ptr<RequestClass>> classes_;
    Duration health_check_interval_{};
    Random random_;

    Time now_;
    Actions* actions_ = nullptr;  // of the event at hand

    EndpointTable endpoints_;
    RequestTable requests_;
    SessionTokenStore session_tokens_;
    HealthCheckBudget health_check_budget_;
    EndpointListPoll list_poll_;
    std::vector<ReplicaGroup*> maintained_groups_;  // by the time since which they are in use
    bool has_started_ = false;
    bool clients_mark_retries_ = false;  // some client has
    std::optional<Time> logged_at_;
};

}  // namespace indigovane::policy
