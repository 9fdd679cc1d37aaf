// Random, overlapping faults over real processes, judged by the invariants of soak_record.hpp. Here a minute
// with few processes and fixed seeds; `make soak` plays longer with a few dozen.
#include "processes/soak_fleet.hpp"

namespace indigovane::testing {
namespace {

long variable(const char* name, long usual) {
    const char* text = std::getenv(name);
    return text ? std::atol(text) : usual;
}

void play(const SoakOptions& options) {
    SoakFleet fleet(options);
    fleet.run();
    std::string faults;
    for (auto& [name, count] : fleet.faults) faults += name + " " + std::to_string(count) + ", ";
    MESSAGE("seed " << options.seed << ": " << fleet.record.total << " requests, " << fleet.record.served
                    << " served, " << fleet.record.refused << " refused, " << fleet.record.excused
                    << " excused, breaches " << fleet.record.breaches.size() << ", invariant lines "
                    << fleet.invariants().size() << "; " << faults);
    for (const std::string& breach : fleet.record.breaches)
        MESSAGE("BREACH " << breach << fleet.story(breach));
    for (const std::string& line : fleet.invariants()) MESSAGE("INVARIANT " << line);
    CHECK(fleet.record.breaches.empty());
    CHECK(fleet.invariants().empty());
    CHECK(fleet.record.served > fleet.record.total / 3);
}

}  // namespace

TEST_CASE("soak: random overlapping faults over real processes break no invariant") {
    long first = variable("SOAK_SEED", 1), seeds = variable("SOAK_SEEDS", 5);
    for (long seed = first; seed < first + seeds; ++seed) {
        SoakOptions options;
        options.seed = std::uint64_t(seed);
        options.poolers = std::size_t(variable("SOAK_POOLERS", 6));
        options.length = Millis(variable("SOAK_MS", 8000));
        options.slack = Millis(variable("SOAK_SLACK_MS", 400));
        play(options);
    }
}

}  // namespace indigovane::testing
