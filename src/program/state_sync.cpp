#include "program/state_sync.hpp"

namespace indigovane::program {

namespace {
// An exclusion must take effect in both processes well within the 2 s that a host has for draining.
constexpr auto kSyncInterval = std::chrono::milliseconds(200);
constexpr auto kShapeCostInterval = std::chrono::seconds(10);
constexpr std::size_t kStoredShapes = 512;  // only the shapes that cost most are stored
}  // namespace

void StateSync::start() {
    timer_.expires_after(kSyncInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) return;
        apply_excluded_endpoints();
        store_shape_costs();
        start();
    });
}

void StateSync::apply_excluded_endpoints() {
    if (services_.excluded_endpoints.refresh())
        services_.core->set_excluded(services_.excluded_endpoints.uids());
}

void StateSync::store_shape_costs() {
    if (!services_.persistent_state || !services_.limited_admission) return;
    if (services_.clock.now() < shape_costs_stored_at_ + kShapeCostInterval) return;
    shape_costs_stored_at_ = services_.clock.now();
    services_.persistent_state->store_shape_costs(
        services_.limited_admission->limiter().priors(kStoredShapes));
}

}  // namespace indigovane::program
