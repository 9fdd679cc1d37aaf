// An emulated pooler with one RoutingPolicy, for tests of the whole policy: it performs the actions, lets
// timers expire and answers health checks as `hosts` says.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"

namespace indigovane::policy::testing {

using namespace std::chrono_literals;

// ClassIds of the classes in usual_settings().
constexpr std::uint32_t kBounded = 0;
constexpr std::uint32_t kSession = 1;
constexpr std::uint32_t kAny = 2;
constexpr std::uint32_t kWrite = 3;
constexpr std::uint32_t kFresh = 4;

constexpr EndpointId kPrimary{0};

inline Settings usual_settings(Idempotency write_idempotency = Idempotency::not_idempotent) {
    Settings settings;
    auto add_class = [&](Consistency consistency, Idempotency idempotency, Duration latency_objective,
                         Duration deadline) {
        ClassSettings added;
        added.consistency = consistency;
        added.idempotency = idempotency;
        added.latency_objective = latency_objective;
        added.deadline = deadline;
        added.priority_weight = 1;
        added.late_share = consistency == Consistency::write ? 0.5 : 0;
        added.staleness_bound = consistency == Consistency::bounded ? 200ms : 0ms;
        added.deduplication_scope = DeduplicationScope::group;
        added.deduplication_window = 1s;
        settings.classes.push_back(added);
    };
    add_class(Consistency::bounded, Idempotency::idempotent, 400ms, 1s);
    add_class(Consistency::session, Idempotency::idempotent, 400ms, 1s);
    add_class(Consistency::any, Idempotency::idempotent, 400ms, 1s);
    add_class(Consistency::write, write_idempotency, 500ms, 3s);
    add_class(Consistency::fresh, Idempotency::idempotent, 400ms, 1s);
    settings.fleet_size = 1;
    settings.endpoint_list_mode = EndpointListMode::pushed;
    settings.may_check_health = true;
    settings.may_cancel_attempts = true;
    settings.hedging = false;
    settings.may_send_retry_after = true;
    settings.max_retry_after = 1s;
    settings.max_attempts = 6;
    settings.token_source = TokenSource::carried;
    settings.staleness_check = StalenessCheck::none;
    settings.slow_start_share = 0.2;
    settings.slow_start_ramp = 10s;
    settings.overload_multiple = 2;
    settings.overload_window = 1s;
    return settings;
}

/// Settings under which endpoints check staleness themselves, and only answers inform about endpoints.
inline Settings settings_without_health_checks() {
    Settings settings = usual_settings();
    settings.may_check_health = false;
    settings.staleness_check = StalenessCheck::wait;
    settings.classes[kBounded].staleness_bound = 3s;
    return settings;
}

struct EmulatedPooler {
    /// What an endpoint answers to health checks.
    struct Host {
        bool is_primary = false;
        Duration lag = 0ms;
        bool is_reachable = true;
        std::optional<double> cpu_utilization{};
        std::optional<double> in_flight{};
    };
    struct SentAttempt {
        RequestId id;
        EndpointId endpoint;
        std::uint32_t attempt;
        Time at;
    };

    RoutingPolicy policy;
    Time now{100s};
    std::map<EndpointId, Host> hosts;
    std::multimap<Time, TimerId> timers;
    std::vector<SentAttempt> sends;
    std::vector<CancelAttempt> cancels;
    std::map<RequestId, std::string> final_answers;
    std::map<RequestId, std::uint32_t> attempts;
    std::optional<Duration> retry_after;
    int health_checks = 0;
    int watches = 0;
    int log_lines = 0;
    std::vector<std::pair<Time, EndpointId>> checks_in_flight;
    std::uint64_t next_id = 1;

    explicit EmulatedPooler(const Settings& settings = usual_settings(), std::uint64_t seed = 7)
        : policy(settings, seed, now) {}

    void deliver(const Event& event) {
        Actions actions;
        policy.handle(now, event, actions);
        for (const Action& action : actions)
            std::visit([this](const auto& typed_action) { carry_out(typed_action); }, action);
    }
    void carry_out(const SendAttempt& send) {
        sends.push_back({send.id, send.endpoint, attempts[send.id]++, now});
    }
    void carry_out(const RejectRequest& reject) {
        give_final_answer(reject.id, "rejected");
        retry_after = reject.retry_after;
    }
    void carry_out(const FailRequest& fail) { give_final_answer(fail.id, "failed"); }
    void carry_out(const CancelAttempt& cancel) { cancels.push_back(cancel); }
    void carry_out(const SetTimer& timer) { timers.emplace(now + timer.delay, timer.id); }
    void carry_out(const WatchEndpoints&) { ++watches; }
    void carry_out(const LogMessage&) { ++log_lines; }
    void carry_out(const CheckHealth& check) {
        ++health_checks;
        checks_in_flight.emplace_back(now + 1ms, check.endpoint);
    }
    void give_final_answer(RequestId id, const char* how) {
        EXPECT_FALSE(final_answers.contains(id)) << "request has a second final answer";
        final_answers[id] = how;
    }

