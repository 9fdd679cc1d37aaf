// The phases of the process from start to exit: a state machine with a table of legal transitions.
#pragma once

#include <cstdint>

#include "routing/interfaces.hpp"

namespace indigovane::program {

enum class Phase {
    // Nothing listens yet.
    starting,
    // A predecessor process serves. This process waits for its listeners and state, or for the endpoint list.
    inheriting,
    // The regular state.
    serving,
    // Serves with a new configuration whose discovery service has not sent its endpoint list yet.
    reloading,
    // Operators divert clients: all clients are served, but health checks fail.
    failing_checks,
    // As failing_checks, and client connections close between requests.
    closing_idle,
    // Stop was requested. The process still accepts and serves until health checkers have noticed.
    lingering,
    // Stop was requested in an upgrade: clients without a request in flight go to the successor process.
    handing_over,
    // No new connections are accepted; requests in flight finish.
    draining,
    stopped
};

// The phase's name in log lines and in replies to control calls.
const char* name(Phase phase);

// Whether the process may change from phase `from` directly to phase `to`.
bool is_legal_transition(Phase from, Phase to);

// Holds the current phase. Every change goes through enter(), which logs it (message id "phase"). Not
// synchronized: use it on the event loop's thread only.
class PhaseMachine {
  public:
    explicit PhaseMachine(routing::Logger& logger) : logger_(logger) {}

    Phase current() const { return phase_; }
    bool is(Phase phase) const { return phase_ == phase; }
    // The process accepts clients and was asked neither to stop nor to divert them.
    bool is_regular() const { return is(Phase::serving) || is(Phase::reloading); }
    bool is_diverting() const { return is(Phase::failing_checks) || is(Phase::closing_idle); }
    bool is_stopping() const;

    // Changes to `phase`, even if the table does not have this transition.
    void enter(Phase phase);
    // The number of transitions made that the table does not have.
    std::uint64_t violations() const { return violations_; }

  private:
    routing::Logger& logger_;
    Phase phase_ = Phase::starting;
    std::uint64_t violations_ = 0;
};

}  // namespace indigovane::program
