// Limits by cost, in virtual time: no socket, no clock. Each case says what it would lose without the rule.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "limits/limiter.hpp"

namespace indigovane::limits {
namespace {

using namespace std::chrono_literals;
constexpr Time kStart{std::chrono::seconds(1000)};

Settings settings() {
    Settings s;
    s.enabled = true;
    s.work = 1000ms, s.reserve = 0.25, s.queue = 1000, s.wait = 10s;
    s.shares = {{"vilaine", 0.59}, {"rance", 0.21}, {"odet", 0.20}};
    s.other_share = 0.05;
    return s;
}

// Requests that take as long as they are told to, however many there are.
struct World {
    Limiter limiter;
    Time now = kStart;
    std::uint64_t ids = 0;
    struct Out {
        Time ends;
        std::uint64_t id;
        bool operator>(const Out& o) const { return ends > o.ends; }
    };
    std::priority_queue<Out, std::vector<Out>, std::greater<>> out;
    struct Request {
        std::string tenant;
        Duration service{}, wait{};
        Time asked{};
        Admission word = Admission::wait;
        AdmissionDecision verdict;
        bool ended = false;
    };
    std::map<std::uint64_t, Request> requests;
    std::map<std::string, Duration> served;  // work, by laundry
    std::function<void(Request&)> on_end;

    explicit World(const Settings& s = settings()) : limiter(s) {}

