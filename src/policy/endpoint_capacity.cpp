#include "policy/endpoint_capacity.hpp"

#include <algorithm>

#include "policy/slow_start.hpp"

namespace indigovane::policy {
namespace {

/// Share of a primary's window that is open to reads which no replica can serve.
constexpr double kReadShareOfPrimary = 0.75;

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
    double share = available_share(*endpoint.started, settings, now);
    if (needs_primary) return request.slow_start_draw < share;
    double replicas = double(std::ranges::count_if(context.group.endpoints, &Endpoint::is_listed)) - 1.0;
    return request.slow_start_draw < share * std::min(1.0, double(context.candidates) / replicas);
}

}  // namespace indigovane::policy
