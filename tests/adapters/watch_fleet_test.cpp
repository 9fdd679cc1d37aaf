// How soon all poolers know of a change of the endpoint list, by simulation of their watches.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "routing/watch_schedule.hpp"

namespace indigovane::testing {
namespace {

using routing::WatchSchedule;
using namespace std::chrono_literals;

// Poolers and a discovery that answers a fixed number of calls a second, in simulated time. A call that has
// been queued for a second is rejected; one that arrives while discovery is unresponsive gets no answer.
struct FleetOfWatches {
    using Millis = WatchSchedule::Millis;
    struct Pooler {
        WatchSchedule watch;
        Millis at{};  // when its next call starts, or its answer is due
        bool calling = false;
        Millis hold_until{};
        Millis timeout_at{};
        bool queue_full = false;  // it is going to be rejected
        bool unanswered = false;
        std::int64_t revision = 0;
    };
    std::vector<Pooler> poolers;
    double per_second;
    std::mt19937_64 random{7};
    double busy_until = 0;  // of discovery, ms
    Millis now{};
    std::int64_t revision = 1;
    bool down = false;
    bool unresponsive = false;

    FleetOfWatches(std::size_t count, WatchSchedule::Timing timing, double capacity) : per_second(capacity) {
        for (std::size_t i = 0; i < count; ++i) {
            poolers.push_back({WatchSchedule(timing)});
            poolers.back().watch.know(1);
            poolers.back().at = Millis(i % 5);
        }
    }
    double draw() { return double(random() % 1001) / 1000; }
    void fail(Pooler& pooler, WatchSchedule::Failure how) {
        pooler.calling = false;
        pooler.at = now + pooler.watch.failed(how, draw());
    }
    void call(Pooler& pooler) {
        auto next = pooler.watch.next();
        pooler.calling = true;
        pooler.unanswered = unresponsive;
        pooler.timeout_at = now + next.client_timeout;
        if (unresponsive) return;
        if (down) return fail(pooler, WatchSchedule::Failure::cut);
        double turn = std::max(busy_until, double(now.count())) + 1000 / per_second;
        if (turn - double(now.count()) > 1000) {
            pooler.timeout_at = now + Millis(1000);  // then 503
            pooler.unanswered = true;
            pooler.queue_full = true;
            return;
        }
        busy_until = turn;
        pooler.at = Millis(std::int64_t(turn));
        pooler.hold_until = pooler.at + next.hold;
    }
    void step() {
        for (Pooler& pooler : poolers) {
            if (!pooler.calling) {
                if (now >= pooler.at) call(pooler);
            } else if (pooler.unanswered) {
                if (now >= pooler.timeout_at) {
                    const bool rejected = std::exchange(pooler.queue_full, false);
                    fail(pooler,
                         rejected ? WatchSchedule::Failure::refused : WatchSchedule::Failure::no_response);
                }
            } else if (now >= pooler.at && (pooler.revision < revision || now >= pooler.hold_until)) {
                pooler.calling = false;
                pooler.revision = revision;
                pooler.watch.answered(revision);
                pooler.at = now;
            }
        }
        now += Millis(1);
    }
    void run(Millis time) {
        for (Millis end = now + time; now < end;) step();
    }
    // Loses all calls in flight: unanswered, or their connections reset.
    void lose_calls(bool unanswered) {
        for (Pooler& pooler : poolers)
            if (pooler.calling && !pooler.unanswered) {
                if (unanswered)
                    pooler.unanswered = true;
                else
                    fail(pooler, WatchSchedule::Failure::cut);
            }
    }
    // How long until the last pooler has a change that discovery has now.
    Millis propagation_delay() {
        ++revision;
        const Millis began = now;
        auto all_know = [&] {
            return std::ranges::all_of(poolers, [&](auto& pooler) { return pooler.revision == revision; });
        };
        while (!all_know() && now - began < 60s) step();
        return now - began;
    }
};

TEST_CASE(
    "a change is known within 6 s: a pooler's timings add up to less, a fleet at a discovery of fixed "
    "capacity") {
    CHECK(WatchSchedule::Timing{}.max_propagation() < 5s);
    for (std::size_t n = 1; n <= 1000; ++n) CHECK(WatchSchedule::shared(n).max_propagation() <= 5400ms);
    enum class Before { nothing, unanswered_watches, resets, down, unresponsive };
    for (bool shared : {true, false})
        for (std::size_t n : {3, 30, 300})
            for (Before before : {Before::nothing, Before::unanswered_watches, Before::resets, Before::down,
                                  Before::unresponsive}) {
                // A pooler's own agent is not the limit; a discovery that all share answers 200 calls a
                // second.
                FleetOfWatches fleet(shared ? n : 1,
                                     shared ? WatchSchedule::shared(n) : WatchSchedule::Timing{}, 200);
                for (int round = 0; round < 4; ++round) {
                    fleet.run(WatchSchedule::Millis(7000 + 333 * round));
                    if (before == Before::unanswered_watches) fleet.lose_calls(true);
                    if (before == Before::resets) fleet.lose_calls(false);
                    if (before == Before::down || before == Before::unresponsive) {
                        fleet.down = before == Before::down;
                        fleet.unresponsive = before == Before::unresponsive;
                        fleet.lose_calls(before == Before::unresponsive);
                        fleet.run(WatchSchedule::Millis(6000 + 777 * round));
                        fleet.down = false;
                        fleet.unresponsive = false;
                    }
                    const auto delay = fleet.propagation_delay();
                    CAPTURE(n);
                    CAPTURE(int(before));
                    CHECK(delay < 6s);
                    CHECK(delay <= fleet.poolers[0].watch.timing().max_propagation() + 1500ms);
                }
            }
}

}  // namespace
}  // namespace indigovane::testing
