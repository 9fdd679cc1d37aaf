// Events: what the caller observes and passes to RoutingPolicy::handle.
//
// An event states a fact as the caller observed it. The routing policy decides what follows from it.
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

/// What an endpoint reports about itself. The values are as old as the report; an absent one
/// was not reported.
struct LoadReport {
    std::optional<Time> position;           ///< log position that the endpoint has applied
    std::optional<bool> primary;            ///< whether it acts as primary
    std::optional<double> in_flight;        ///< requests executing or queued
    std::optional<double> queued;           ///< requests queued
    std::optional<double> cpu_utilization;  ///< share of its cores in use, 0 to 1
};

/// What an EndpointList contains.
enum class EndpointListKind {
    changes,  ///< only the entries that changed
    full,     ///< the complete list, from discovery
    cached,   ///< a complete list from a cache, which may be old
    failed    ///< the list could not be retrieved; no entries
};
/// What the list says about an endpoint: it takes new requests, only finishes those in flight, or has left.
enum class EndpointState { ready, draining, gone };

/// One endpoint in an endpoint list.
struct EndpointEntry {
    EndpointId endpoint{};
    GroupId group{};
    ZoneId zone{};
    EndpointState state{};
    bool primary = false;         ///< what the list says, which may lag or stay wrong
    std::optional<Time> started;  ///< its latest start; absent if that was long ago
};

/// The endpoint list or a part of it, or the failure to retrieve it.
struct EndpointList {
    EndpointListKind kind{};
    std::vector<EndpointEntry> entries;
};

/// A client's request has arrived. It leads to exactly one final answer.
struct RequestArrival {
    RequestId id{};
    ClassId request_class{};
    GroupId group{};
    Duration client_timeout{};                 ///< after which the client abandons this attempt of its own
    std::optional<SessionKey> session;         ///< set for writes and session reads
    std::optional<Duration> since_last_write;  ///< session token sent by the client: the age of the session's
                                               ///< last commit; absent: no write
    bool is_retry = false;                     ///< the client marks this request as a retry of its own
    bool uses_remembered_token = false;        ///< its client can't send a token: the remembered one counts
};

/// An attempt has ended.
struct AttemptOutcome {
    RequestId id{};
    std::uint32_t attempt = 0;  ///< index of the request's SendAttempt, from 0
    EndpointId endpoint{};
    AttemptStatus status{};
    Duration latency{};                ///< from sending to the end
    bool is_request_finished = false;  ///< the client has got its final answer
    std::optional<Role> role;          ///< the role in which the endpoint answered
    std::optional<Time> position;  ///< log position of the answer's data; of a successful write, its commit
    LoadReport report;
    /// What is known beyond the status, such as that a row arrived before a refusal.
    Execution evidence = Execution::never_ran;

    /// What status and evidence together prove about the statement's execution.
    Execution execution() const { return execution_of(status, evidence); }
};

/// The client has begun to receive the answer: the deadline no longer applies, and no further
/// attempt is sent.
struct ResponseStarted {
    RequestId id{};
    std::uint32_t attempt = 0;
    EndpointId endpoint{};
    Duration latency{};  ///< from sending to the first byte of the answer
};

/// The client has left; the request needs no final answer.
struct RequestCancelled {
    RequestId id{};
};

/// The end of the health check that a CheckHealth action started.
struct HealthCheckResult {
    EndpointId endpoint{};
    AttemptStatus status{};
    Duration latency{};
    LoadReport report;
};

/// The delay of a SetTimer action has passed.
struct TimerExpired {
    TimerId id{};
};

/// Replaces the settings. Open requests keep their class and their maximum number of attempts.
struct SettingsChanged {
    Settings settings;
    /// By new class: the class before the change whose usual latency it takes over.
    std::vector<std::optional<ClassId>> previous_classes;
};

/// The last commit of each session, the oldest first, as another process of the same pooler remembers them.
struct SessionTokens {
    std::vector<std::pair<SessionKey, Time>> commits;
    Time floor{};  ///< position that all session reads must see, also of sessions without a commit here
};

/// Another pooler reports that the endpoint acts as primary.
struct PrimaryGossip {
    EndpointId endpoint{};
};

using Event = std::variant<EndpointList, RequestArrival, AttemptOutcome, RequestCancelled, HealthCheckResult,
                           TimerExpired, SettingsChanged, SessionTokens, ResponseStarted, PrimaryGossip>;

}  // namespace indigovane::policy
