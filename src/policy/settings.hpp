// The routing policy's settings: the request classes, and what the deployment allows.
//
// Every setting is optional. A missing one takes the default that cannot break a rule: make_request_class
// (request_class.hpp) states the defaults of class settings, the comments below those of the others.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy/types.hpp"

namespace indigovane::policy {

/// The settings of one request class, as far as the configuration gives them.
struct ClassSettings {
    std::optional<Consistency> consistency;
    std::optional<Idempotency> idempotency;
    std::optional<DeduplicationScope> deduplication_scope;
    /// Endpoints drop a duplicate by its idempotency key for this long after the first attempt was sent.
    std::optional<Duration> deduplication_window;
    std::optional<Duration> latency_objective;  ///< an answer within this time earns the full priority weight
    std::optional<Duration> deadline;           ///< of the client, over all its attempts
    std::optional<Duration> staleness_bound;    ///< of bounded reads: the maximum age of data when sent
    std::optional<double> priority_weight;      ///< value of an answer in time, relative to other classes
    /// Share of the priority weight, 0 to 1, that an answer between latency objective and deadline earns.
    std::optional<double> late_share;
};

/// All settings of a RoutingPolicy.
struct Settings {
    std::vector<ClassSettings> classes;       ///< by ClassId
    std::optional<std::uint32_t> fleet_size;  ///< poolers that send to the same endpoints; default 1
    std::optional<EndpointListMode> endpoint_list_mode;  ///< default pushed
    /// False: an endpoint that left the list without draining may be used; default true.
    std::optional<bool> removal_binds;
    std::optional<bool> may_check_health;       ///< default false
    std::optional<bool> may_cancel_attempts;    ///< default false
    std::optional<bool> hedging;                ///< hedged requests are allowed; the policy sends none
    std::optional<bool> may_send_retry_after;   ///< with a rejection; default false
    std::optional<Duration> max_retry_after;    ///< upper limit of a rejection's Retry-After; default none
    std::optional<std::uint32_t> max_attempts;  ///< per request; default 2
    std::optional<TokenSource> token_source;    ///< default carried
    std::optional<StalenessCheck> staleness_check;  ///< default none
    /// Share of its capacity, 0 to 1, that an endpoint has when it starts; default 0.
    std::optional<double> slow_start_share;
    /// Time from its start until an endpoint has its full capacity; default 0.
    std::optional<Duration> slow_start_ramp;
    std::optional<double> overload_multiple;  ///< see overload_window; default: not known
    /// An endpoint in slow start breaks down when it gets `overload_multiple` times its present
    /// capacity for this long.
    std::optional<Duration> overload_window;
    /// Cost of one check; a request in time earns 1 on average; default 0.
    std::optional<double> health_check_price;
};

inline bool health_checks_allowed(const Settings& settings) {
    return settings.may_check_health.value_or(false);
}

/// Whether endpoints themselves check that their data is new enough for a read.
inline bool endpoints_check_staleness(const Settings& settings) {
    return settings.staleness_check.value_or(StalenessCheck::none) != StalenessCheck::none;
}

}  // namespace indigovane::policy
