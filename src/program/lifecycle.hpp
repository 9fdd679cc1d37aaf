// The process from start to exit: signals, the event loop, and the parts that act in each phase
// (program/phase.hpp).
//
//   start             program/startup.hpp, in the order of Lifecycle::start()
//   reload            program/reload.hpp
//   operators' calls  program/operator_calls.hpp
//   upgrade           program/process_handover.hpp, program/handover_state.hpp
//   stop              program/graceful_shutdown.hpp
#pragma once

#include <boost/asio/signal_set.hpp>

#include "program/graceful_shutdown.hpp"
#include "program/handover_state.hpp"
#include "program/operator_calls.hpp"
#include "program/reload.hpp"
#include "program/services.hpp"
#include "program/state_sync.hpp"
#include "transport/loop_turn.hpp"

namespace indigovane::program {

// Runs entirely on the thread that calls run().
class Lifecycle {
  public:
    // `read_config` reads the configuration files again at a reload. It throws ConfigError if they are
    // invalid.
    Lifecycle(const Config& config, ConfigReader read_config, Log& log);
    ~Lifecycle();
    Lifecycle(const Lifecycle&) = delete;
    Lifecycle& operator=(const Lifecycle&) = delete;

    // Serves until SIGTERM or SIGINT and returns the exit status. Throws ConfigError or
    // boost::system::system_error if the process can't start.
    int run();
    Phase phase() const { return services_.phases.current(); }

  private:
    void start();
    void await_stop();
    void await_reload();
    bool may_serve() const;
    void serve();
    void advance_phase();
    void report_if_long(const transport::LoopTurn::Report& turn);

    Services services_;
    ConfigReader read_config_;
    GracefulShutdown shutdown_;
    HandoverState handover_state_;
    OperatorCalls operator_calls_;
    StateSync state_sync_;
    boost::asio::signal_set stop_signals_;
    boost::asio::signal_set reload_signals_;
};

}  // namespace indigovane::program
