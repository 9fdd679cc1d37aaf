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

TEST_CASE("a pool ends each task once, whatever becomes of its connections") {
    Dice dice(21);
    for (int round = 0; round < 200; ++round) {
        Rig rig;
        auto& [clock, backend, owner, budget, pool] = rig;
        pool.set_address("a:1");
        std::uint64_t next = 0;
        for (int step = 0; step < 200; ++step) {
            std::vector<FakeLink*> live;
            for (auto& l : backend.links)
                if (!l->closed) live.push_back(l.get());
            FakeLink* link = live.empty() ? nullptr : live[dice.below(live.size())];
            owner.last.reset();
            std::size_t was_open = owner.open.size();
            switch (dice.below(8)) {
                case 0:
                case 1:
                    rig.submit(++next);
                    break;
                case 2:
                    if (link && !link->up) link->up = true, link->owner->on_ready(*link);
                    break;
                case 3:
                    if (!link || !link->busy) break;
                    link->busy = false;
                    {
                        routing::AttemptResult r;
                        r.status = AttemptStatus::ok, r.reusable = dice.below(4) > 0;
                        link->owner->on_result(*link, r);
                    }
                    CHECK(owner.open.size() < was_open);
                    break;
                case 4: {
                    if (!link) break;
                    bool up = link->up, busy = link->busy;
                    link->closed = true;
                    link->owner->on_end(*link, !up             ? BackendConnection::End::unreachable
                                               : dice.below(2) ? BackendConnection::End::unwritten
                                                               : BackendConnection::End::written);
                    if (busy)
                        CHECK(
                            (owner.last == AttemptStatus::unreachable || owner.last == AttemptStatus::reset));
                    if (up && !busy) CHECK(owner.open.size() == was_open);
                    break;
                }
                case 5: {
                    if (owner.open.empty()) break;
                    std::uint64_t id =
                        *std::next(owner.open.begin(), std::ptrdiff_t(dice.below(owner.open.size())));
                    CHECK(pool.cancel(Rig::task(id)) != Pool::Cancelled::unknown);
                    owner.open.erase(id);
                    CHECK(pool.cancel(Rig::task(id)) == Pool::Cancelled::unknown);
                    pool.serve_waiting();
                    break;
                }
                case 6:
                    if (!owner.open.empty())
                        owner.stopped.insert(*owner.open.rbegin());  // it may start no more
                    break;
                case 7:
                    pool.close_oldest_idle();
                    break;
            }
            std::size_t count = 0, busy = 0;
            for (auto& l : backend.links) count += !l->closed, busy += !l->closed && l->busy;
            REQUIRE(pool.connections() == count);
            REQUIRE(budget.open() == count);
            REQUIRE(count <= 5);
            REQUIRE(busy <= owner.open.size());
        }
        // When every connection comes up and answers, nothing is left waiting.
        for (int i = 0; i < 2000 && !owner.open.empty(); ++i)
            for (std::size_t n = 0; n < backend.links.size(); ++n) {
                auto l = backend.links[n];
                if (l->closed) continue;
                if (!l->up) {
                    l->up = true, l->owner->on_ready(*l);
                } else if (l->busy) {
                    Rig::answer(*l);
                }
            }
        CHECK(owner.open.empty());
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
