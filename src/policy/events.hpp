// Events: what the caller observes and hands to RoutingPolicy::handle.
//
// Every event is a fact as the caller saw it; what follows from it is decided in the module.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "policy/attempt_status.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// What an endpoint reports of itself; as old as the report.
struct LoadReport {
    std::optional<Time> position;  ///< up to which it has applied the log
    std::optional<bool> primary;
    std::optional<double> in_flight;        ///< requests in work or waiting
    std::optional<double> queued;           ///< requests waiting
    std::optional<double> cpu_utilization;  ///< share of its cores in use
};

enum class EndpointListKind { changes, full, cached, failed };
enum class EndpointState { ready, draining, gone };

struct EndpointEntry {
    EndpointId endpoint{};
    GroupId group{};
    ZoneId zone{};
    EndpointState state{};
    bool primary = false;         ///< as the list has it, which may be late or never
    std::optional<Time> started;  ///< its latest start; none: long ago
};

/// The endpoint list or a part of it, or that it could not be had (`failed`).
struct EndpointList {
    EndpointListKind kind{};
    std::vector<EndpointEntry> entries;
};

struct RequestArrival {
    RequestId id{};
    ClassId request_class{};
    GroupId group{};
    Duration client_timeout{};          ///< until the client gives up this attempt of its own
    std::optional<SessionKey> session;  ///< of writes and session reads
    std::optional<Duration>
        since_last_write;   ///< carried token: age of the session's last commit, none: no write
    bool is_retry = false;  ///< the client marks that it has asked before
};

struct AttemptOutcome {
    RequestId id{};
    std::uint32_t attempt = 0;  ///< SendAttempts of a request count from 0
    EndpointId endpoint{};
    AttemptStatus status{};
    Duration latency{};
    bool is_request_finished = false;  ///< the request has its final answer
    std::optional<Role> role;
    std::optional<Time> position;  ///< for a write that went through: its commit
    LoadReport report;
    /// Beyond what the status proves, such as a row that came before a refusal.
    Execution evidence = Execution::never_ran;

    Execution execution() const { return execution_of(status, evidence); }
};

/// The answer has begun to reach the client: no deadline any more, and no other attempt.
struct ResponseStarted {
    RequestId id{};
    std::uint32_t attempt = 0;
    EndpointId endpoint{};
    Duration latency{};
};

/// The client is gone; nothing more is owed.
struct RequestCancelled {
    RequestId id{};
};

struct HealthCheckResult {
    EndpointId endpoint{};
    AttemptStatus status{};
    Duration latency{};
    LoadReport report;
};

struct TimerExpired {
    TimerId id{};
};

/// Other settings from now on. Open requests keep their class and their number of attempts.
struct SettingsChanged {
    Settings settings;
    std::vector<std::optional<ClassId>>
        previous_classes;  ///< by class: the one before whose experience it takes over
};

/// Sessions' last commits, the oldest first, as another process of the same pooler knows them.
struct SessionTokens {
    std::vector<std::pair<SessionKey, Time>> commits;
    Time floor{};  ///< session reads of sessions without a commit here must see this
};

/// Another pooler has seen the endpoint act as primary.
struct PrimaryGossip {
    EndpointId endpoint{};
};

using Event = std::variant<EndpointList, RequestArrival, AttemptOutcome, RequestCancelled, HealthCheckResult,
                           TimerExpired, SettingsChanged, SessionTokens, ResponseStarted, PrimaryGossip>;

}  // namespace indigovane::policy
