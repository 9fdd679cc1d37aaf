// What the module is configured with: the request classes, and what the deployment allows.
//
// Every setting is optional; a missing one takes the meaning that can break no rule. Which that is stands
// at make_request_class (request_class.hpp) for classes, and here for the rest.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy/types.hpp"

namespace indigovane::policy {

struct ClassSettings {
    std::optional<Consistency> consistency;
    std::optional<Idempotency> idempotency;
    std::optional<DeduplicationScope> deduplication_scope;
    std::optional<Duration>
        deduplication_window;                   ///< from the first send; a keyed repeat is dropped within it
    std::optional<Duration> latency_objective;  ///< an answer up to here earns its full weight
    std::optional<Duration> deadline;           ///< of the client, over all its attempts
    std::optional<Duration> staleness_bound;    ///< of bounded reads: the oldest data, at the time of sending
    std::optional<double> priority_weight;
    std::optional<double>
        late_share;  ///< of the weight, for an answer between objective and deadline; 0 to 1
};

struct Settings {
    std::vector<ClassSettings> classes;                  ///< by ClassId
    std::optional<std::uint32_t> fleet_size;             ///< poolers that send to the same endpoints; 1
    std::optional<EndpointListMode> endpoint_list_mode;  ///< pushed
    std::optional<bool> removal_binds;     ///< false: an endpoint removed undrained may still be used; true
    std::optional<bool> may_check_health;  ///< health checks are allowed; false
    std::optional<bool> may_cancel_attempts;        ///< attempts may be cancelled; false
    std::optional<bool> hedging;                    ///< hedged requests are allowed; none are sent
    std::optional<bool> may_send_retry_after;       ///< a rejection may carry a Retry-After; false
    std::optional<Duration> max_retry_after;        ///< its upper limit
    std::optional<std::uint32_t> max_attempts;      ///< per request; 2
    std::optional<TokenSource> token_source;        ///< carried
    std::optional<StalenessCheck> staleness_check;  ///< none
    std::optional<double> slow_start_share;         ///< of its capacity that a started endpoint has at least
    std::optional<Duration> slow_start_ramp;        ///< after which it has all of it; zero
    std::optional<double> overload_multiple;        ///< sent this multiple of its capacity of the moment...
    std::optional<Duration> overload_window;   ///< ...for this long, an endpoint in slow start breaks down
    std::optional<double> health_check_price;  ///< where a request in time earns 1 on average; 0
};

inline bool health_checks_allowed(const Settings& settings) {
    return settings.may_check_health.value_or(false);
}

/// Endpoints check by themselves whether they are too far behind for a read.
inline bool endpoints_check_staleness(const Settings& settings) {
    return settings.staleness_check.value_or(StalenessCheck::none) != StalenessCheck::none;
}

}  // namespace indigovane::policy
