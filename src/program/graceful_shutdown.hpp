// The end of the process: it lingers, then hands its clients over to a successor or drains, and then stops.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "program/services.hpp"

namespace indigovane::program {

// Not synchronized: use it on the event loop's thread only.
class GracefulShutdown {
  public:
    explicit GracefulShutdown(Services& services) : services_(services), timer_(services.io) {}

    // Begins the shutdown (SIGTERM or SIGINT). Further calls change nothing.
    void stop();
    // Called when a successor serves. Does nothing before stop(): the successor may still end.
    void on_successor_ready();
    // Called when no other process is left. Clients that were not handed over are served here until drained.
    void on_successor_lost();
    // Called after each batch of the loop. Hands over or drains the clients that are ready for it, and stops
    // when none is left.
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
    // When requests in flight must end; set when the drain or the handover begins.
    routing::Time answer_by_{};  // when the last final answer is given
    routing::Time deadline_{};   // when the process ends, whatever its clients still read
    std::size_t clients_handed_over_ = 0;
    bool check_scheduled_ = false;
};

}  // namespace indigovane::program
