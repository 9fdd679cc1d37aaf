// The interface of the indigovane decision module.
//
// A proxy feeds a RoutingPolicy what it sees (events) and carries out what the RoutingPolicy returns
// (actions). The RoutingPolicy does no I/O, starts no threads, keeps no globals and reads no clock: the time
// of each event is handed in. Equal settings, seed and events give equal actions. One RoutingPolicy belongs
// to one proxy; Brains share nothing.
//
// Contract
//  * Events are handed in by order of arrival with a time that never goes back.
//  * The actions of one call are carried out in the order returned, at the time of the event.
//  * Each Request is owed one final answer: an Outcome with `finished`, or a Refuse or Fail from the
//  RoutingPolicy.
//  * Each Send gets one Outcome, each Probe one ProbeResult, each SetTimer one Timer at or after its time.
//  * Member ids are the caller's: any numbers, stable for as long as the RoutingPolicy lives.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace indigovane::policy {

using Duration = std::chrono::microseconds;

// The caller's clock: steady, of any origin. Log positions are times on it.
struct Clock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
};
using Time = Clock::time_point;

enum class RequestId : std::uint64_t {};
enum class EndpointId : std::uint32_t {};
enum class GroupId : std::uint32_t {};
enum class ClassId : std::uint32_t {};
enum class ZoneId : std::uint32_t {};
enum class PeerId : std::uint32_t {};
enum class SessionKey : std::uint64_t {};
enum class TimerId : std::uint64_t {};

enum class Consistency { write, fresh, session, bounded, any };
enum class Idempotency { idempotent, idempotency_key, not_idempotent };
enum class DeduplicationScope { all, zone, group };  // where a keyed request's repeats are dropped
enum class StalenessCheck { none, refuse, wait };  // what a member does with a read it is too far behind for
enum class TokenSource {
    carried,
    remembered
};  // session tokens come with the read, or are kept by the RoutingPolicy
enum class EndpointListMode { pushed, polled };
enum class Role { primary, replica };

// Everything is optional: what a missing setting means is decided, and documented, in the module.
struct ClassSettings {
    std::optional<Consistency> consistency;
    std::optional<Idempotency> idempotency;
    std::optional<DeduplicationScope> deduplication_scope;
    std::optional<Duration>
        deduplication_window;  // a keyed repeat is dropped for this long after the first send
    std::optional<Duration> latency_objective;  // full worth up to here
    std::optional<Duration> deadline;           // the client's patience over all its tries
    std::optional<Duration> bound;              // bounded reads: oldest data when sent
    std::optional<double> priority_weight;
    std::optional<double> late_share;  // part of the worth after the aim and before the deadline
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::optional<std::uint32_t> fleet_size;  // proxies that send to the same members
    std::optional<EndpointListMode> endpoint_list_mode;
    std::optional<bool> removal_binds;  // false: a member that leaves the list undrained may still be used
    std::optional<bool> probes;
    std::optional<bool> cancels;
    std::optional<bool> hedging;
    std::optional<bool> retry_after;
    std::optional<Duration> max_retry_after;
    std::optional<std::uint32_t> attempts;  // per request
    std::optional<TokenSource> tokens;
    std::optional<StalenessCheck> staleness_check;
    std::optional<double> slow_start_share;    // a started member can do this share of its work at least
    std::optional<Duration> ramp;              // and all of it after this
    std::optional<double> overload_multiple;   // sent this multiple of what it can do at the moment
    std::optional<Duration> overload_window;   // for this long, a cold member falls over
    std::optional<double> health_check_price;  // of a probe, where a request in time earns 1 on average
};

// What a member says of itself; as old as the report.
struct LoadReport {
    std::optional<Time> position;
    std::optional<bool> primary;
    std::optional<double> in_flight;        // requests in work or waiting
    std::optional<double> queued;           // requests waiting
    std::optional<double> cpu_utilization;  // share of its cores in use
};

// ---- events
// -------------------------------------------------------------------------------------------------

enum class EndpointListKind { changes, full, cached, failed };
enum class EndpointState { ready, draining, gone };

struct EndpointEntry {
    EndpointId endpoint{};
    GroupId group{};
    ZoneId zone{};
    EndpointState state{};
    bool primary = false;         // as the list has it, which may be late or never
    std::optional<Time> started;  // latest start; none: long ago
};
struct EndpointList {
    EndpointListKind kind{};
    std::vector<EndpointEntry> entries;
};
struct RequestArrival {
    RequestId id{};
    ClassId request_class{};
    GroupId group{};
    Duration client_timeout{};          // until the client gives up this try
    std::optional<SessionKey> session;  // of writes and session reads
    std::optional<Duration>
        since_last_write;  // carried token: age of the session's last commit, none: no write
    bool repeat = false;   // the client says that it has asked before
};
// stale: the member answered, but with older data than the read allows; the answer was not passed on.
enum class AttemptStatus {
    ok,
    error,
    rejected,
    timeout,
    unreachable,
    reset,
    cancelled,
    not_started,
    miss,
    stale
};
constexpr std::size_t kStatuses = 10;

