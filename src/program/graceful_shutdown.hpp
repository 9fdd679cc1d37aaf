// The end of the process: it lingers, then either hands its clients over to a successor or drains, and stops.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "program/services.hpp"

namespace indigovane::program {

// Belongs to the loop's thread.
class GracefulShutdown {
  public:
    explicit GracefulShutdown(Services& services) : services_(services), timer_(services.io) {}

    // SIGTERM or SIGINT; repeatable.
    void stop();
    // A successor serves. Before stop() nothing happens: the successor may still be given up.
    void on_successor_ready();
    // No other process is left; clients that were to go to it are served here until drained.
    void on_successor_lost();
    // After each batch of the loop: hands over or drains what is ready for it, and stops when all is done.
    void advance();

  private:
    void set_deadline();
    void begin_drain();
    void hand_over_clients();
    void stop_if_drained();
    bool is_drained() const;
    void schedule_check();

    Services& services_;
    boost::asio::steady_timer timer_;
    routing::Time deadline_{};  // for what is in flight when the drain or the handover begins
    std::size_t clients_handed_over_ = 0;
    bool check_scheduled_ = false;
};

}  // namespace indigovane::program
