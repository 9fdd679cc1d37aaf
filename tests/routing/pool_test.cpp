// Runs the pool of an endpoint through random sequences of events: tasks are submitted and cancelled, and
// connections are established, break and answer. Guards against tasks that are lost or end twice, and against
// wrong counts of connections.
#include "routing/pool.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using policy::AttemptStatus;
using routing::BackendConnection;
using routing::BackendTask;
using routing::ConnectionBudget;
using routing::EndpointId;
using routing::Pool;

struct FakeOwner : Pool::Owner {
    void on_response_started(EndpointId, const BackendTask&, const routing::Answer&, std::size_t) override {}
    bool on_response_piece(const BackendTask&, std::string_view) override { return true; }
    void on_answer_paused(EndpointId, const BackendTask&, routing::Duration) override {}
    void on_task_end(EndpointId, const BackendTask& task, routing::AttemptResult result) override {
        REQUIRE(open.erase(std::uint64_t(task.request)) == 1);  // each task ends once
        last_status = result.status;
    }
    Pool::StartDecision may_start(EndpointId, BackendTask& task) override {
        return {blocked.count(std::uint64_t(task.request)) ? nullptr : &request};
    }
    routing::ClientRequest request;
    std::set<std::uint64_t> open, blocked;
    std::optional<AttemptStatus> last_status;
};

// A pool with a budget of five connections.
struct PoolFixture {
    routing::Clock clock;
    FakeBackend backend;
    FakeOwner owner;
    ConnectionBudget budget{5, [] { return false; }, [] {}};
    Pool pool{EndpointId{0}, backend, clock, 1s, owner, budget};

    static BackendTask task(std::uint64_t number) {
        BackendTask task;
        task.request = routing::RequestId{number};
        task.deadline = routing::Time::max();
        return task;
    }
    void submit(std::uint64_t number) {
        owner.open.insert(number);
        pool.submit(task(number));
    }
    static void answer(FakeLink& connection) {
        connection.busy = false;
        connection.owner->on_result(connection,
                                    routing::AttemptResult{AttemptStatus::ok, {}, {}, {}, {}, {}, true});
    }
};

// A random sequence of events. Each step checks the pool's counts.
struct RandomHistory : PoolFixture {
    explicit RandomHistory(Dice& dice) : dice(dice) { pool.set_address("a:1"); }

    void step() {
        FakeLink* connection = random_open_connection();
        owner.last_status.reset();
        switch (dice.below(8)) {
            case 0:
            case 1:
                submit(++submitted);
                break;
            case 2:
                if (connection && !connection->up) establish(*connection);
                break;
            case 3:
                if (connection && connection->busy) answer_at_random(*connection);
                break;
            case 4:
                if (connection) end(*connection);
                break;
            case 5:
                if (!owner.open.empty()) cancel_any_task();
                break;
            case 6:
                if (!owner.open.empty())
                    owner.blocked.insert(*owner.open.rbegin());  // it must not start any more
                break;
            case 7:
                pool.close_oldest_idle();
                break;
        }
        check_counts();
    }

    // Establishes every connection and answers every task.
    void settle() {
        for (int round = 0; round < 2000 && !owner.open.empty(); ++round)
            for (std::size_t i = 0; i < backend.links.size(); ++i) {
                auto connection = backend.links[i];
                if (connection->closed) continue;
                if (!connection->up)
                    establish(*connection);
                else if (connection->busy)
                    answer(*connection);
            }
    }

  private:
    FakeLink* random_open_connection() {
        std::vector<FakeLink*> open;
        for (auto& connection : backend.links)
            if (!connection->closed) open.push_back(connection.get());
        return open.empty() ? nullptr : open[dice.below(open.size())];
    }
    static void establish(FakeLink& connection) {
        connection.up = true;
        connection.owner->on_ready(connection);
    }
    void answer_at_random(FakeLink& connection) {
        std::size_t open_before = owner.open.size();
        connection.busy = false;
        routing::AttemptResult result;
        result.status = AttemptStatus::ok;
        result.reusable = dice.below(4) > 0;
        connection.owner->on_result(connection, result);
        CHECK(owner.open.size() < open_before);
    }
    void end(FakeLink& connection) {
        std::size_t open_before = owner.open.size();
        bool was_up = connection.up;
        bool was_busy = connection.busy;
        connection.closed = true;
        connection.owner->on_end(connection, !was_up         ? BackendConnection::End::unreachable
                                             : dice.below(2) ? BackendConnection::End::unwritten
                                                             : BackendConnection::End::written);
        if (was_busy)
            CHECK((owner.last_status == AttemptStatus::unreachable ||
                   owner.last_status == AttemptStatus::reset));
        if (was_up && !was_busy) CHECK(owner.open.size() == open_before);
    }
    void cancel_any_task() {
        std::uint64_t id = *std::next(owner.open.begin(), std::ptrdiff_t(dice.below(owner.open.size())));
        CHECK(pool.cancel(task(id)) != Pool::Cancelled::unknown);
        owner.open.erase(id);
        CHECK(pool.cancel(task(id)) == Pool::Cancelled::unknown);
        pool.serve_waiting();
    }
    void check_counts() {
        std::size_t open = 0;
        std::size_t busy = 0;
        for (auto& connection : backend.links) {
            open += !connection->closed;
            busy += !connection->closed && connection->busy;
        }
        REQUIRE(pool.connections() == open);
        REQUIRE(budget.open() == open);
        REQUIRE(open <= 5);
        REQUIRE(busy <= owner.open.size());
    }

    Dice& dice;
    std::uint64_t submitted = 0;
};

TEST_CASE("pool: each task ends exactly once, whatever happens to its connection") {
    Dice dice(21);
    for (int round = 0; round < 200; ++round) {
        RandomHistory history(dice);
        for (int step = 0; step < 200; ++step) history.step();
        history.settle();
        CHECK(history.owner.open.empty());
    }
}

TEST_CASE("pool: a connection that received unrequested bytes is closed instead of reused") {
    PoolFixture fixture;
    fixture.submit(1);
    FakeLink& first = *fixture.backend.links[0];
    first.owner->on_ready(first);
    first.noisy = true;  // bytes arrive after the answer, before the next task
    PoolFixture::answer(first);

    fixture.submit(2);

    CHECK(fixture.backend.links[0]->closed);
    REQUIRE(fixture.backend.links.size() == 2);
    CHECK(fixture.budget.open() == 1);
}

TEST_CASE("pool: the last used idle connection is used first, and a closed one never") {
    PoolFixture fixture;
    auto& links = fixture.backend.links;
    for (std::uint64_t number = 1; number <= 3; ++number) fixture.submit(number);
    for (auto& link : links) link->owner->on_ready(*link);
    for (std::size_t answered : {0, 2, 1}) PoolFixture::answer(*links[answered]);
    links[1]->owner->on_end(*links[1], BackendConnection::End::written);  // the host closes the newest one

    fixture.submit(4);

    CHECK(links[2]->busy);
    CHECK(!links[0]->busy);
    CHECK(links.size() == 3);
    CHECK(fixture.owner.last_status == AttemptStatus::ok);
}

}  // namespace
}  // namespace indigovane::testing
