#include "policy/endpoint_capacity.hpp"

#include <algorithm>

#include "policy/slow_start.hpp"

namespace indigovane::policy {
namespace {

/// Share of a primary's window that is open to reads which no replica can serve.
constexpr double kReadShareOfPrimary = 0.75;

/// A client's retry has this part of the chance of a first request. With the whole chance a client that
/// retries three times at once would pass with 1 - (1 - share)^4, and the endpoint would get several times
/// its share when it can do least. With this part it gets 1.75 times its share at most, which the safety
/// factor of slow start (0.56) still covers.
constexpr double kRetryChance = 0.25;

/// The share of the requests like this one that the endpoint in slow start takes now. A retry that waits
/// passes with what becomes available after its arrival, as a first request does. The attempts of one request
/// share its chance: those that an endpoint turns away have cost it work as well.
double slow_start_share(const Endpoint& endpoint, const Request& request, const Settings& settings,
                        Time now) {
    double share = available_share(*endpoint.started, settings, now);
    if (request.is_client_retry) {
        double on_arrival = available_share(*endpoint.started, settings, request.arrived);
        if (on_arrival < 1) {
            double chance = kRetryChance * on_arrival;
            share = chance + (1 - chance) * (share - on_arrival) / (1 - on_arrival);
        }
    }
    return share / double(1 + request.counted_attempts());
}

}  // namespace

bool has_capacity(const Endpoint& endpoint, const CapacityContext& context, const Request& request,
                  const Settings& settings, Time now) {
    bool needs_primary = request.request_class->needs_primary();
    // An ejected endpoint gets only trials, whose number outlier ejection limits.
    if (!endpoint.ejection.is_ejected()) {
        double share = needs_primary || &endpoint != context.primary ? 1 : kReadShareOfPrimary;
        if (!endpoint.limit.admits(endpoint.in_flight, share)) return false;
    }
    if (!in_slow_start(endpoint.started, settings, now)) return true;
    double share = slow_start_share(endpoint, request, settings, now);
    if (needs_primary) return request.slow_start_draw < share;
    double replicas = double(std::ranges::count_if(context.group.endpoints, &Endpoint::is_listed)) - 1.0;
    return request.slow_start_draw < share * std::min(1.0, double(context.candidates) / replicas);
}

}  // namespace indigovane::policy