    void apply_list(EndpointListKind kind, std::vector<EndpointEntry> entries) {
        deliver(EndpointList{kind, std::move(entries)});
    }
    static EndpointEntry entry(std::uint32_t id, EndpointState state = EndpointState::ready,
                               std::optional<Time> started = std::nullopt) {
        return {EndpointId{id}, GroupId{1}, ZoneId{}, state, false, started};
    }
    /// Lists endpoints 0 to count - 1, of which 0 is the primary, and lets each answer its
    /// first health check.
    void add_group(std::uint32_t count) {
        std::vector<EndpointEntry> entries;
        for (std::uint32_t i = 0; i < count; ++i) {
            entries.push_back(entry(i));
            hosts[EndpointId{i}] = {i == 0, 5ms, true};
        }
        apply_list(EndpointListKind::full, entries);
        serve(request(kAny));
        advance(50ms);
    }

    /// Lets time pass, with the timers and health check answers that are due.
    void advance(Duration duration) {
        Time end = now + duration;
        for (;;) {
            Time next = end;
            if (!timers.empty()) next = std::min(next, timers.begin()->first);
            for (const auto& [at, endpoint] : checks_in_flight) next = std::min(next, at);
            now = std::max(now, next);
            auto due = std::find_if(checks_in_flight.begin(), checks_in_flight.end(),
                                    [&](const auto& check) { return check.first <= now; });
            if (due != checks_in_flight.end()) {
                EndpointId endpoint = due->second;
                checks_in_flight.erase(due);
                complete_check(endpoint);
            } else if (!timers.empty() && timers.begin()->first <= now) {
                TimerId id = timers.begin()->second;
                timers.erase(timers.begin());
                deliver(TimerExpired{id});
            } else if (now >= end) {
                return;
            }
        }
    }
    void complete_check(EndpointId endpoint) {
        Host host = hosts[endpoint];
        LoadReport report{now - (host.is_primary ? 0ms : host.lag),
                          host.is_primary,
                          host.in_flight,
                          {},
                          host.cpu_utilization};
        AttemptStatus status = host.is_reachable ? AttemptStatus::ok : AttemptStatus::unreachable;
        deliver(HealthCheckResult{endpoint, status, 1ms, report});
    }

    RequestId request(std::uint32_t request_class, Duration client_timeout = 1s,
                      std::optional<Duration> token = std::nullopt,
                      std::optional<SessionKey> session = std::nullopt, std::uint32_t group = 1) {
        RequestId id{next_id++};
        deliver(RequestArrival{id, ClassId{request_class}, GroupId{group}, client_timeout, session, token,
                               false});
        return id;
    }
    const SentAttempt* last_attempt(RequestId id) const {
        for (auto it = sends.rbegin(); it != sends.rend(); ++it)
            if (it->id == id) return &*it;
        return nullptr;
    }
    EndpointId target(RequestId id) const {
        return last_attempt(id) ? last_attempt(id)->endpoint : EndpointId{999};
    }
    bool has_final_answer(RequestId id) const { return final_answers.contains(id); }

    void end_attempt(RequestId id, AttemptStatus status, std::optional<Role> role = std::nullopt,
                     std::optional<Time> position = std::nullopt, Execution evidence = Execution::never_ran) {
        const SentAttempt* sent = last_attempt(id);
        if (!sent) return;
        bool finished = status == AttemptStatus::ok || final_answers.contains(id);
        if (status == AttemptStatus::ok && !final_answers.contains(id)) final_answers[id] = "served";
        deliver(AttemptOutcome{id,
                               sent->attempt,
                               sent->endpoint,
                               status,
                               now - sent->at,
                               finished,
                               role,
                               position,
                               {},
                               evidence});
    }
    /// Ends the request's last attempt successfully after 10 ms; first waits up to 20 ms for it to be sent.
    void serve(RequestId id) {
        if (!last_attempt(id)) advance(20ms);
        if (const SentAttempt* sent = last_attempt(id)) {
            const Host& host = hosts[sent->endpoint];
            now += 10ms;
            end_attempt(id, AttemptStatus::ok, host.is_primary ? Role::primary : Role::replica,
                        now - (host.is_primary ? 0ms : host.lag));
        }
    }
};

}  // namespace indigovane::policy::testing
