// The phases of the process: which may follow which, and what enter() does.
#include "program/phase.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace indigovane::testing {
namespace {

using program::Phase;

constexpr Phase kAll[] = {Phase::starting,       Phase::inheriting,   Phase::serving,   Phase::reloading,
                          Phase::failing_checks, Phase::closing_idle, Phase::lingering, Phase::handing_over,
                          Phase::draining,       Phase::stopped};

struct PhaseLog : routing::Logger {
    void log(routing::Level, const char* id, const std::string& text, const Data&) override {
        lines.push_back(std::string(id) + " " + text);
    }
    std::vector<std::string> lines;
};

TEST_CASE("phases: each is reached from the start, and each leads to the end") {
    for (Phase phase : kAll) {
        int ways_in = 0;
        int ways_out = 0;
        for (Phase other : kAll) {
            ways_in += program::is_legal_transition(other, phase);
            ways_out += program::is_legal_transition(phase, other);
        }
        CHECK((ways_in > 0) == (phase != Phase::starting));
        CHECK((ways_out > 0) == (phase != Phase::stopped));
        CHECK(!program::is_legal_transition(phase, phase));
    }
}

TEST_CASE("phases: a process that stops never serves again") {
    for (Phase stopping : {Phase::lingering, Phase::handing_over, Phase::draining, Phase::stopped})
        for (Phase regular : {Phase::serving, Phase::reloading, Phase::failing_checks, Phase::closing_idle})
            CHECK(!program::is_legal_transition(stopping, regular));
}

TEST_CASE("phases: each change is logged, and one that is not in the table is counted") {
    PhaseLog log;
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
