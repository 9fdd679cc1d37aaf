// The names of messages, fields and values in the simulator protocol, and the terms that the code uses for
// them.
//
// The protocol's names are defined only here. They never change, because they are sent to and received from
// the simulator. The constants on the left have the code's terms (docs/glossary.md). Source: the simulator
// protocol in /work/given/docs.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "policy/routing_policy.hpp"

namespace indigovane::simulator {

/// Message names.
namespace messages {
// Messages from the simulator.
inline constexpr std::string_view kFrameStart = "SYNC";
inline constexpr std::string_view kFrameEnd = "OVER_TO_YOU";
inline constexpr std::string_view kInstanceStart = "OPEN_INSTANCE";
inline constexpr std::string_view kInstanceStop = "POWER_OFF";
inline constexpr std::string_view kEndpointEntries = "ROSTER";
inline constexpr std::string_view kEndpointEntry = "M";
inline constexpr std::string_view kEndpointList = "TARGETS";
inline constexpr std::string_view kRequestArrival = "ORDER";
inline constexpr std::string_view kAttemptOutcome = "DONE";
inline constexpr std::string_view kRequestCancelled = "WITHDRAWN";
inline constexpr std::string_view kTimerExpired = "TIMER";
inline constexpr std::string_view kHealthCheckResult = "PROBE_RESULT";
// Messages to the simulator.
inline constexpr std::string_view kFrameAnswer = "EOR";
inline constexpr std::string_view kSendAttempt = "HAND_OFF";
inline constexpr std::string_view kCancelAttempt = "STOP_ATTEMPT";
inline constexpr std::string_view kRejectRequest = "BUSY";
inline constexpr std::string_view kFailRequest = "REPORT_FAILURE";
inline constexpr std::string_view kCheckHealth = "POLL";
inline constexpr std::string_view kSetTimer = "SET_ALARM";
inline constexpr std::string_view kWatchEndpoints = "OBSERVE";
inline constexpr std::string_view kLogMessage = "NOTE_DOWN";
}  // namespace messages

/// Field names in messages. Times are in milliseconds and may have a fraction.
namespace fields {
// Frames.
inline constexpr std::string_view kNow = "timeMs";
inline constexpr std::string_view kFrame = "frame";
inline constexpr std::string_view kInstance = "proxy";
inline constexpr std::string_view kSeed = "nonce64";
// Endpoint lists.
inline constexpr std::string_view kEntries = "list";
inline constexpr std::string_view kEntryCount = "nodesList";
inline constexpr std::string_view kListKind = "mode";
inline constexpr std::string_view kEndpoint = "database";
inline constexpr std::string_view kGroup = "set";
inline constexpr std::string_view kZone = "rackZone";
inline constexpr std::string_view kEndpointState = "health";
inline constexpr std::string_view kIsPrimary = "leads";
inline constexpr std::string_view kStarted = "cameUpMs";
// Requests and attempts.
inline constexpr std::string_view kRequest = "txn";
inline constexpr std::string_view kRequestClass = "priority";
inline constexpr std::string_view kRequestGroup = "shard";
inline constexpr std::string_view kClientTimeout = "budgetMs";
inline constexpr std::string_view kSession = "user";
inline constexpr std::string_view kSinceLastWrite = "lastWriteMs";
inline constexpr std::string_view kMarkedAsRetry = "resent";
inline constexpr std::string_view kAttempt = "hop";
inline constexpr std::string_view kStatus = "rc";
inline constexpr std::string_view kLatency = "lagMs";
inline constexpr std::string_view kFinished = "last";
inline constexpr std::string_view kPositionAndRole = "progress";
inline constexpr std::string_view kAttemptTimeout = "capMs";
inline constexpr std::string_view kRetryAfter = "retryInMs";
// Load reports. One field holds name:value pairs; the kReport names are the names in these pairs.
inline constexpr std::string_view kLoadReport = "serverStats";
inline constexpr std::string_view kReportPosition = "x0";
inline constexpr std::string_view kReportPrimary = "x1";
inline constexpr std::string_view kReportInFlight = "concurrent";
inline constexpr std::string_view kReportQueued = "depth";
inline constexpr std::string_view kReportCpuUtilization = "load_share";
// Timers, endpoint watches and log messages.
inline constexpr std::string_view kTimer = "name";
inline constexpr std::string_view kDelay = "sleepForMs";
inline constexpr std::string_view kWatch = "enable";
inline constexpr std::string_view kText = "noteText";
}  // namespace fields

/// Setting names. The settings of a request class follow the prefix "classes.<number>.".
namespace setting_names {
inline constexpr std::string_view kFleetSize = "fleetSize";
inline constexpr std::string_view kEndpointListMode = "registryMode";
inline constexpr std::string_view kRemovalDoesNotBind = "safety.removalNotBinding";
inline constexpr std::string_view kHealthChecks = "allowed.probing";
inline constexpr std::string_view kCancels = "allowed.cancel";
inline constexpr std::string_view kHedging = "allowed.secondCopies";
inline constexpr std::string_view kRetryAfter = "allowed.retryAfter";
inline constexpr std::string_view kMaxRetryAfter = "allowed.maxRetryAfterMs";
inline constexpr std::string_view kAttempts = "allowed.tryLimit";
inline constexpr std::string_view kTokenSource = "familyInfo.sessionMarks";
inline constexpr std::string_view kStalenessCheck = "familyInfo.serverChecks";
/// One value for each class, separated by commas. The staleness bounds have the same form.
inline constexpr std::string_view kConsistencies = "familyInfo.consistency";
inline constexpr std::string_view kStalenessBounds = "familyInfo.oldestDataMs";
inline constexpr std::string_view kPositionOrigin = "familyInfo.baseTimeMs";
inline constexpr std::string_view kSlowStartShare = "safety.coldFrom";
inline constexpr std::string_view kSlowStartRamp = "safety.rampTimeMs";
inline constexpr std::string_view kOverloadMultiple = "safety.fallMultiple";
inline constexpr std::string_view kOverloadWindow = "safety.fallMs";
inline constexpr std::string_view kHealthCheckPrice = "tariffs.probe";
inline constexpr std::string_view kClassCount = "classes.count";
inline constexpr std::string_view kClassPrefix = "classes.";
inline constexpr std::string_view kIdempotency = "effect";
inline constexpr std::string_view kDeduplicationScope = "group";
inline constexpr std::string_view kDeduplicationWindow = "repeatWindowMs";
inline constexpr std::string_view kLatencyObjective = "sloMs";
inline constexpr std::string_view kDeadline = "hardLimitMs";
inline constexpr std::string_view kPriorityWeight = "worth";
inline constexpr std::string_view kLateShare = "lateShare";
}  // namespace setting_names

/// The protocol's names for the values of an enumeration.
template <typename Enum, std::size_t Count>
using ValueNames = std::array<std::pair<std::string_view, Enum>, Count>;

/// Returns the value with the name `text`, or std::nullopt if there is none.
template <typename Enum, std::size_t Count>
constexpr std::optional<Enum> value_of(const ValueNames<Enum, Count>& names, std::string_view text) {
    for (const auto& [name, value] : names)
        if (name == text) return value;
    return std::nullopt;
}

inline constexpr ValueNames<policy::AttemptStatus, 9> kAttemptStatusNames{
    {{"OK", policy::AttemptStatus::ok},
     {"INTERNAL", policy::AttemptStatus::error},
     {"RESOURCE_EXHAUSTED", policy::AttemptStatus::rejected},
     {"DEADLINE_EXCEEDED", policy::AttemptStatus::timeout},
     {"UNAVAILABLE", policy::AttemptStatus::unreachable},
     {"ABORTED", policy::AttemptStatus::reset},
     {"CANCELLED", policy::AttemptStatus::cancelled},
     {"TOO_LATE", policy::AttemptStatus::not_started},
     {"NOT_FOUND", policy::AttemptStatus::miss}}};
inline constexpr ValueNames<policy::Consistency, 5> kConsistencyNames{
    {{"update", policy::Consistency::write},
     {"latest", policy::Consistency::fresh},
     {"own_writes", policy::Consistency::session},
     {"recent", policy::Consistency::bounded},
     {"loose", policy::Consistency::any}}};
inline constexpr ValueNames<policy::Idempotency, 3> kIdempotencyNames{
    {{"retryable", policy::Idempotency::idempotent},
     {"dedup", policy::Idempotency::idempotency_key},
     {"fragile", policy::Idempotency::not_idempotent}}};
inline constexpr ValueNames<policy::DeduplicationScope, 3> kDeduplicationScopeNames{
    {{"all", policy::DeduplicationScope::all},
     {"zone", policy::DeduplicationScope::zone},
     {"cell", policy::DeduplicationScope::group}}};
inline constexpr ValueNames<policy::StalenessCheck, 3> kStalenessCheckNames{
    {{"silent", policy::StalenessCheck::none},
     {"reject", policy::StalenessCheck::refuse},
     {"hold", policy::StalenessCheck::wait}}};
inline constexpr ValueNames<policy::TokenSource, 2> kTokenSourceNames{
    {{"client", policy::TokenSource::carried}, {"router", policy::TokenSource::remembered}}};
inline constexpr ValueNames<policy::EndpointListMode, 2> kEndpointListModeNames{
    {{"automatic", policy::EndpointListMode::pushed}, {"subscribe", policy::EndpointListMode::polled}}};
/// The list kinds, indexed by their numbers in the protocol.
inline constexpr std::array kEndpointListKinds{
    policy::EndpointListKind::changes, policy::EndpointListKind::full, policy::EndpointListKind::cached,
    policy::EndpointListKind::failed};
inline constexpr ValueNames<policy::EndpointState, 3> kEndpointStateNames{
    {{"0", policy::EndpointState::gone},
     {"1", policy::EndpointState::ready},
     {"2", policy::EndpointState::draining}}};

}  // namespace indigovane::simulator
