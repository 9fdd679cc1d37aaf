// Synchronizes the process with the stored state at intervals: excluded endpoints that the pooler's other
// process has stored are applied here, and the costs of statement shapes are stored for the next process.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "program/services.hpp"

namespace indigovane::program {

class StateSync {
  public:
    explicit StateSync(Services& services) : services_(services), timer_(services.io) {}

    // Starts synchronizing at a fixed interval, until the process ends.
    void start();

  private:
    void apply_excluded_endpoints();
    void store_shape_costs();

    Services& services_;
    boost::asio::steady_timer timer_;
    routing::Time shape_costs_stored_at_{};
};

}  // namespace indigovane::program
