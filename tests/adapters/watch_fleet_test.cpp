// Simulates the watches of many poolers in virtual time. Guards against timings with which a pooler learns of
// a change of the endpoint list too late after discovery was slow, down or unresponsive.
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
        Millis next_event_at{};  // when its next call starts, or the answer to its call is due
        bool is_calling = false;
        Millis hold_until{};
        Millis timeout_at{};
        bool will_be_rejected = false;  // discovery will reject the call
        bool is_unanswered = false;
        std::int64_t revision = 0;
    };
    std::vector<Pooler> poolers;
    double calls_per_second;
    std::mt19937_64 random{7};
    double busy_until = 0;  // when discovery has worked off its queue, in ms
    Millis now{};
    std::int64_t revision = 1;
    bool is_down = false;
    bool is_unresponsive = false;

    FleetOfWatches(std::size_t count, WatchSchedule::Timing timing, double capacity)
        : calls_per_second(capacity) {
        for (std::size_t i = 0; i < count; ++i) {
            poolers.push_back({WatchSchedule(timing)});
            poolers.back().watch.know(1);
            poolers.back().next_event_at = Millis(i % 5);
        }
    }
    double draw() { return double(random() % 1001) / 1000; }
    void fail(Pooler& pooler, WatchSchedule::Failure failure) {
        pooler.is_calling = false;
        pooler.next_event_at = now + pooler.watch.failed(failure, draw());
    }
    void call(Pooler& pooler) {
        auto next = pooler.watch.next();
        pooler.is_calling = true;
        pooler.is_unanswered = is_unresponsive;
        pooler.timeout_at = now + next.client_timeout;
        if (is_unresponsive) return;
        if (is_down) return fail(pooler, WatchSchedule::Failure::cut);
        double answer_at = std::max(busy_until, double(now.count())) + 1000 / calls_per_second;
        if (answer_at - double(now.count()) > 1000) {
            pooler.timeout_at = now + Millis(1000);  // then discovery answers 503
            pooler.is_unanswered = true;
            pooler.will_be_rejected = true;
            return;
        }
        busy_until = answer_at;
        pooler.next_event_at = Millis(std::int64_t(answer_at));
        pooler.hold_until = pooler.next_event_at + next.hold;
    }
    void step() {
        for (Pooler& pooler : poolers) {
            if (!pooler.is_calling) {
                if (now >= pooler.next_event_at) call(pooler);
            } else if (pooler.is_unanswered) {
                if (now >= pooler.timeout_at) {
                    const bool is_rejected = std::exchange(pooler.will_be_rejected, false);
                    fail(pooler,
                         is_rejected ? WatchSchedule::Failure::refused : WatchSchedule::Failure::no_response);
                }
            } else if (now >= pooler.next_event_at &&
                       (pooler.revision < revision || now >= pooler.hold_until)) {
                pooler.is_calling = false;
                pooler.revision = revision;
                pooler.watch.answered(revision);
                pooler.next_event_at = now;
            }
        }
        now += Millis(1);
    }
    void run(Millis time) {
        for (Millis end = now + time; now < end;) step();
    }
    // Loses all calls in flight: they stay unanswered, or their connections are reset.
    void lose_calls(bool is_unanswered) {
        for (Pooler& pooler : poolers)
            if (pooler.is_calling && !pooler.is_unanswered) {
                if (is_unanswered)
                    pooler.is_unanswered = true;
                else
                    fail(pooler, WatchSchedule::Failure::cut);
            }
    }
    // Changes the list and returns the time until every pooler knows of it, or 60 s if that takes longer.
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
    "watch fleet: the timings of a watch add up to less than 6 s, and all poolers learn of a list change "
    "within 6 s "
    "even after failures of discovery") {
    CHECK(WatchSchedule::Timing{}.max_propagation() < 5s);
    for (std::size_t n = 1; n <= 1000; ++n) CHECK(WatchSchedule::shared(n).max_propagation() <= 5400ms);
    enum class Before { nothing, unanswered_watches, resets, down, unresponsive };
    for (bool is_shared : {true, false})
        for (std::size_t n : {3, 30, 300})
            for (Before before : {Before::nothing, Before::unanswered_watches, Before::resets, Before::down,
                                  Before::unresponsive}) {
                // A single pooler has an agent of its own, whose capacity is no limit. A shared discovery
                // answers 200 calls a second.
                FleetOfWatches fleet(is_shared ? n : 1,
                                     is_shared ? WatchSchedule::shared(n) : WatchSchedule::Timing{}, 200);
                for (int round = 0; round < 4; ++round) {
                    fleet.run(WatchSchedule::Millis(7000 + 333 * round));
                    if (before == Before::unanswered_watches) fleet.lose_calls(true);
                    if (before == Before::resets) fleet.lose_calls(false);
                    if (before == Before::down || before == Before::unresponsive) {
                        fleet.is_down = before == Before::down;
                        fleet.is_unresponsive = before == Before::unresponsive;
                        fleet.lose_calls(before == Before::unresponsive);
                        fleet.run(WatchSchedule::Millis(6000 + 777 * round));
                        fleet.is_down = false;
                        fleet.is_unresponsive = false;
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
