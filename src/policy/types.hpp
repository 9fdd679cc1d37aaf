// The identifiers, times and enumerations that the decision module's interface is written in.
//
// Durations are whole microseconds. Ids are chosen by the caller; they are compared, never interpreted.
#pragma once

#include <chrono>
#include <cstdint>

namespace indigovane::policy {

using Duration = std::chrono::microseconds;

/// The caller's clock: steady, of any origin. Commit positions are times on it.
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
enum class GroupId : std::uint32_t {};  ///< a replica group: one primary and its replicas
enum class ClassId : std::uint32_t {};  ///< an index into Settings::classes
enum class ZoneId : std::uint32_t {};
enum class PeerId : std::uint32_t {};
enum class SessionKey : std::uint64_t {};
enum class TimerId : std::uint64_t {};

/// What a request needs of the data: a write and a fresh read need the primary, a session read its own writes
/// (read-your-writes), a bounded read data of bounded staleness, and an any read nothing.
enum class Consistency { write, fresh, session, bounded, any };

/// Whether running a statement twice does what running it once does: always, by its idempotency key, or not.
enum class Idempotency { idempotent, idempotency_key, not_idempotent };

/// Where repeats of a request with an idempotency key are dropped.
enum class DeduplicationScope { all, zone, group };

/// What an endpoint does with a read that it is too far behind for: answer it all the same, refuse it, or
/// wait.
enum class StalenessCheck { none, refuse, wait };

/// Session tokens come with the read, or are remembered by the RoutingPolicy.
enum class TokenSource { carried, remembered };

/// The endpoint list arrives by itself, or only after a WatchEndpoints action.
enum class EndpointListMode { pushed, polled };

enum class Role { primary, replica };

}  // namespace indigovane::policy
