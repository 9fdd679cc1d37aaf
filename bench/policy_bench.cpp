// What a decision costs: the ten recorded runs of tests/policy, replayed into the routing policy; and what a
// request costs through the whole core, in an emulated fleet.
#include <benchmark/benchmark.h>

#include "lab/fleet.hpp"
#include "support/decision_recordings.hpp"

namespace {

using namespace indigovane;

struct Replay {
    testing::RecordingOptions options;
    std::vector<testing::DecisionRecording::Input> inputs;
};

const std::vector<Replay>& replays() {
    static const std::vector<Replay> all = [] {
        std::vector<Replay> replays;
        for (const testing::RecordingOptions& options : testing::recordings::recorded_runs()) {
            testing::DecisionRecording recording(options);
            recording.run();
            replays.push_back({options, std::move(recording.inputs)});
        }
        return replays;
    }();
    return all;
}

void decisions(benchmark::State& state) {
    std::size_t events = 0;
    for (auto _ : state)
        for (const Replay& replay : replays()) {
            policy::RoutingPolicy policy(replay.options.settings, replay.options.seed,
                                         policy::Time(std::chrono::seconds(100)));
            policy::Actions actions;
            for (const auto& input : replay.inputs) {
                actions.clear();
                policy.handle(input.at, input.event, actions);
                benchmark::DoNotOptimize(actions.data());
            }
            events += replay.inputs.size();
        }
    state.SetItemsProcessed(std::int64_t(events));
}
BENCHMARK(decisions)->Unit(benchmark::kMillisecond);

void emulated_fleet(benchmark::State& state) {
    lab::FleetOptions options = lab::usual_fleet();
    options.seconds = 6;
    options.rate = 1500;
    options.poolers = 8;
    std::uint64_t requests = 0;
    for (auto _ : state) requests += lab::run(options).requests;
    state.SetItemsProcessed(std::int64_t(requests));
}
BENCHMARK(emulated_fleet)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
