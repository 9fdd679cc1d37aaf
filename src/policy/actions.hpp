// Actions: what RoutingPolicy::handle asks its caller to do, in the order returned.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/types.hpp"

namespace indigovane::policy {

struct SendAttempt {
    RequestId id{};
    EndpointId endpoint{};
    std::optional<Duration> timeout;          ///< none: until the client gives up
    std::optional<Time> required_position{};  ///< of a read: the position that its data must have reached
    std::optional<Duration>
        start_timeout{};  ///< to be on a connection by then; else it ends as `not_started`
};

struct CancelAttempt {
    RequestId id{};
    std::uint32_t attempt = 0;
};

/// Final; promises that another attempt by the client is harmless.
struct RejectRequest {
    RequestId id{};
    std::optional<Duration> retry_after;
    bool is_past_deadline = false;  ///< because its time is up
};

/// Final; promises nothing: the statement may have run.
struct FailRequest {
    RequestId id{};
    bool is_past_deadline = false;  ///< because its time is up
};

struct CheckHealth {
    EndpointId endpoint{};
};

struct SetTimer {
    TimerId id{};
    Duration delay{};
};

/// Report the endpoint list's changes from now on; answered by one EndpointList.
struct WatchEndpoints {};

struct LogMessage {
    std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, CheckHealth, SetTimer,
                            WatchEndpoints, LogMessage>;
using Actions = std::vector<Action>;

}  // namespace indigovane::policy
