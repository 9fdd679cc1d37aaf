// Identifiers, times and enumerations of the routing policy's interface.
//
// Durations are whole microseconds. The caller chooses the ids, which have no meaning to the routing policy.
#pragma once

#include <chrono>
#include <cstdint>

namespace indigovane::policy {

using Duration = std::chrono::microseconds;

/// The caller's clock: steady, with any origin. A position in the replication log is the commit time of its
/// last entry on this clock.
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
enum class GroupId : std::uint32_t {};  ///< a replication group: one primary and its replicas
enum class ClassId : std::uint32_t {};  ///< an index into Settings::classes
enum class ZoneId : std::uint32_t {};
enum class PeerId : std::uint32_t {};
enum class SessionKey : std::uint64_t {};
enum class TimerId : std::uint64_t {};

/// How current the data must be that a request works on. Writes and fresh reads need the primary. A session
/// read must see its session's own writes (read-your-writes). A bounded read accepts data up to the class's
/// staleness bound. An any read accepts data of any age.
enum class Consistency { write, fresh, session, bounded, any };

/// Whether executing a request twice has the effect of executing it once: always (`idempotent`), only where
/// endpoints drop duplicates by its idempotency key (`idempotency_key`), or not at all (`not_idempotent`).
enum class Idempotency { idempotent, idempotency_key, not_idempotent };

/// Which endpoints recognize and drop the duplicate of a request with an idempotency key: all endpoints,
/// those in the zone of the endpoint that executed it first, or those of its group.
enum class DeduplicationScope { all, zone, group };

/// What an endpoint does with a read that requires a newer position than it has reached: it answers with old
/// data (`none`), refuses the read, or waits until it has caught up.
enum class StalenessCheck { none, refuse, wait };

/// Where a session token comes from: the client sends it with each read, or the RoutingPolicy remembers it.
enum class TokenSource { carried, remembered };

/// How the endpoint list arrives: without a request (`pushed`), or only after a WatchEndpoints
/// action (`polled`).
enum class EndpointListMode { pushed, polled };

enum class Role { primary, replica };

}  // namespace indigovane::policy
