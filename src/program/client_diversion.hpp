// Operators divert clients to other poolers while this process keeps running (control calls `drain-on` and
// `drain-off`). Health checks fail first; once the health checkers have noticed, connections close between
// requests. Requests that still arrive are served. The diversion can be undone at any time.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "program/services.hpp"

namespace indigovane::program {

class ClientDiversion {
  public:
    explicit ClientDiversion(Services& services) : services_(services), timer_(services.io) {}

    // Begins or ends the diversion; a repeated call changes nothing. Fails while the process starts or stops,
    // and the reply then names the phase.
    adapters::Operations::Reply set(bool on);

  private:
    void begin();
    void end();

    Services& services_;
    boost::asio::steady_timer timer_;
};

}  // namespace indigovane::program
