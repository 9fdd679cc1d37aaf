// A member's pool against a model: random jobs, connections that come up, break and answer, in random order.
#include "routing/pool.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using policy::AttemptStatus;
using routing::BackendConnection;
using routing::BackendTask;
using routing::Pool;

struct FakeOwner : Pool::Owner {
    void on_job_begun(Pool&, const BackendTask&, const routing::Answer&, std::size_t) override {}
    bool on_job_piece(const BackendTask&, std::string_view) override { return true; }
    void on_job_end(Pool&, const BackendTask& task, routing::AttemptResult result) override {
        REQUIRE(open.erase(std::uint64_t(task.id)) == 1);  // each job ends once
        last = result.status;
    }
    const routing::ClientRequest* may_start(const Pool&, BackendTask& task) override {
        return stopped.count(std::uint64_t(task.id)) ? nullptr : &item;
    }
    bool may_open() override { return links < most && ++links; }
    void on_link_gone() override { --links; }
    routing::ClientRequest item;
    std::set<std::uint64_t> open, stopped;
    std::optional<AttemptStatus> last;
    int links = 0, most = 5;
};

TEST_CASE("a pool ends each job once, whatever becomes of its connections") {
    Dice dice(21);
    for (int round = 0; round < 200; ++round) {
        routing::Clock clock;
        FakeBackend backend;
        FakeOwner owner;
        Pool pool(routing::EndpointId{0}, backend, clock, 1s, owner);
        pool.set_address("a:1");
        std::uint64_t next = 0;
        auto task = [](std::uint64_t n) {
            BackendTask j;
            j.id = routing::RequestId{n}, j.until = routing::Time::max();
            return j;
        };
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
                    owner.open.insert(++next);
                    pool.submit(task(next));
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
                    CHECK(pool.give_up(task(id)) != Pool::Given::none);
                    owner.open.erase(id);
                    CHECK(pool.give_up(task(id)) == Pool::Given::none);
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
            REQUIRE(pool.links() == count);
            REQUIRE(owner.links == int(count));
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
                    l->busy = false;
                    l->owner->on_result(*l,
                                        routing::AttemptResult{AttemptStatus::ok, {}, {}, {}, {}, {}, true});
                }
            }
        CHECK(owner.open.empty());
    }
}

TEST_CASE("a connection on which something came unasked is closed, not used") {
    routing::Clock clock;
    FakeBackend backend;
    FakeOwner owner;
    Pool pool(routing::EndpointId{0}, backend, clock, 1s, owner);
    for (std::uint64_t n = 1; n <= 2; ++n) {
        owner.open.insert(n);
        BackendTask j;
        j.id = routing::RequestId{n};
        pool.submit(j);
        if (n == 2) break;
        FakeLink& link = *backend.links[0];
        link.owner->on_ready(link);
        link.noisy = true;  // behind the answer, before the next job
        link.owner->on_result(link, routing::AttemptResult{AttemptStatus::ok, {}, {}, {}, {}, {}, true});
    }
    CHECK(backend.links[0]->closed);
    REQUIRE(backend.links.size() == 2);
    CHECK(owner.links == 1);
}

TEST_CASE("the newest idle connection is used first, a closed one never") {
    routing::Clock clock;
    FakeBackend backend;
    FakeOwner owner;
    Pool pool(routing::EndpointId{0}, backend, clock, 1s, owner);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        owner.open.insert(n);
        BackendTask j;
        j.id = routing::RequestId{n};
        pool.submit(j);
    }
    for (auto& l : backend.links) l->owner->on_ready(*l);
    for (std::size_t n : {0, 2, 1}) {
        backend.links[n]->busy = false;
        backend.links[n]->owner->on_result(
            *backend.links[n], routing::AttemptResult{AttemptStatus::ok, {}, {}, {}, {}, {}, true});
    }
    backend.links[1]->owner->on_end(*backend.links[1],
                                    BackendConnection::End::written);  // the host closed the newest
    owner.open.insert(4);
    BackendTask j;
    j.id = routing::RequestId{4};
    pool.submit(j);
    CHECK(backend.links[2]->busy);
    CHECK(!backend.links[0]->busy);
    CHECK(backend.links.size() == 3);
    CHECK(owner.last == AttemptStatus::ok);
}

}  // namespace
}  // namespace indigovane::testing
