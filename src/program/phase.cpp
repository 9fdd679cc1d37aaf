#include "program/phase.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace indigovane::program {

namespace {

struct Transition {
    Phase from;
    Phase to;
};

constexpr Transition kTransitions[] = {
    {Phase::starting, Phase::inheriting},          // a predecessor was found
    {Phase::starting, Phase::serving},             // no predecessor was found
    {Phase::inheriting, Phase::serving},           // the predecessor's state and the endpoint list arrived
    {Phase::inheriting, Phase::stopped},           // stop was requested
    {Phase::serving, Phase::reloading},            // a new configuration names another discovery service
    {Phase::reloading, Phase::serving},            // the new discovery service sent its list
    {Phase::serving, Phase::failing_checks},       // operators divert clients
    {Phase::reloading, Phase::failing_checks},     // operators divert clients
    {Phase::failing_checks, Phase::closing_idle},  // health checkers have noticed
    {Phase::failing_checks, Phase::serving},       // operators end the diversion
    {Phase::failing_checks, Phase::reloading},     // operators end the diversion
    {Phase::closing_idle, Phase::serving},         // operators end the diversion
    {Phase::closing_idle, Phase::reloading},       // operators end the diversion
    {Phase::serving, Phase::lingering},            // stop was requested
    {Phase::reloading, Phase::lingering},          // stop was requested
    {Phase::failing_checks, Phase::lingering},     // stop was requested
    {Phase::closing_idle, Phase::lingering},       // stop was requested
    {Phase::lingering, Phase::draining},           // no successor is ready in time
    {Phase::lingering, Phase::handing_over},       // a successor is ready
    {Phase::handing_over, Phase::draining},        // the successor ended
    {Phase::handing_over, Phase::stopped},         // all clients went to the successor
    {Phase::draining, Phase::stopped},             // nothing is in flight, or the drain deadline has passed
};

}  // namespace

const char* name(Phase phase) {
    switch (phase) {
        case Phase::starting:
            return "starting";
        case Phase::inheriting:
            return "inheriting";
        case Phase::serving:
            return "serving";
        case Phase::reloading:
            return "reloading";
        case Phase::failing_checks:
            return "refusing";
        case Phase::closing_idle:
            return "away";
        case Phase::lingering:
            return "lingering";
        case Phase::handing_over:
            return "handing over";
        case Phase::draining:
            return "draining";
        case Phase::stopped:
            return "stopped";
    }
    return "";
}

bool is_legal_transition(Phase from, Phase to) {
    return std::any_of(std::begin(kTransitions), std::end(kTransitions), [&](const Transition& transition) {
        return transition.from == from && transition.to == to;
    });
}

bool PhaseMachine::is_stopping() const {
    return is(Phase::lingering) || is(Phase::handing_over) || is(Phase::draining) || is(Phase::stopped);
}

void PhaseMachine::enter(Phase phase) {
    if (!is_legal_transition(phase_, phase)) ++violations_;
    phase_ = phase;
    logger_.log(routing::Level::notice, "phase", name(phase), {});
}

}  // namespace indigovane::program
