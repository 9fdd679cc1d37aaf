// Cost of the loss of a site: of each request, of an evaluation, of a plan, and memory by host. 120 hosts, 3
// sites, 30 groups.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "site/site_manager.hpp"

namespace {

using namespace indigovane::site;

struct Fixture {
    std::uint64_t random_state = 1;
    std::vector<Host> hosts;
    SiteManager manager;
    Time now = Time(seconds(100));
    explicit Fixture(unsigned count, bool shed = false)
        : manager(settings(shed), {300, true, {{{}, "read", false, 0, 0, 1}, {{}, "write", true, 0, 0, 6}}},
                  [this] { return draw(); }) {
        for (std::uint32_t i = 0; i < count; ++i)
            hosts.push_back({HostId{i}, SiteId{i % 3}, GroupId{i / 4}, true, i % 4 == 0, std::nullopt, 1});
        manager.set_hosts(hosts, now);
    }
    static Settings settings(bool shed) {
        Settings settings;
        settings.enabled = true;
        settings.shed_by_plan = shed;
        return settings;
    }
    double draw() {
        random_state = random_state * 6364136223846793005u + 1442695040888963407u;
        return double(random_state >> 11) * 0x1.0p-53;
    }
    void request(bool unresponsive_site) {
        now += microseconds(100);
        HostId host{std::uint32_t(draw() * double(hosts.size()))};
        GroupId group = hosts[std::size_t(host)].group;
        benchmark::DoNotOptimize(manager.admit({group, 0, "laundry", draw()}, now));
        manager.record_sent(host, now);
        manager.record_ended(host);
        bool unanswered = unresponsive_site && std::uint32_t(host) % 3 == 1;
        manager.record_contact(host, unanswered ? ContactResult::unanswered : ContactResult::answered,
                               now - milliseconds(300), now);
        if (!unanswered) manager.record_latency(group, 0, milliseconds(20));
    }
    using microseconds = std::chrono::microseconds;
};

void request_without_loss(benchmark::State& state) {
    Fixture fixture(120);
    for (auto _ : state) fixture.request(false);
}
void request_during_loss(benchmark::State& state) {
    Fixture fixture(120, true);
    for (int i = 0; i < 20000; ++i) {
        fixture.request(true);
        if (fixture.manager.next_evaluation() && *fixture.manager.next_evaluation() <= fixture.now)
            fixture.manager.evaluate(fixture.now);
    }
    for (auto _ : state) fixture.request(true);
}
void evaluate(benchmark::State& state) {
    Fixture fixture(unsigned(state.range(0)));
    for (int i = 0; i < 20000; ++i) fixture.request(false);
    for (auto _ : state) {
        fixture.now += milliseconds(50);
        benchmark::DoNotOptimize(fixture.manager.evaluate(fixture.now));
    }
}
void plan(benchmark::State& state) {
    Fixture fixture(120);
    for (int i = 0; i < 20000; ++i) fixture.request(false);
    for (auto _ : state)
        benchmark::DoNotOptimize(make_plan(fixture.manager.plan_input({SiteId{1}}, fixture.now)));
}
void memory(benchmark::State& state) {
    for (auto _ : state) {
        auto before = mallinfo2().uordblks;
        Fixture fixture(unsigned(state.range(0)));
        for (int i = 0; i < 20000; ++i) fixture.request(false);
        state.counters["bytes_a_host"] = double(mallinfo2().uordblks - before) / double(state.range(0));
    }
}

BENCHMARK(request_without_loss);
BENCHMARK(request_during_loss);
BENCHMARK(evaluate)->Arg(120)->Arg(500);
BENCHMARK(plan);
BENCHMARK(memory)->Arg(120)->Arg(500)->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
