// An endpoint's pool against a model: random tasks, connections that come up, break and answer, in random
// order.
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
    void on_task_end(EndpointId, const BackendTask& task, routing::AttemptResult result) override {
        REQUIRE(open.erase(std::uint64_t(task.request)) == 1);  // each task ends once
        last = result.status;
    }
    const routing::ClientRequest* may_start(EndpointId, BackendTask& task) override {
        return stopped.count(std::uint64_t(task.request)) ? nullptr : &request;
    }
    routing::ClientRequest request;
    std::set<std::uint64_t> open, stopped;
    std::optional<AttemptStatus> last;
};

// A pool of at most five connections.
struct Rig {
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

// One random history of a pool; each step checks what must hold.
struct RandomHistory : Rig {
    explicit RandomHistory(Dice& dice) : dice(dice) { pool.set_address("a:1"); }

    void step() {
        FakeLink* connection = random_open_connection();
        owner.last.reset();
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
                if (!owner.open.empty()) owner.stopped.insert(*owner.open.rbegin());  // it may start no more
                break;
            case 7:
                pool.close_oldest_idle();
                break;
        }
        check_counts();
    }

    // Every connection is established and answers.
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
        if (was_busy) CHECK((owner.last == AttemptStatus::unreachable || owner.last == AttemptStatus::reset));
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

TEST_CASE("a pool ends each task once, whatever becomes of its connections") {
    Dice dice(21);
    for (int round = 0; round < 200; ++round) {
        RandomHistory history(dice);
        for (int step = 0; step < 200; ++step) history.step();
        history.settle();
        CHECK(history.owner.open.empty());
    }
}

TEST_CASE("a connection on which something came unasked is closed, not used") {
    Rig rig;
    rig.submit(1);
    FakeLink& first = *rig.backend.links[0];
    first.owner->on_ready(first);
    first.noisy = true;  // behind the answer, before the next task
    Rig::answer(first);

    rig.submit(2);

    CHECK(rig.backend.links[0]->closed);
    REQUIRE(rig.backend.links.size() == 2);
    CHECK(rig.budget.open() == 1);
}

TEST_CASE("the newest idle connection is used first, a closed one never") {
    Rig rig;
    auto& links = rig.backend.links;
    for (std::uint64_t number = 1; number <= 3; ++number) rig.submit(number);
    for (auto& link : links) link->owner->on_ready(*link);
    for (std::size_t answered : {0, 2, 1}) Rig::answer(*links[answered]);
    links[1]->owner->on_end(*links[1], BackendConnection::End::written);  // the host closed the newest

    rig.submit(4);

    CHECK(links[2]->busy);
    CHECK(!links[0]->busy);
    CHECK(links.size() == 3);
    CHECK(rig.owner.last == AttemptStatus::ok);
}

}  // namespace
}  // namespace indigovane::testing
