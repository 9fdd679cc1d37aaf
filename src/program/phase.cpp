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
    {Phase::starting, Phase::serving},             // none
    {Phase::inheriting, Phase::serving},           // its state and the endpoint list are here
    {Phase::inheriting, Phase::stopped},           // told to stop
    {Phase::serving, Phase::reloading},            // a new configuration names another discovery service
    {Phase::reloading, Phase::serving},            // its list has come
    {Phase::serving, Phase::failing_checks},       // operators divert clients
    {Phase::reloading, Phase::failing_checks},     //
    {Phase::failing_checks, Phase::closing_idle},  // health checkers have noticed
    {Phase::failing_checks, Phase::serving},       // operators take the diversion back
    {Phase::failing_checks, Phase::reloading},     //
    {Phase::closing_idle, Phase::serving},         //
    {Phase::closing_idle, Phase::reloading},       //
    {Phase::serving, Phase::lingering},            // told to stop
    {Phase::reloading, Phase::lingering},          //
    {Phase::failing_checks, Phase::lingering},     //
    {Phase::closing_idle, Phase::lingering},       //
    {Phase::lingering, Phase::draining},           // no successor is ready in time
    {Phase::lingering, Phase::handing_over},       // a successor is ready
    {Phase::handing_over, Phase::draining},        // the successor is gone
    {Phase::handing_over, Phase::stopped},         // all clients went to it
    {Phase::draining, Phase::stopped},             // nothing is in flight, or time is up
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
