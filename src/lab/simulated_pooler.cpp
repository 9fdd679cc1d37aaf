#include "lab/simulated_pooler.hpp"

#include "lab/host_connection.hpp"
#include "lab/world.hpp"

namespace indigovane::lab {

SimulatedPooler::SimulatedPooler(World& world, std::uint32_t pooler_number, std::uint64_t seed)
    : core(static_cast<routing::Driver&>(*this), world.clock, world.settings(), seed, {},
           static_cast<routing::Backend&>(*this), world.logger),
      number(pooler_number),
      world_(world) {}

void SimulatedPooler::wake() {
    if (batch_scheduled_) return;
    schedule_batch(world_.timeline.now());
}

void SimulatedPooler::schedule_batch(Time at) {
    batch_scheduled_ = true;
    world_.timeline.schedule_at(at, EventRank::batch, [this, lifetime = lifetime()] {
        if (lifetime.expired()) return;
        batch_scheduled_ = false;
        run_batch();
    });
}

// A paused pooler handles everything that it has received in one batch when the pause ends.
void SimulatedPooler::run_batch() {
    if (paused_until && world_.timeline.now() < *paused_until) return schedule_batch(*paused_until);
    core.run_batch();
}

void SimulatedPooler::alarm(std::optional<Time> at) {
    std::uint64_t timer = ++last_timer_;
    if (!at) return;
    world_.timeline.schedule_at(*at, EventRank::timer, [this, timer, lifetime = lifetime()] {
        if (lifetime.expired() || timer != last_timer_) return;
        core.timer_expired();
        wake();
    });
}

std::shared_ptr<routing::BackendConnection> SimulatedPooler::open(const std::string& address,
                                                                  Duration timeout,
                                                                  routing::BackendConnection::Owner& owner) {
    Host& host = *world_.hosts[std::size_t(std::stoul(address))];
    auto connection = std::make_shared<HostConnection>(world_, number, host, owner);
    connection->open(timeout);
    return connection;
}

}  // namespace indigovane::lab