// What is known of whether a statement was executed, the weakest evidence first. It is a fact of its own and
// never follows from how useful the answer was: evidence that a statement ran is not taken back by a later
// message, a broken connection, a clock or another layer's verdict.
enum class Execution { never_ran, may_have_run, ran };

// What a status proves by itself.
constexpr Execution execution_of(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::rejected:
        case AttemptStatus::unreachable:
        case AttemptStatus::not_started:
        case AttemptStatus::miss:
            return Execution::never_ran;
        case AttemptStatus::ok:
        case AttemptStatus::stale:
            return Execution::ran;
        case AttemptStatus::error:
        case AttemptStatus::timeout:
        case AttemptStatus::reset:
        case AttemptStatus::cancelled:
            break;
    }
    return Execution::may_have_run;
}
// The same with evidence beyond the status: the stronger of the two.
constexpr Execution execution_of(AttemptStatus status, Execution evidence) {
    return evidence > execution_of(status) ? evidence : execution_of(status);
}

struct AttemptOutcome {
    RequestId id{};
    std::uint32_t attempt = 0;  // Sends of a request count from 0
    EndpointId endpoint{};
    AttemptStatus status{};
    Duration latency{};
    bool finished = false;  // the request has its final answer
    std::optional<Role> role;
    std::optional<Time> position;  // for a write that went through: its commit
    LoadReport report;
    // Evidence beyond what the status proves, such as a row that came before a refusal.
    Execution evidence = Execution::never_ran;

    Execution execution() const { return execution_of(status, evidence); }
};
struct ResponseStarted {  // the answer has begun to reach the client: no deadline any more, and no other
                          // attempt
    RequestId id{};
    std::uint32_t attempt = 0;
    EndpointId endpoint{};
    Duration latency{};
};
struct RequestCancelled {  // the client is gone; nothing more is owed
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
struct SettingsChanged {  // other settings from now on; requests in hand keep their class and their number of
                          // attempts
    Settings settings;
    std::vector<std::optional<ClassId>> continues;  // by class: the one before whose experience it takes over
};
struct SessionTokens {  // sessions' last commits, the oldest first, as another process of the same proxy
                        // knows them
    std::vector<std::pair<SessionKey, Time>> commits;
    Time floor{};  // session reads without one must see this
};
struct PrimaryGossip {  // another proxy has seen the member act as primary
    EndpointId endpoint{};
};
using Event = std::variant<EndpointList, RequestArrival, AttemptOutcome, RequestCancelled, HealthCheckResult,
                           TimerExpired, SettingsChanged, SessionTokens, ResponseStarted, PrimaryGossip>;

// ---- actions
// ------------------------------------------------------------------------------------------------

struct SendAttempt {
    RequestId id{};
    EndpointId endpoint{};
    std::optional<Duration> timeout;  // none: until the client gives up
    std::optional<Time> needs{};      // a read: the position that its data must have reached
    std::optional<Duration> start{};  // to be on a connection by then: else it ends, as one that never ran
};
struct CancelAttempt {
    RequestId id{};
    std::uint32_t attempt = 0;
};
struct RejectRequest {  // final; promises that trying again is harmless
    RequestId id{};
    std::optional<Duration> retry_after;
    bool deadline = false;  // because its time is up
};
struct FailRequest {  // final; promises nothing
    RequestId id{};
    bool deadline = false;
};
struct CheckHealth {
    EndpointId endpoint{};
};
struct SetTimer {
    TimerId id{};
    Duration delay{};
};
struct WatchEndpoints {};  // ask for the list's changes from now on; answered by one List
struct LogMessage {
    std::string text;
};
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, CheckHealth, SetTimer,
                            WatchEndpoints, LogMessage>;
using Actions = std::vector<Action>;

class RoutingPolicy {
  public:
    RoutingPolicy(const Settings& settings, std::uint64_t seed, Time now);
    ~RoutingPolicy();
    RoutingPolicy(RoutingPolicy&&) noexcept;
    RoutingPolicy& operator=(RoutingPolicy&&) noexcept;

    // Appends what to do about the event to `out`.
    void handle(Time now, const Event& event, Actions& out);
    SessionTokens tokens() const;  // all that are remembered

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace indigovane::policy
