#include "routing/loop_core.hpp"

#include <boost/asio/post.hpp>

namespace indigovane::routing {

LoopCore::LoopCore(boost::asio::io_context& io, const Clock& clock, const policy::Settings& settings,
                   std::uint64_t seed, CoreLimits limits, Backend& backend, Logger& logger)
    : Core(static_cast<Driver&>(*this), clock, settings, seed, limits, backend, logger),
      io_(io),
      clock_(clock),
      timer_(io) {}

void LoopCore::wake() {
    boost::asio::post(io_, [] {});  // the loop runs a batch after the events that are ready
}

void LoopCore::alarm(std::optional<Time> at) {
    if (!at) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(std::max(Duration::zero(), *at - clock_.now()));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) timer_expired();
    });
}

}  // namespace indigovane::routing
