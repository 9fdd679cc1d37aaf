// Actions: what RoutingPolicy::handle asks its caller to do, in the order in which it returns them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/types.hpp"

namespace indigovane::policy {

/// Send the request to the endpoint. It ends with one AttemptOutcome.
struct SendAttempt {
    RequestId id{};
    EndpointId endpoint{};
    std::optional<Duration> timeout;          ///< absent: the attempt may last until the client's timeout
    std::optional<Time> required_position{};  ///< of a read: the position that its data must have reached
    /// The attempt must be on a connection within this time, or else it ends as `not_started`.
    std::optional<Duration> start_timeout{};
};

/// Cancel the attempt with this index; nobody waits for its answer.
struct CancelAttempt {
    RequestId id{};
    std::uint32_t attempt = 0;
};

/// Final answer. It promises the client that a retry of its own does no harm.
struct RejectRequest {
    RequestId id{};
    std::optional<Duration> retry_after;  ///< when the client is advised to retry; absent: no advice
    bool is_past_deadline = false;        ///< the answer is given because the client's time is over
};

/// Final answer. It promises nothing about a retry: the statement may have run.
struct FailRequest {
    RequestId id{};
    bool is_past_deadline = false;  ///< the answer is given because the client's time is over
};

/// Check the endpoint's health. It ends with one HealthCheckResult.
struct CheckHealth {
    EndpointId endpoint{};
};

/// Deliver a TimerExpired with this id after the delay.
struct SetTimer {
    TimerId id{};
    Duration delay{};
};

/// Request the endpoint list and its later changes. One EndpointList answers the request.
struct WatchEndpoints {};

/// Write a line to the log.
struct LogMessage {
    std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, CheckHealth, SetTimer,
                            WatchEndpoints, LogMessage>;
using Actions = std::vector<Action>;

}  // namespace indigovane::policy
