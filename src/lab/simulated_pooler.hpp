// A pooler in the emulator: the real core, driven by the timeline instead of an event loop.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "lab/timeline.hpp"
#include "routing/core.hpp"

namespace indigovane::lab {

class World;

class SimulatedPooler final : private routing::Driver, private routing::Backend {
  public:
    SimulatedPooler(World& world, std::uint32_t pooler_number, std::uint64_t seed);

    routing::Core core;
    const std::uint32_t number;
    // Only with polled endpoint lists: discovery notifies this pooler of changes.
    bool watches_list = false;
    // The pooler runs no batch before this time.
    std::optional<Time> paused_until{};

    // Expires when the pooler's process ends. Events that were scheduled for that process are then ignored.
    std::weak_ptr<const bool> lifetime() const { return lifetime_; }
    void end_process() { lifetime_.reset(); }

  private:
    void wake() override;
    void alarm(std::optional<Time> at) override;
    std::shared_ptr<routing::BackendConnection> open(const std::string& address, Duration timeout,
                                                     routing::BackendConnection::Owner& owner) override;
    void schedule_batch(Time at);
    void run_batch();

    World& world_;
    // Number of the timer set last. Earlier timers are ignored when they expire.
    std::uint64_t last_timer_ = 0;
    bool batch_scheduled_ = false;
    std::shared_ptr<const bool> lifetime_ = std::make_shared<const bool>(true);
};

}  // namespace indigovane::lab
