// The core on a real event loop. Driver::alarm() sets a timer. Driver::wake() posts an empty handler, so that
// the loop completes a round. The code that runs the loop must call run_batch() after each round.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "routing/core.hpp"

namespace indigovane::routing {

class LoopCore : private Driver, public Core {
  public:
    // All references must outlive the core.
    LoopCore(boost::asio::io_context& io, const Clock& clock, const policy::Settings& settings,
             std::uint64_t seed, CoreLimits limits, Backend& backend, Logger& logger);

  private:
    void wake() override;
    void alarm(std::optional<Time> at) override;

    boost::asio::io_context& io_;
    const Clock& clock_;
    boost::asio::steady_timer timer_;
};

}  // namespace indigovane::routing