    std::uint64_t ask(const std::string& tenant, Duration service, std::uint64_t shape = 1,
                      bool privileged = false, Duration client_timeout = 20s, Duration estimate = 20ms) {
        std::uint64_t id = ++ids;
        Request& r = requests[id];
        r.tenant = tenant, r.service = service, r.asked = now;
        r.verdict =
            limiter.arrive({id, 1, tenant, {shape, shape}, estimate, privileged, now + client_timeout}, now);
        take(r.verdict);
        settle();
        return id;
    }
    void take(const AdmissionDecision& v) {
        Request& r = requests.at(v.id);
        r.word = v.word;
        r.verdict = v;
        if (v.word == Admission::go) {
            r.wait = now - r.asked;
            out.push({now + r.service, v.id});
        }
        if (v.word == Admission::refuse) r.ended = true;
    }
    void settle() {
        std::vector<AdmissionDecision> due;
        do {
            due.clear();
            limiter.release(now, due);
            for (const AdmissionDecision& v : due) take(v);
        } while (!due.empty());
    }
    void run(Time until) {
        for (;;) {
            auto next = limiter.next();
            Time at = out.empty() ? Time::max() : out.top().ends;
            if (next) at = std::min(at, std::max(now, *next));
            if (at > until) break;
            now = std::max(now, at);
            while (!out.empty() && out.top().ends <= now) {
                std::uint64_t id = out.top().id;
                out.pop();
                auto it = requests.find(id);
                if (it == requests.end() || it->second.ended) continue;
                Request& r = it->second;
                r.ended = true;
                served[r.tenant] += r.service;
                limiter.finish(id, End::served, 100, now);
                if (on_end) on_end(r);
            }
            settle();
        }
        now = until;
        settle();
    }
    // Makes a shape known: what it costs is then no guess.
    void teach(std::uint64_t shape, Duration service, int times = 12) {
        for (int i = 0; i < times; ++i) {
            ask("vilaine", service, shape);
            run(now + service + 1ms);
        }
    }
};

TEST_CASE("with all busy each laundry has its share of the work, within 5% over any second") {
    World w;
    w.teach(1, 40ms);
    w.on_end = [&](World::Request& r) { w.ask(r.tenant, 40ms); };
    for (int i = 0; i < 60; ++i)
        for (const char* t : {"vilaine", "rance", "odet"}) w.ask(t, 40ms);
    w.run(w.now + 2s);
    for (int second = 0; second < 5; ++second) {
        w.served.clear();
        w.run(w.now + 1s);
        Duration all = w.served["vilaine"] + w.served["rance"] + w.served["odet"];
        CHECK(double(w.served["vilaine"].count()) / double(all.count()) ==
              doctest::Approx(0.59).epsilon(0.05));
        CHECK(double(w.served["rance"].count()) / double(all.count()) == doctest::Approx(0.21).epsilon(0.05));
        CHECK(double(w.served["odet"].count()) / double(all.count()) == doctest::Approx(0.20).epsilon(0.05));
    }
}

TEST_CASE("shares hold for work, not for requests: a laundry of long ones gets no more") {
    World w;
    w.teach(1, 20ms);
    w.teach(2, 160ms);
    w.on_end = [&](World::Request& r) { w.ask(r.tenant, r.service, r.service > 100ms ? 2 : 1); };
    for (int i = 0; i < 100; ++i) {
        w.ask("rance", 160ms, 2);
        w.ask("odet", 20ms, 1);
    }
    w.run(w.now + 2s);
    w.served.clear();
    w.run(w.now + 6s);
    double part = double(w.served["rance"].count()) / double((w.served["rance"] + w.served["odet"]).count());
    CHECK(part == doctest::Approx(0.21 / 0.41).epsilon(0.05));
}

TEST_CASE("unused share is lent whole, and taken back within a second of its owner's waking") {
    World w;
    w.teach(1, 40ms);
    w.on_end = [&](World::Request& r) { w.ask(r.tenant, 40ms); };
    for (int i = 0; i < 100; ++i) w.ask("rance", 40ms);  // at ten times its share
    w.run(w.now + 5s);
    CHECK(w.limiter.work(1) > 700ms);  // nearly all that plain reads may have
    for (int i = 0; i < 100; ++i) w.ask("vilaine", 40ms);
    w.run(w.now + 200ms);
    w.served.clear();
    w.run(w.now + 800ms);
    double part =
        double(w.served["vilaine"].count()) / double((w.served["rance"] + w.served["vilaine"]).count());
    CHECK(part == doctest::Approx(0.59 / 0.80).epsilon(0.06));
}

TEST_CASE("idling earns no credit: who wakes does not shut the others out") {
    World w;
    w.teach(1, 40ms);
    w.on_end = [&](World::Request& r) { w.ask(r.tenant, 40ms); };
    for (int i = 0; i < 60; ++i) w.ask("odet", 40ms);
    w.run(w.now + 60s);
    for (int i = 0; i < 200; ++i) w.ask("rance", 40ms);
    w.served.clear();
    w.run(w.now + 1s);
    CHECK(w.served["odet"] > 300ms * 18 / 2);  // of about 18 s of work; half of it by share
}

TEST_CASE("writes and session reads have room that no other read can take") {
    World w;
    w.teach(1, 40ms);
    for (int i = 0; i < 200; ++i) w.ask("rance", 400ms, 1);
    CHECK(w.limiter.work(1) <= 750ms);
    std::uint64_t write = w.ask("rance", 40ms, 1, true);
    CHECK(w.requests[write].word == Admission::go);
    std::uint64_t other = w.ask("vilaine", 40ms, 1, true);
    CHECK(w.requests[other].word == Admission::go);
}

TEST_CASE("nobody starves: plain reads go on beside a laundry's endless writes") {
    World w;
    w.teach(1, 40ms);
    w.on_end = [&](World::Request& r) { w.ask(r.tenant, 40ms, 1, true); };
    for (int i = 0; i < 60; ++i) w.ask("rance", 40ms, 1, true);
    w.run(w.now + 1s);
    w.on_end = nullptr;
    std::uint64_t plain = w.ask("rance", 40ms, 1);
    for (int i = 0; i < 400; ++i) w.ask("rance", 40ms, 1, true);
    w.run(w.now + 2s);
    CHECK(w.requests[plain].word == Admission::go);
    CHECK(w.requests[plain].wait < 500ms);
}

TEST_CASE("a request larger than the room left is waited for, not passed by smaller ones for ever") {
    World w;
    w.teach(1, 10ms);
    w.teach(2, 240ms);
    w.on_end = [&](World::Request& r) {
        if (r.service == 10ms) w.ask(r.tenant, 10ms, 1);
    };
    for (int i = 0; i < 300; ++i) w.ask("rance", 10ms, 1);
    std::uint64_t large = w.ask("vilaine", 240ms, 2);
    w.run(w.now + 1s);
    CHECK(w.requests[large].word == Admission::go);
}

TEST_CASE(
    "who can't be in time is told at once, who has waited long enough then, both with when to come back") {
    Settings s = settings();
    s.queue = 20, s.wait = 100ms;
    World w(s);
    w.teach(1, 40ms);
    for (int i = 0; i < 25; ++i) w.ask("rance", 5s, 1);
    std::uint64_t waits = w.ask("rance", 40ms, 1, false, 2s);
    std::uint64_t late = w.ask("rance", 40ms, 1, false, 30ms);
    CHECK(w.requests[waits].word == Admission::wait);
    CHECK(w.requests[late].word == Admission::refuse);
    CHECK(w.requests[late].verdict.cause == Cause::too_late);
    CHECK(w.requests[late].verdict.retry_after.value() >= 20ms);
    Time asked = w.now;
    w.run(w.now + 99ms);
    CHECK(w.requests[waits].word == Admission::wait);
    w.run(asked + 100ms);
    CHECK(w.requests[waits].word == Admission::refuse);
    CHECK(w.requests[waits].verdict.cause == Cause::waited);
    CHECK(w.requests[waits].verdict.retry_after);
    for (int i = 0; i < 30; ++i) w.ask("rance", 40ms, 1);
    std::uint64_t full = w.ask("rance", 40ms, 1);
    CHECK(w.requests[full].word == Admission::refuse);
    // A laundry that fills its part of the queue leaves the others theirs.
    CHECK(w.requests[w.ask("vilaine", 40ms, 1)].word != Admission::refuse);
}

TEST_CASE("names that nobody knows share one share: a new name a request wins nothing") {
    World w;
    w.teach(1, 40ms);
    w.on_end = [&](World::Request& r) {
        w.ask(r.tenant == "odet" ? "odet" : "x" + std::to_string(w.ids), 40ms);
    };
    for (int i = 0; i < 100; ++i) {
        w.ask("odet", 40ms);
        w.ask("x" + std::to_string(i), 40ms);
    }
    w.run(w.now + 1s);
    w.served.clear();
    w.run(w.now + 3s);
    Duration others{};
    for (auto& [tenant, work] : w.served)
        if (tenant != "odet") others += work;
    CHECK(double(w.served["odet"].count()) / double((others + w.served["odet"]).count()) > 0.75);
}

TEST_CASE("a shape never seen is tried by two at a time until something is known of it") {
    World w;
    for (int i = 0; i < 10; ++i) w.ask("vilaine", 30ms, 9);
    CHECK(w.limiter.in_flight() == 2);
    CHECK(w.limiter.waiting() == 8);
    w.run(w.now + 200ms);
    CHECK(w.limiter.idle());
    for (int i = 0; i < 10; ++i) w.ask("vilaine", 30ms, 9);
    CHECK(w.limiter.in_flight() == 10);
}

TEST_CASE("a shape that turns costly is capped by its tail; what waits behind it does not wait for it") {
    World w;
    w.teach(3, 20ms, 30);
    for (int i = 0; i < 8; ++i) {  // the same shape with a ruinous literal
        w.ask("rance", 900ms, 3);
        w.run(w.now + 910ms);
    }
    for (int i = 0; i < 10; ++i) w.ask("rance", 900ms, 3);
    CHECK(w.limiter.in_flight() == 1);  // a quarter of a second's work holds one of a second
    w.teach(1, 20ms);
    std::uint64_t behind = w.ask("rance", 20ms, 1);
    CHECK(w.requests[behind].word == Admission::go);
    // A cap that is lifted while its queue is full lets all of them go, a few at a time, and loses none.
    for (int i = 0; i < 40; ++i) w.ask("rance", 5ms, 3, false, 60s);
    w.run(w.now + 60s);
    CHECK(w.limiter.idle());
}

TEST_CASE("a shape that keeps timing out is quarantined while others are answered, and probed back") {
    World w;
    w.teach(1, 20ms);
    auto time_out = [&](std::uint64_t shape) {
        std::uint64_t id = w.ask("rance", 100s, shape);
        if (w.requests[id].word != Admission::go) return false;
        w.now += 500ms;
        w.requests[id].ended = true;
        w.limiter.finish(id, End::timed_out, 0, w.now);
        w.teach(1, 20ms, 2);
        return true;
    };
    for (int i = 0; i < 3; ++i) CHECK(time_out(5));
    std::uint64_t id = w.ask("rance", 1ms, 5);
    CHECK(w.requests[id].word == Admission::refuse);
    CHECK(w.requests[id].verdict.cause == Cause::quarantined);
    CHECK(w.requests[id].verdict.retry_after.value() <= 1s);
    w.run(w.now + 1s);
    CHECK(time_out(5));  // the probe; it fails, and the next is twice as far away
    w.run(w.now + 1s);
    CHECK(w.requests[w.ask("rance", 1ms, 5)].word == Admission::refuse);
    w.run(w.now + 1s);
    std::uint64_t probe = w.ask("rance", 20ms, 5);
    CHECK(w.requests[probe].word == Admission::go);
    CHECK(w.requests[w.ask("rance", 20ms, 5)].word == Admission::refuse);  // one at a time
    w.run(w.now + 30ms);
    CHECK(w.requests[w.ask("rance", 20ms, 5)].word == Admission::go);
}

// Guards writes when their primary is gone: all of them time out, none is to blame.
TEST_CASE("where everything times out no shape is quarantined") {
    World w;
    for (int i = 0; i < 10; ++i)
        for (std::uint64_t shape : {1, 2, 3}) {
            std::uint64_t id = w.ask("rance", 100s, shape);
            REQUIRE(w.requests[id].word == Admission::go);
            w.now += 500ms;
            w.requests[id].ended = true;
            w.limiter.finish(id, End::timed_out, 0, w.now);
        }
}

TEST_CASE(
    "costs: a time-out counts as its time at least, old outcomes fade, the tail shows what a mean hides") {
    Settings s = settings();
    CostModel model(s);
    GroupPulse pulse;
    Time now = kStart;
    for (int i = 0; i < 95; ++i) model.record({1, 1}, End::served, 10ms, 50, 1ms, pulse, now += 1ms);
    for (int i = 0; i < 8; ++i) model.record({1, 1}, End::timed_out, 1s, 0, 1ms, pulse, now += 1ms);
    auto view = model.view({1, 1}, 1ms, GroupPulse{}, now);
    CHECK(view.median < 13ms);
    CHECK(view.tail > 800ms);
    CHECK(view.mean > 60ms);
    now += 120s;
    for (int i = 0; i < 20; ++i) model.record({1, 1}, End::served, 10ms, 50, 1ms, pulse, now += 1ms);
    CHECK(model.view({1, 1}, 1ms, GroupPulse{}, now).tail < 13ms);
    CHECK(model.view({2, 2}, 77ms, pulse, now).mean == 77ms);
    for (std::uint64_t i = 0; i < 20000; ++i) model.record({i, 3}, End::served, 1ms, 0, 1ms, pulse, now);
    CHECK(model.size() <= s.shapes);
}

TEST_CASE("what was learned before a start is a prior: no trial, and a few outcomes outweigh it") {
    Settings s = settings();
    CostModel before(s), after(s);
    GroupPulse pulse;
    for (int i = 0; i < 40; ++i) before.record({1, 1}, End::served, 300ms, 0, 1ms, pulse, kStart + i * 1ms);
    before.record({2, 2}, End::served, 300ms, 0, 1ms, pulse, kStart);
    REQUIRE(before.priors(10).size() == 1);  // one outcome is no knowledge
    Time now = kStart + 60s;
    after.learn(before.priors(10)[0], now);
    CHECK(after.view({1, 1}, 1ms, pulse, now).standing == ShapeState::costly);
    for (int i = 0; i < 12; ++i) after.record({1, 1}, End::served, 10ms, 0, 1ms, pulse, now += 1ms);
    CHECK(after.view({1, 1}, 1ms, pulse, now).mean < 40ms);
    CHECK(after.view({1, 1}, 1ms, pulse, now).standing == ShapeState::known);
    CostModel::Prior absurd{{3, 3}, ~0ull, 1, 100};
    after.learn(absurd, now);
    CHECK(after.size() == 1);
}

TEST_CASE(
    "heavy hitters: what weighs more than its part of the places is there, at no less than its weight") {
    HeavyHitters<int> hitters(16);
    std::mt19937 random(3);
    std::map<int, double> truth;
    for (int i = 0; i < 50000; ++i) {
        int key = random() % 4 == 0 ? int(random() % 3) : 100 + int(random() % 5000);
        hitters.add(key, 1 + key % 3);
        truth[key] += 1 + key % 3;
    }
    auto top = hitters.top(16);
    for (int key : {1, 2}) {
        auto it = std::find_if(top.begin(), top.end(), [&](auto& p) { return p.key == key; });
        REQUIRE(it != top.end());
        CHECK(it->weight >= truth[key]);
        CHECK(it->weight - it->error <= truth[key]);
    }
}

// Random steps against what must hold at each: whoever asks has one verdict at a time, nothing leaks, and
// there is no room left over while somebody who may go waits.
TEST_CASE("random steps: one word each, room kept, work conserved, nothing left at the end") {
    for (unsigned seed = 1; seed <= 8; ++seed) {
        std::mt19937_64 random(seed);
        Settings s = settings();
        s.queue = 40, s.wait = 300ms;
        World w(s);
        const char* tenants[] = {"vilaine", "rance", "odet", "unnamed", ""};
        std::set<std::uint64_t> open;
        for (int step = 0; step < 6000; ++step) {
            switch (random() % 8) {
                case 0:
                case 1:
                case 2:
                case 3:
                    open.insert(w.ask(tenants[random() % 5], Duration(1000 + random() % 200000),
                                      1 + random() % 6, random() % 3 == 0,
                                      Duration(10000 + random() % 2000000)));
                    break;
                case 4:
                    if (!open.empty()) {  // one that waits or is in flight leaves
                        auto it = std::next(open.begin(), std::ptrdiff_t(random() % open.size()));
                        World::Request& r = w.requests[*it];
                        if (!r.ended) {
                            r.ended = true;
                            w.limiter.finish(*it, random() % 2 ? End::withdrawn : End::never_ran, 0, w.now);
                            w.limiter.finish(*it, End::served, 0, w.now);  // again: changes nothing
                            w.settle();
                        }
                        open.erase(it);
                    }
                    break;
                case 5:
                    if (random() % 50 == 0) {
                        s.work = Duration(400000 + random() % 1000000);
                        w.limiter.set(s);
                        w.settle();
                    }
                    break;
                default:
                    w.run(w.now + Duration(random() % 60000));
            }
            std::size_t waiting = 0, in_flight = 0;
            for (auto it = w.requests.begin(); it != w.requests.end();) {
                if (it->second.ended) {
                    it = w.requests.erase(it);
                    continue;
                }
                (it->second.word == Admission::wait ? waiting : in_flight) += 1;
                ++it;
            }
            std::erase_if(open, [&](std::uint64_t id) { return !w.requests.count(id); });
            while (!w.out.empty() && !w.requests.count(w.out.top().id)) w.out.pop();
            REQUIRE(w.limiter.waiting() == waiting);
            REQUIRE(w.limiter.in_flight() == in_flight);
            REQUIRE(waiting <= s.queue);
            if (in_flight == 0) REQUIRE(waiting == 0);
        }
        w.run(w.now + 60s);
        CHECK(w.limiter.idle());
        CHECK(w.limiter.work(1) == Duration::zero());
    }
}

}  // namespace
}  // namespace indigovane::limits
