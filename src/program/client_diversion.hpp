// Operators divert clients to other poolers while this process goes on (the control call `drain`): health
// checks fail first, and once the checkers have noticed, connections close between requests. What comes
// nevertheless is served. All of it can be undone.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "program/services.hpp"

namespace indigovane::program {

class ClientDiversion {
  public:
    explicit ClientDiversion(Services& services) : services_(services), timer_(services.io) {}

    // Repeatable. Refused while the process starts or stops; the reply names the phase.
    adapters::Operations::Reply set(bool on);

  private:
    void begin();
    void end();

    Services& services_;
    boost::asio::steady_timer timer_;
};

}  // namespace indigovane::program
