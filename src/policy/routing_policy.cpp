#include "policy/routing_policy.hpp"

#include "policy/engine.hpp"

namespace indigovane::policy {

RoutingPolicy::RoutingPolicy(const Settings& settings, std::uint64_t seed, Time now)
    : engine_(std::make_unique<Engine>(settings, seed, now)) {}
RoutingPolicy::~RoutingPolicy() = default;
RoutingPolicy::RoutingPolicy(RoutingPolicy&&) noexcept = default;
RoutingPolicy& RoutingPolicy::operator=(RoutingPolicy&&) noexcept = default;

void RoutingPolicy::handle(Time now, const Event& event, Actions& out) {
    engine_->handle(now, event, out);
}

SendCheck RoutingPolicy::check_send(RequestId id, EndpointId endpoint, std::optional<Time> decided_position,
                                    Time now) {
    return engine_->check_send(id, endpoint, decided_position, now);
}

bool RoutingPolicy::may_retry_elsewhere(RequestId id, Time now) {
    return engine_->may_retry_elsewhere(id, now);
}

SessionTokens RoutingPolicy::tokens() const {
    return engine_->tokens();
}

}  // namespace indigovane::policy
