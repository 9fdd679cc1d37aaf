// The phases of the process from start to exit, as a state machine with a table of legal transitions.
#pragma once

#include <cstdint>

#include "routing/interfaces.hpp"

namespace indigovane::program {

enum class Phase {
    starting,        // nothing listens yet
    inheriting,      // a predecessor serves; its listeners and state, or the endpoint list, are yet to come
    serving,         // the regular state
    reloading,       // serving by a new configuration, whose discovery service has not sent its list yet
    failing_checks,  // operators divert clients: serves them all, but health checks fail
    closing_idle,    // likewise, and connections close between requests
    lingering,       // told to stop: still accepts and serves, until health checkers have noticed
    handing_over,    // told to stop in an upgrade: clients without a request go to the successor
    draining,        // accepts nothing new; finishes what is in flight
    stopped
};

// As logs and operators' replies have it.
const char* name(Phase phase);

// Whether the process may go from one phase directly to the other.
bool is_legal_transition(Phase from, Phase to);

// The current phase. All changes of it go through enter(), which logs them (message id "phase"). Not
// synchronized: belongs to the loop's thread.
class PhaseMachine {
  public:
    explicit PhaseMachine(routing::Logger& logger) : logger_(logger) {}

    Phase current() const { return phase_; }
    bool is(Phase phase) const { return phase_ == phase; }
    // Accepts clients and nobody has asked it to stop or to divert them.
    bool is_regular() const { return is(Phase::serving) || is(Phase::reloading); }
    bool is_diverting() const { return is(Phase::failing_checks) || is(Phase::closing_idle); }
    bool is_stopping() const;

    void enter(Phase phase);
    // Transitions that the table does not have; each was made nevertheless.
    std::uint64_t violations() const { return violations_; }

  private:
    routing::Logger& logger_;
    Phase phase_ = Phase::starting;
    std::uint64_t violations_ = 0;
};

}  // namespace indigovane::program
