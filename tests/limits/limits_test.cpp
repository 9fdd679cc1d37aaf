// Admission control by cost, in virtual time without sockets and clocks.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "support/limiter_simulation.hpp"

namespace indigovane::limits {
namespace {

TEST_CASE("shares: with all tenants busy, each gets its share of the work within 5% in every second") {
    Simulation simulation;
    simulation.teach(1, 40ms);
    simulation.on_end = [&](Simulation::Request& request) { simulation.submit(request.tenant, 40ms); };
    for (int i = 0; i < 60; ++i)
        for (const char* tenant : {"vilaine", "rance", "odet"}) simulation.submit(tenant, 40ms);
    simulation.run(simulation.now + 2s);
    for (int second = 0; second < 5; ++second) {
        simulation.served.clear();
        simulation.run(simulation.now + 1s);
        Duration total =
            simulation.served["vilaine"] + simulation.served["rance"] + simulation.served["odet"];
        CHECK(double(simulation.served["vilaine"].count()) / double(total.count()) ==
              doctest::Approx(0.59).epsilon(0.05));
        CHECK(double(simulation.served["rance"].count()) / double(total.count()) ==
              doctest::Approx(0.21).epsilon(0.05));
        CHECK(double(simulation.served["odet"].count()) / double(total.count()) ==
              doctest::Approx(0.20).epsilon(0.05));
    }
}

TEST_CASE("shares: they apply to work, so that a tenant with long requests does not get more") {
    Simulation simulation;
    simulation.teach(1, 20ms);
    simulation.teach(2, 160ms);
    simulation.on_end = [&](Simulation::Request& request) {
        simulation.submit(request.tenant, request.service, request.service > 100ms ? 2 : 1);
    };
    for (int i = 0; i < 100; ++i) {
        simulation.submit("rance", 160ms, 2);
        simulation.submit("odet", 20ms, 1);
    }
    simulation.run(simulation.now + 2s);
    simulation.served.clear();
    simulation.run(simulation.now + 6s);
    double work_share = double(simulation.served["rance"].count()) /
                        double((simulation.served["rance"] + simulation.served["odet"]).count());
    CHECK(work_share == doctest::Approx(0.21 / 0.41).epsilon(0.05));
}

TEST_CASE("shares: other tenants use an unused share, and its tenant regains it within a second") {
    Simulation simulation;
    simulation.teach(1, 40ms);
    simulation.on_end = [&](Simulation::Request& request) { simulation.submit(request.tenant, 40ms); };
    for (int i = 0; i < 100; ++i) simulation.submit("rance", 40ms);  // ten times its share
    simulation.run(simulation.now + 5s);
    CHECK(simulation.limiter.work_in_flight(1) > 700ms);  // nearly the full capacity for plain reads
    for (int i = 0; i < 100; ++i) simulation.submit("vilaine", 40ms);
    simulation.run(simulation.now + 200ms);
    simulation.served.clear();
    simulation.run(simulation.now + 800ms);
    double work_share = double(simulation.served["vilaine"].count()) /
                        double((simulation.served["rance"] + simulation.served["vilaine"]).count());
    CHECK(work_share == doctest::Approx(0.59 / 0.80).epsilon(0.06));
}

TEST_CASE("shares: a tenant that becomes active gets no credit for its idle time and does not block others") {
    Simulation simulation;
    simulation.teach(1, 40ms);
    simulation.on_end = [&](Simulation::Request& request) { simulation.submit(request.tenant, 40ms); };
    for (int i = 0; i < 60; ++i) simulation.submit("odet", 40ms);
    simulation.run(simulation.now + 60s);
    for (int i = 0; i < 200; ++i) simulation.submit("rance", 40ms);
    simulation.served.clear();
    simulation.run(simulation.now + 1s);
    // About 18 s of work are done, and the tenant's share is half of them.
    CHECK(simulation.served["odet"] > 300ms * 18 / 2);
}

TEST_CASE("reserve: only writes and session reads can use it") {
    Simulation simulation;
    simulation.teach(1, 40ms);
    for (int i = 0; i < 200; ++i) simulation.submit("rance", 400ms, 1);
    CHECK(simulation.limiter.work_in_flight(1) <= 750ms);
    std::uint64_t write = simulation.submit("rance", 40ms, 1, true);
    CHECK(simulation.requests[write].admission == Admission::admit);
    std::uint64_t other = simulation.submit("vilaine", 40ms, 1, true);
    CHECK(simulation.requests[other].admission == Admission::admit);
}

TEST_CASE("lanes: plain reads do not starve while the same tenant sends writes continuously") {
    Simulation simulation;
    simulation.teach(1, 40ms);
    simulation.on_end = [&](Simulation::Request& request) {
        simulation.submit(request.tenant, 40ms, 1, true);
    };
    for (int i = 0; i < 60; ++i) simulation.submit("rance", 40ms, 1, true);
    simulation.run(simulation.now + 1s);
    simulation.on_end = nullptr;
    std::uint64_t plain = simulation.submit("rance", 40ms, 1);
    for (int i = 0; i < 400; ++i) simulation.submit("rance", 40ms, 1, true);
    simulation.run(simulation.now + 2s);
    CHECK(simulation.requests[plain].admission == Admission::admit);
    CHECK(simulation.requests[plain].wait < 500ms);
}

TEST_CASE("queue: a request larger than the free capacity is admitted although smaller ones keep arriving") {
    Simulation simulation;
    simulation.teach(1, 10ms);
    simulation.teach(2, 240ms);
    simulation.on_end = [&](Simulation::Request& request) {
        if (request.service == 10ms) simulation.submit(request.tenant, 10ms, 1);
    };
    for (int i = 0; i < 300; ++i) simulation.submit("rance", 10ms, 1);
    std::uint64_t large = simulation.submit("vilaine", 240ms, 2);
    simulation.run(simulation.now + 1s);
    CHECK(simulation.requests[large].admission == Admission::admit);
}

TEST_CASE(
    "queue: a request is rejected at once if it cannot meet its deadline, else after the maximum queueing "
    "time, both with Retry-After") {
    Settings settings = three_tenants();
    settings.queue = 20;
    settings.wait = 100ms;
    Simulation simulation(settings);
    simulation.teach(1, 40ms);
    for (int i = 0; i < 25; ++i) simulation.submit("rance", 5s, 1);
    std::uint64_t queued_id = simulation.submit("rance", 40ms, 1, false, 2s);
    std::uint64_t late = simulation.submit("rance", 40ms, 1, false, 30ms);
    CHECK(simulation.requests[queued_id].admission == Admission::queue);
    CHECK(simulation.requests[late].admission == Admission::reject);
    CHECK(simulation.requests[late].decision.cause == RejectionCause::deadline_unreachable);
    CHECK(simulation.requests[late].decision.retry_after.value() >= 20ms);
    Time submitted_at = simulation.now;
    simulation.run(simulation.now + 99ms);
    CHECK(simulation.requests[queued_id].admission == Admission::queue);
    simulation.run(submitted_at + 100ms);
    CHECK(simulation.requests[queued_id].admission == Admission::reject);
    CHECK(simulation.requests[queued_id].decision.cause == RejectionCause::queue_timeout);
    CHECK(simulation.requests[queued_id].decision.retry_after);
    for (int i = 0; i < 30; ++i) simulation.submit("rance", 40ms, 1);
    std::uint64_t full = simulation.submit("rance", 40ms, 1);
    CHECK(simulation.requests[full].admission == Admission::reject);
    // A tenant that fills its share of the queue cannot use the shares of others.
    CHECK(simulation.requests[simulation.submit("vilaine", 40ms, 1)].admission != Admission::reject);
}

TEST_CASE(
    "shares: tenants without a configured share have one share together, so that new names gain nothing") {
    Simulation simulation;
    simulation.teach(1, 40ms);
    simulation.on_end = [&](Simulation::Request& request) {
        simulation.submit(request.tenant == "odet" ? "odet" : "x" + std::to_string(simulation.ids), 40ms);
    };
    for (int i = 0; i < 100; ++i) {
        simulation.submit("odet", 40ms);
        simulation.submit("x" + std::to_string(i), 40ms);
    }
    simulation.run(simulation.now + 1s);
    simulation.served.clear();
    simulation.run(simulation.now + 3s);
    Duration others{};
    for (auto& [tenant, work] : simulation.served)
        if (tenant != "odet") others += work;
    CHECK(double(simulation.served["odet"].count()) / double((others + simulation.served["odet"]).count()) >
          0.75);
}

TEST_CASE("shapes: an unknown shape is limited to two requests at a time until it is learned") {
    Simulation simulation;
    for (int i = 0; i < 10; ++i) simulation.submit("vilaine", 30ms, 9);
    CHECK(simulation.limiter.in_flight() == 2);
    CHECK(simulation.limiter.queued() == 8);
    simulation.run(simulation.now + 200ms);
    CHECK(simulation.limiter.idle());
    for (int i = 0; i < 10; ++i) simulation.submit("vilaine", 30ms, 9);
    CHECK(simulation.limiter.in_flight() == 10);
}

TEST_CASE("shapes: a shape that becomes costly is limited by its 95th percentile and does not block others") {
    Simulation simulation;
    simulation.teach(3, 20ms, 30);
    for (int i = 0; i < 8; ++i) {  // the same shape with a literal that makes it expensive
        simulation.submit("rance", 900ms, 3);
        simulation.run(simulation.now + 910ms);
    }
    for (int i = 0; i < 10; ++i) simulation.submit("rance", 900ms, 3);
    CHECK(simulation.limiter.in_flight() == 1);  // a quarter of the work, 250 ms, is less than one request
    simulation.teach(1, 20ms);
    std::uint64_t behind = simulation.submit("rance", 20ms, 1);
    CHECK(simulation.requests[behind].admission == Admission::admit);
    // When the limit is lifted while many requests are queued, all of them are admitted gradually and none is
    // lost.
    for (int i = 0; i < 40; ++i) simulation.submit("rance", 5ms, 3, false, 60s);
    simulation.run(simulation.now + 60s);
    CHECK(simulation.limiter.idle());
}

TEST_CASE(
    "shapes: a shape that keeps timing out while others are answered is quarantined until a probe succeeds") {
    Simulation simulation;
    simulation.teach(1, 20ms);
    auto time_out = [&](std::uint64_t shape) {
        std::uint64_t id = simulation.submit("rance", 100s, shape);
        if (simulation.requests[id].admission != Admission::admit) return false;
        simulation.now += 500ms;
        simulation.requests[id].ended = true;
        simulation.limiter.finish(id, Outcome::timed_out, 0, simulation.now);
        simulation.teach(1, 20ms, 2);
        return true;
    };
    for (int i = 0; i < 3; ++i) CHECK(time_out(5));
    std::uint64_t id = simulation.submit("rance", 1ms, 5);
    CHECK(simulation.requests[id].admission == Admission::reject);
    CHECK(simulation.requests[id].decision.cause == RejectionCause::quarantined);
    CHECK(simulation.requests[id].decision.retry_after.value() <= 1s);
    simulation.run(simulation.now + 1s);
    CHECK(time_out(5));  // the probe fails, and the interval to the next one doubles
    simulation.run(simulation.now + 1s);
    CHECK(simulation.requests[simulation.submit("rance", 1ms, 5)].admission == Admission::reject);
    simulation.run(simulation.now + 1s);
    std::uint64_t probe = simulation.submit("rance", 20ms, 5);
    CHECK(simulation.requests[probe].admission == Admission::admit);
    CHECK(simulation.requests[simulation.submit("rance", 20ms, 5)].admission ==
          Admission::reject);  // only one probe at a time
    simulation.run(simulation.now + 30ms);
    CHECK(simulation.requests[simulation.submit("rance", 20ms, 5)].admission == Admission::admit);
}

// Guards against a quarantine of healthy shapes: when a primary is lost, all writes time out.
TEST_CASE("shapes: if all shapes time out, none is quarantined") {
    Simulation simulation;
    for (int i = 0; i < 10; ++i)
        for (std::uint64_t shape : {1, 2, 3}) {
            std::uint64_t id = simulation.submit("rance", 100s, shape);
            REQUIRE(simulation.requests[id].admission == Admission::admit);
            simulation.now += 500ms;
            simulation.requests[id].ended = true;
            simulation.limiter.finish(id, Outcome::timed_out, 0, simulation.now);
        }
}

void withdraw_random(Simulation& simulation, std::set<std::uint64_t>& open_ids, std::mt19937_64& random) {
    if (open_ids.empty()) return;
    auto it = std::next(open_ids.begin(), std::ptrdiff_t(random() % open_ids.size()));
    std::uint64_t id = *it;
    open_ids.erase(it);
    Simulation::Request& request = simulation.requests[id];
    if (request.ended) return;
    request.ended = true;
    Outcome outcome = random() % 2 ? Outcome::cancelled : Outcome::never_ran;
    simulation.limiter.finish(id, outcome, 0, simulation.now);
    simulation.limiter.finish(id, Outcome::served, 0, simulation.now);  // a second call is ignored
    simulation.release_due();
}

void forget_ended(Simulation& simulation, std::set<std::uint64_t>& open_ids) {
    std::erase_if(simulation.requests, [](const auto& item) { return item.second.ended; });
    std::erase_if(open_ids, [&](std::uint64_t id) { return !simulation.requests.count(id); });
    auto& running = simulation.running;
    while (!running.empty() && !simulation.requests.count(running.top().id)) running.pop();
}

std::size_t count(const Simulation& simulation, Admission admission) {
    return std::size_t(std::count_if(simulation.requests.begin(), simulation.requests.end(),
                                     [&](const auto& item) { return item.second.admission == admission; }));
}

// Guards against lost or duplicate decisions, leaked capacity and requests that stay queued while nothing is
// in flight. Random arrivals, withdrawals, changes of settings and passages of time are checked after each
// step.
TEST_CASE(
    "random steps: one decision at a time for each request, bounded queue, no unused capacity, nothing "
    "left") {
    const char* tenants[] = {"vilaine", "rance", "odet", "unnamed", ""};
    for (unsigned seed = 1; seed <= 8; ++seed) {
        std::mt19937_64 random(seed);
        Settings settings = three_tenants();
        settings.queue = 40;
        settings.wait = 300ms;
        Simulation simulation(settings);
        std::set<std::uint64_t> open_ids;
        for (int step = 0; step < 6000; ++step) {
            std::uint64_t step_type = random() % 8;
            if (step_type < 4) {
                open_ids.insert(simulation.submit(tenants[random() % 5], Duration(1000 + random() % 200000),
                                                  1 + random() % 6, random() % 3 == 0,
                                                  Duration(10000 + random() % 2000000)));
            } else if (step_type == 4) {
                withdraw_random(simulation, open_ids, random);
            } else if (step_type == 5) {
                if (random() % 50 == 0) {
                    settings.work = Duration(400000 + random() % 1000000);
                    simulation.limiter.set(settings);
                    simulation.release_due();
                }
            } else {
                simulation.run(simulation.now + Duration(random() % 60000));
            }
            forget_ended(simulation, open_ids);
            std::size_t queued = count(simulation, Admission::queue);
            std::size_t in_flight = simulation.requests.size() - queued;
            REQUIRE(simulation.limiter.queued() == queued);
            REQUIRE(simulation.limiter.in_flight() == in_flight);
            REQUIRE(queued <= settings.queue);
            if (in_flight == 0) REQUIRE(queued == 0);
        }
        simulation.run(simulation.now + 60s);
        CHECK(simulation.limiter.idle());
        CHECK(simulation.limiter.work_in_flight(1) == Duration::zero());
    }
}

}  // namespace
}  // namespace indigovane::limits
