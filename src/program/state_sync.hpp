// Keeps the process and what is stored in step: excluded endpoints that the pooler's other process has
// stored are applied here, and the cost of statement shapes is stored for the next process.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "program/services.hpp"

namespace indigovane::program {

class StateSync {
  public:
    explicit StateSync(Services& services) : services_(services), timer_(services.io) {}

    void start();  // from then on at a fixed interval, until the process ends

  private:
    void apply_excluded_endpoints();
    void store_shape_costs();

    Services& services_;
    boost::asio::steady_timer timer_;
    routing::Time shape_costs_stored_{};
};

}  // namespace indigovane::program
