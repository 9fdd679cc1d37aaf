// What watching sites costs: a request's share of it, and a look at everything. 120 hosts, 3 sites, 30
// groups.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "site/site_manager.hpp"

namespace {

using namespace indigovane::site;

struct Rig {
    std::uint64_t drawn = 1;
    std::vector<Host> hosts;
    SiteManager manager;
    Time now = Time(seconds(100));
    explicit Rig(unsigned count, bool shed = false)
        : manager(settings(shed), {300, true, {{{}, "read", false, 0, 0, 1}, {{}, "write", true, 0, 0, 6}}},
                  [this] { return draw(); }) {
        for (std::uint32_t i = 0; i < count; ++i)
            hosts.push_back({HostId{i}, SiteId{i % 3}, GroupId{i / 4}, true, i % 4 == 0, std::nullopt, 1});
        manager.hosts(hosts, now);
    }
    static Settings settings(bool shed) {
        Settings s;
        s.enabled = true, s.shed = shed;
        return s;
    }
    double draw() {
        drawn = drawn * 6364136223846793005u + 1442695040888963407u;
        return double(drawn >> 11) * 0x1.0p-53;
    }
    void request(bool silent_site) {
        now += microseconds(100);
        HostId host{std::uint32_t(draw() * double(hosts.size()))};
        GroupId group = hosts[std::size_t(host)].group;
        benchmark::DoNotOptimize(manager.admit({group, 0, "laundry", draw()}, now));
        manager.sent(host, now);
        manager.over(host);
        bool mute = silent_site && std::uint32_t(host) % 3 == 1;
        manager.sign(host, mute ? ContactResult::mute : ContactResult::answer, now - milliseconds(300), now);
        if (!mute) manager.took(group, 0, milliseconds(20));
    }
    using microseconds = std::chrono::microseconds;
};

void request_in_peace(benchmark::State& state) {
    Rig rig(120);
    for (auto _ : state) rig.request(false);
}
void request_in_a_loss(benchmark::State& state) {
    Rig rig(120, true);
    for (int i = 0; i < 20000; ++i) {
        rig.request(true);
        if (rig.manager.next() && *rig.manager.next() <= rig.now) rig.manager.tick(rig.now);
    }
    for (auto _ : state) rig.request(true);
}
void look(benchmark::State& state) {
    Rig rig(unsigned(state.range(0)));
    for (int i = 0; i < 20000; ++i) rig.request(false);
    for (auto _ : state) {
        rig.now += milliseconds(50);
        benchmark::DoNotOptimize(rig.manager.tick(rig.now));
    }
}
void plan(benchmark::State& state) {
    Rig rig(120);
    for (int i = 0; i < 20000; ++i) rig.request(false);
    for (auto _ : state) benchmark::DoNotOptimize(make_plan(rig.manager.plan_input({SiteId{1}}, rig.now)));
}
void memory(benchmark::State& state) {
    for (auto _ : state) {
        auto before = mallinfo2().uordblks;
        Rig rig(unsigned(state.range(0)));
        for (int i = 0; i < 20000; ++i) rig.request(false);
        state.counters["bytes_a_host"] = double(mallinfo2().uordblks - before) / double(state.range(0));
    }
}

BENCHMARK(request_in_peace);
BENCHMARK(request_in_a_loss);
BENCHMARK(look)->Arg(120)->Arg(500);
BENCHMARK(plan);
BENCHMARK(memory)->Arg(120)->Arg(500)->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
