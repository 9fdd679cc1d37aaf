// The phases of the process: the table of legal transitions, and PhaseMachine::enter().
#include "program/phase.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace indigovane::testing {
namespace {

using program::Phase;

constexpr Phase kAllPhases[] = {
    Phase::starting,     Phase::inheriting, Phase::serving,      Phase::reloading, Phase::failing_checks,
    Phase::closing_idle, Phase::lingering,  Phase::handing_over, Phase::draining,  Phase::stopped};

struct RecordingLogger : routing::Logger {
    void log(routing::Level, const char* id, const std::string& text, const Data&) override {
        lines.push_back(std::string(id) + " " + text);
    }
    std::vector<std::string> lines;
};

TEST_CASE("phases: every phase but the first can be entered, and every phase but the last can be left") {
    for (Phase phase : kAllPhases) {
        int incoming_transitions = 0;
        int outgoing_transitions = 0;
        for (Phase other : kAllPhases) {
            incoming_transitions += program::is_legal_transition(other, phase);
            outgoing_transitions += program::is_legal_transition(phase, other);
        }
        CHECK((incoming_transitions > 0) == (phase != Phase::starting));
        CHECK((outgoing_transitions > 0) == (phase != Phase::stopped));
        CHECK(!program::is_legal_transition(phase, phase));
    }
}

TEST_CASE("phases: no transition leads from a stopping phase back to a serving one") {
    for (Phase stopping : {Phase::lingering, Phase::handing_over, Phase::draining, Phase::stopped})
        for (Phase regular : {Phase::serving, Phase::reloading, Phase::failing_checks, Phase::closing_idle})
            CHECK(!program::is_legal_transition(stopping, regular));
}

TEST_CASE("phases: each transition is logged, and one that is not in the table is counted") {
    RecordingLogger log;
    program::PhaseMachine phases(log);
    phases.enter(Phase::serving);
    phases.enter(Phase::failing_checks);
    CHECK(phases.is_diverting());
    phases.enter(Phase::closing_idle);
    phases.enter(Phase::lingering);
    CHECK(phases.is_stopping());
    CHECK(phases.violations() == 0);
    phases.enter(Phase::serving);
    CHECK(phases.violations() == 1);
    CHECK(phases.is_regular());
    CHECK(log.lines == std::vector<std::string>{"phase serving", "phase refusing", "phase away",
                                                "phase lingering", "phase serving"});
}

}  // namespace
}  // namespace indigovane::testing
