// Fair queue of one group: order, capacity and shares of the queue.
#include "limits/fair_queue.hpp"

#include <doctest/doctest.h>

#include <list>

namespace indigovane::limits {
namespace {

using namespace std::chrono_literals;

struct QueueFixture {
    Settings settings;
    FairQueue queue{settings};
    std::list<QueuedRequest> requests;
    FairQueue::ExhaustedCapacity exhausted;

    QueueFixture() {
        settings.work = 100ms;
        settings.reserve = 0.5;
        settings.queue = 10;
        settings.shares = {{"heavy", 0.75}, {"light", 0.25}};
    }
    QueuedRequest& enqueue(const char* tenant, Duration charge, bool privileged = false) {
        QueuedRequest& request = requests.emplace_back();
        request.flow = &queue.flow(tenant);
        request.charge = charge;
        request.is_privileged = privileged;
        queue.enqueue(request);
        return request;
    }
    QueuedRequest* next() {
        return queue.next(exhausted, [](const QueuedRequest&) { return true; });
    }
};

TEST_CASE("fair queue: unprivileged requests cannot use the reserve") {
    QueueFixture fixture;
    QueuedRequest& first = fixture.enqueue("heavy", 40ms);
    fixture.enqueue("heavy", 40ms);
    QueuedRequest& privileged = fixture.enqueue("heavy", 40ms, true);
    fixture.queue.remove(privileged);
    CHECK(fixture.next() == &first);
    fixture.queue.admit(first);
    CHECK(fixture.next() == nullptr);
    CHECK(fixture.exhausted.is_unprivileged_full);
    fixture.queue.enqueue(privileged);
    CHECK(fixture.next() == &privileged);
    fixture.queue.admit(privileged);
    CHECK(fixture.queue.work_in_flight() == 80ms);
}

TEST_CASE("fair queue: a tenant is charged for the duration of its requests divided by its weight") {
    QueueFixture fixture;
    QueuedRequest& request = fixture.enqueue("light", 10ms);
    fixture.queue.admit(request);
    fixture.queue.finish(request, 20ms);
    CHECK(request.flow->virtual_time == doctest::Approx(20'000 / 0.25));
    CHECK(fixture.queue.work_in_flight() == 0ms);
    CHECK(fixture.queue.in_flight() == 0);
}

TEST_CASE("fair queue: ineligible requests are skipped, a request that does not fit blocks those behind it") {
    QueueFixture fixture;
    QueuedRequest& running = fixture.enqueue("heavy", 30ms, true);
    fixture.queue.admit(running);
    QueuedRequest& capped = fixture.enqueue("heavy", 10ms, true);
    QueuedRequest& large = fixture.enqueue("heavy", 90ms, true);
    fixture.enqueue("heavy", 10ms, true);
    auto eligible = [&](const QueuedRequest& request) { return &request != &capped; };
    CHECK(fixture.queue.next(fixture.exhausted, eligible) == nullptr);
    CHECK(fixture.exhausted.is_full);
    fixture.queue.finish(running, 30ms);
    fixture.exhausted = {};
    CHECK(fixture.queue.next(fixture.exhausted, eligible) == &large);
}

TEST_CASE(
    "fair queue: a request is displaced only if its flow exceeds its share more than the newcomer does") {
    QueueFixture fixture;
    QueuedRequest& last = [&]() -> QueuedRequest& {
        for (int i = 0; i < 5; ++i) fixture.enqueue("light", 1ms);
        return fixture.requests.back();
    }();
    QueuedRequest& newcomer = fixture.enqueue("heavy", 1ms);
    CHECK(fixture.queue.find_displaceable(*newcomer.flow) == &last);
    CHECK(fixture.queue.find_displaceable(*last.flow) == nullptr);
    CHECK(fixture.queue.max_queued(*newcomer.flow) == 7);
    CHECK(fixture.queue.max_queued(*last.flow) == 2);
}

TEST_CASE("fair queue: tenants without a weight share one flow if weights are configured") {
    QueueFixture fixture;
    CHECK(&fixture.queue.flow("new") == &fixture.queue.flow("newer"));
    CHECK(&fixture.queue.flow("heavy") != &fixture.queue.flow("light"));
}

}  // namespace
}  // namespace indigovane::limits
