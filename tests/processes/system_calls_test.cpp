// Real processes whose system calls fail as their manual pages document, each kind by itself and all
// together: every request is answered, nothing that may have run runs again, and the process neither ends nor
// spins.
#include <time.h>

#include "processes/faulty_calls.hpp"
#include "processes/small_deployment.hpp"

namespace indigovane::testing {
namespace {

// CPU seconds that a process has used so far.
double cpu_seconds(pid_t id) {
    clockid_t clock;
    timespec used{};
    REQUIRE(::clock_getcpuclockid(id, &clock) == 0);
    REQUIRE(::clock_gettime(clock, &used) == 0);
    return double(used.tv_sec) + double(used.tv_nsec) / 1e9;
}

struct Kind {
    const char* name;
    std::atomic<float> FaultRates::*rate;
    float value;
};

constexpr Kind kKinds[] = {
    {"short writes", &FaultRates::short_write, 0.5f},
    {"short reads", &FaultRates::short_read, 0.5f},
    {"EINTR", &FaultRates::interrupted, 0.2f},
    {"accept", &FaultRates::accept, 0.4f},
    {"socket", &FaultRates::socket, 0.2f},
    {"connect", &FaultRates::connect, 0.2f},
    {"broken", &FaultRates::broken, 0.01f},
};

// Requests by one client after another, each on a connection of its own.
struct Load {
    SmallDeployment& deployment;
    int answered = 0, broken = 0;

    void run(int rounds) {
        for (int round = 0; round < rounds; ++round) {
            // Hosts close what rests, so that connections to them are opened anew.
            for (auto& server : deployment.servers) server->drop_all();
            auto client = deployment.client_or_none(0);
            if (!client) {
                ++broken;
                continue;
            }
            for (int n = 0; n < 4; ++n) {
                deployment.request(*client, n % 4 == 0, 1 + round);
                CHECK(deployment.sent_to() <= 1);
                if (client->closed) {
                    ++broken;
                    break;
                }
                ++answered;
            }
        }
    }
};

}  // namespace

TEST_CASE(
    "system calls: each kind of failure by itself, then all together: answered, once, and no busy loop") {
    Folder folder;
    FaultyCalls calls(folder.path);
    SmallDeployment d(1, calls.environment(), true);
    Load calm{d};
    double before = cpu_seconds(d.processes[0]->id());
    calm.run(25);
    double quiet = cpu_seconds(d.processes[0]->id()) - before;
    CHECK(calm.answered == 100);
    REQUIRE(calls.injected() == 0);

    auto inject = [&](const char* name) {
        CAPTURE(std::string(name));
        Load load{d};
        std::uint32_t injected = calls.injected();
        before = cpu_seconds(d.processes[0]->id());
        load.run(25);
        double used = cpu_seconds(d.processes[0]->id()) - before;
        MESSAGE(std::string(name) << ": " << load.answered << " answered, " << load.broken
                                  << " connections broken, " << calls.injected() - injected
                                  << " calls failed, CPU " << used << " s beside " << quiet);
        CHECK(calls.injected() > injected);
        CHECK(used < 10 * quiet + 0.5);
    };
    for (const Kind& kind : kKinds) {
        (calls.rates().*kind.rate).store(kind.value);
        inject(kind.name);
        calls.none();
    }
    for (const Kind& kind : kKinds) (calls.rates().*kind.rate).store(kind.value / 4);
    inject("all together");
    calls.none();
    Load after{d};
    after.run(10);
    CHECK(after.answered == 40);
    CHECK(d.processes[0]->end(SIGTERM) == 0);
}

}  // namespace indigovane::testing
