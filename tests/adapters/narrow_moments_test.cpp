// Narrow moments of acceptance (docs/acceptance.md), each with real connections in an order that the test
// brings about: what crosses a close, a shutdown, a reload, a client's leaving, a list that goes quiet.
#include <boost/asio/write.hpp>

#include "adapters/pg_front.hpp"
#include "adapters/rest_front.hpp"
#include "support/deployment.hpp"
#include "support/discovery.hpp"

namespace indigovane::testing {
namespace {

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;
using routing::WatchSchedule;
using tcp = boost::asio::ip::tcp;

// A client's socket by hand: nothing is read or closed unless the test says so.
struct ByHand {
    ByHand(Loop& l, const transport::SocketAddress& to) : loop(l), socket(l.io) {
        socket.connect(to);
        socket.non_blocking(true);
    }
    void send(const std::string& bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }
    // All that has come, and how the stream ended: would_block where it has not.
    std::string read(boost::system::error_code& ec) {
        std::string all(1 << 16, '\0');
        std::size_t size = 0;
        for (ec = {}; !ec;) size += socket.read_some(boost::asio::buffer(&all[size], all.size() - size), ec);
        all.resize(size);
        return all;
    }
    std::size_t waiting() { return socket.available(); }
    Loop& loop;
    tcp::socket socket;
};

std::string query(const std::string& id, int wait_ms = 4000,
                  const std::string& request_class = "stock-view") {
    return pg::Writer()
        .query("/* id=" + id + ",c=" + request_class + ",t=a,d=" + std::to_string(wait_ms) +
               ",cluster=3 */ SELECT content FROM kv WHERE name = '7f3a9c21e0b4d655'")
        .take();
}
std::string startup() {
    return pg::Writer().startup("backend", "store").take();
}

// ---- requests behind others ----------------------------------------------------------------------

TEST_CASE("bytes that came are known by their time until they are read, also those that came one by one") {
    transport::Arrivals a;
    transport::Arrivals::Time t{};
    for (int i = 1; i <= 1000; ++i) a.came(std::uint64_t(i), 0, t + std::chrono::microseconds(i * 100));
    CHECK(a.pieces() <= 11);
    for (int i : {1, 500, 1000}) {
        auto late = t + std::chrono::microseconds(i * 100) - a.at(std::uint64_t(i), t);
        CHECK(late >= 0ms);
        CHECK(late <= transport::Arrivals::kTogether);
    }
    a.came(1001, 1000, t + 5s);
    CHECK(a.pieces() == 1);
    CHECK(a.at(1001, t) == t + 5s);
    CHECK(a.at(1002, t + 9s) == t + 9s);
}

struct Held : routing::RequestAdmission {  // what is asked stays without an answer until the test gives one
    routing::RequestId accept(routing::ClientRequest item, routing::Responder& responder) override {
        items.push_back(item);
        open.push_back(&responder);
        return routing::RequestId{items.size()};
    }
    bool has_capacity(std::size_t) const override { return true; }
    bool is_open(const std::string&) const override { return false; }
    void resume(routing::RequestId) override {}
    void withdraw(routing::RequestId id, Departure) override { withdrawn.push_back(std::uint64_t(id)); }
    std::vector<routing::ClientRequest> items;
    std::vector<routing::Responder*> open;
    std::vector<std::uint64_t> withdrawn;
};
struct FrontRig {
    Loop loop;
    NullLogger logger;
    Held admission;
    adapters::Classes known = classes();
    adapters::PgFront pg;
    adapters::RestFront rest;
    explicit FrontRig(std::size_t most = 8)
        : pg(loop.io, loopback(), most, known, {}, admission, logger),
          rest(loop.io, loopback(), most, known, {}, admission, logger) {
        pg.start();
        rest.start();
    }
    bool asked(std::size_t n) {
        return loop.until([&] { return admission.items.size() >= n; });
    }
    void serve(std::size_t n) {
        routing::Answer a;
        a.rows.push_back({"", "v"});
        admission.open[n]->served(a);
    }
};

TEST_CASE("a request that waits behind another counts its time from its own last byte") {
    std::string get = http::write_request("GET", "/v1/clusters/1/kv/a?class=stock-view&wait_ms=900", "h", {});
    for (bool rest : {false, true}) {
        FrontRig rig;
        ByHand client(rig.loop, rest ? rig.rest.local() : rig.pg.local());
        client.send(rest ? get + get : startup() + query("1", 900) + query("2", 900));
        REQUIRE(rig.asked(1));  // both came in one piece
        auto came = std::chrono::steady_clock::now();
        rig.loop.settle();
        auto waited = std::chrono::steady_clock::now() - came;
        rig.serve(0);
        REQUIRE(rig.asked(2));
        CHECK(rig.admission.items[1].client_timeout <= 900ms - waited);
        CHECK(rig.admission.items[1].client_timeout >= 0ms);
    }
}

// ---- closes ----------------------------------------------------------------------------------------

TEST_CASE("a request that crosses its connection's close is left unread, and the answer before it is whole") {
    enum class Why { shutdown, served_limit, room };
    for (Why why : {Why::shutdown, Why::served_limit, Why::room}) {
        FrontRig rig(why == Why::room ? 2 : 8);
        ByHand client(rig.loop, rig.pg.local());
        client.send(startup() + query("1"));
        REQUIRE(rig.asked(1));
        rig.serve(0);
        rig.loop.settle();
        std::size_t before = client.waiting();
        REQUIRE(before > 0);
        std::vector<std::unique_ptr<ByHand>> others;
        if (why == Why::served_limit) rig.pg.limit_served(1);
        if (why == Why::shutdown) {
            rig.pg.close_idle();
        } else {
            for (int i = 0; i < 2; ++i) {
                others.push_back(std::make_unique<ByHand>(rig.loop, rig.pg.local()));
                others.back()->send(startup() + query("o" + std::to_string(i)));
                REQUIRE(rig.asked(std::size_t(i + 2)));
            }
        }
        REQUIRE(rig.loop.until([&] { return rig.pg.lingering() == 1; }));
        client.send(query("2"));  // the close is on its way already
        rig.loop.settle();
        boost::system::error_code ec;
        CHECK(client.read(ec).size() == before);
        CHECK(ec == boost::asio::error::eof);  // no reset: its client sends it once more elsewhere
        CHECK(rig.admission.items.size() == (why == Why::shutdown ? 1 : 3));
        if (why == Why::shutdown) client.socket.close();
        CHECK(rig.loop.until([&] { return rig.pg.lingering() == 0; }));
        if (why == Why::shutdown) continue;
        // Its time was up, with the request unread: had it been read and forgotten, there would be no reset.
        int error = 0;
        socklen_t size = sizeof error;
        CHECK(::getsockopt(client.socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0);
        CHECK(error != 0);
    }
}

TEST_CASE("connections that linger are bounded: the oldest gives way, and one whose client stays is closed") {
    FrontRig rig(400);
    std::vector<std::unique_ptr<ByHand>> clients;
    for (std::size_t i = 0; i < adapters::ClientListener::kLingering + 5; ++i) {
        clients.push_back(std::make_unique<ByHand>(rig.loop, rig.pg.local()));
        clients.back()->send(startup() + pg::Writer().plain('X', "").take());
        REQUIRE(rig.loop.until([&] { return clients.back()->waiting() > 0 && rig.pg.connections() == 0; }));
        CHECK(rig.pg.lingering() <= adapters::ClientListener::kLingering);
    }
    CHECK(rig.loop.until([&] { return rig.pg.lingering() == 0; }));  // nobody closes, and nothing waits
}

// ---- clients that leave ------------------------------------------------------------------------------

TEST_CASE("a client that leaves while no more of it is read has gone: what it asked is withdrawn") {
    for (bool reset : {false, true}) {
        FrontRig rig;
        ByHand client(rig.loop, rig.pg.local());
        client.send(startup() + query("1"));
        REQUIRE(rig.asked(1));
        // More than a session keeps unread, in the kernel's room on both sides.
        std::string more;
        while (more.size() < 400000) more += query("n");
        boost::system::error_code ec;
        std::size_t sent = 0;
        REQUIRE(rig.loop.until([&] {
            sent += client.socket.write_some(boost::asio::buffer(&more[sent], more.size() - sent), ec);
            return ec || sent == more.size();
        }));
        rig.loop.settle();
        CHECK(rig.admission.withdrawn.empty());
        if (reset) client.socket.set_option(boost::asio::socket_base::linger(true, 0));
        client.socket.close();
        CHECK(rig.loop.until([&] { return rig.admission.withdrawn.size() == 1; }));
        CHECK(rig.admission.items.size() == 1);
        CHECK(rig.pg.connections() == 0);
    }
}

TEST_CASE(
    "a client that has gone is sent nowhere: unread behind another, in the limiter, between two attempts") {
    enum class Where { unread, limiter, between };
    for (Where where : {Where::unread, Where::limiter, Where::between}) {
        auto by_cost = limits::Settings{};
        by_cost.work = 1us, by_cost.wait = 20s, by_cost.reserve = 0;
        PgDeployment d(64, settings(), nullptr,
                       where == Where::limiter ? std::optional(by_cost) : std::nullopt);
        for (Host& host : d.hosts) host.silent = true;
        ByHand first(d.loop, d.pg.local()), second(d.loop, d.pg.local());
        auto asked = [&] { return d.replica_queries() + d.hosts[0].queries; };
        first.send(startup() + query("1"));
        REQUIRE(d.loop.until([&] { return asked() == 1; }));
        ByHand& gone = where == Where::unread ? first : second;
        gone.send(where == Where::unread ? query("2") : startup() + query("2"));
        if (where != Where::unread) REQUIRE(d.loop.until([&] { return second.waiting() > 0; }));
        if (where == Where::between) REQUIRE(d.loop.until([&] { return asked() == 2; }));
        d.loop.settle();
        int before = asked();
        // The attempts fail and the client leaves: the pooler sees both before it decides on anything.
        auto batch = std::exchange(d.loop.batch, [] {});
        gone.socket.close();
        if (where != Where::unread) first.socket.close();
        for (auto& server : d.servers) server->drop_all();
        d.loop.settle();
        d.loop.batch = batch;
        REQUIRE(d.loop.until([&] {
            return d.pg.connections() == (where == Where::unread) && d.core.requests() == 0 &&
                   (!d.limited || d.limited->idle());
        }));
        d.loop.settle();
        CHECK(asked() == before);
    }
}

TEST_CASE("a connection to a host that comes up after its request's client has gone carries nothing") {
    PgDeployment d;
    tcp::acceptor late(d.loop.io, loopback());  // takes connections, and says nothing until told to
    std::vector<routing::EndpointInfo> members;
    for (std::size_t i = 0; i < 3; ++i) {
        members.push_back(d.endpoint(i, EndpointState::ready));
        members.back().address = text(late.local_endpoint());
    }
    d.core.apply_endpoint_list(EndpointListKind::full, members);
    ByHand client(d.loop, d.pg.local());
    client.send(startup() + pg::Writer()
                                .query("/* id=2,c=scan-write,k=5,d=4000,cluster=3 */ INSERT INTO kv (name, "
                                       "content) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING content")
                                .take());
    std::vector<tcp::socket> links;
    late.non_blocking(true);
    auto take = [&] {
        boost::system::error_code ec;
        tcp::socket s(d.loop.io);
        late.accept(s, ec);
        if (!ec) links.push_back(std::move(s));
        return !ec;
    };
    REQUIRE(d.loop.until([&] { return d.core.requests() == 1 && take(); }));
    client.socket.close();
    REQUIRE(d.loop.until([&] { return d.core.requests() == 0; }));
    while (take()) {
    }
    for (auto& s : links) {
        boost::system::error_code ec;
        boost::asio::write(
            s,
            boost::asio::buffer(
                pg::Writer().authentication_ok().parameter("server_version", "15").ready().take()),
            ec);
    }
    d.loop.settle();
    for (auto& s : links) {
        boost::system::error_code ec;
        s.non_blocking(true);
        std::string all(4096, '\0');
        all.resize(s.read_some(boost::asio::buffer(all), ec));
        CHECK(all.find("INSERT") == std::string::npos);
    }
}

// ---- the end of the program ----------------------------------------------------------------------------

TEST_CASE(
    "what is in hand at the end of a drain is answered: refused if it never ran, failed if it may have") {
    PgDeployment d;
    for (Host& host : d.hosts) host.silent = true;
    Client read(d.loop, d.pg.local()), write(d.loop, d.pg.local()), late(d.loop, d.pg.local());
    for (Client* c : {&read, &write, &late}) {
        c->send(startup());
        CHECK(c->reply() == "RZ");
    }
    read.send(query("1"));
    write.send(
        pg::Writer()
            .query("/* id=2,c=scan-write,k=5,d=4000,cluster=3 */ INSERT INTO kv (name, content) VALUES "
                   "('7f3a9c21e0b4d655', '\\x9f03') RETURNING content")
            .take());
    REQUIRE(d.loop.until([&] { return d.replica_queries() == 1 && d.hosts[0].queries == 1; }));
    d.core.finish_by(d.clock.now());
    late.send(query("3"));
    CHECK(late.reply() == "EZ");  // at once: it would have no time
    CHECK(late.code == "53300");
    CHECK(d.replica_queries() == 1);
    d.core.finish_all();
    CHECK(read.reply() == "EZ");
    CHECK(read.code == "53300");
    CHECK(write.reply() == "EZ");
    CHECK(write.code == "57014");
    CHECK(d.loop.until([&] { return d.core.idle(); }));
    CHECK(d.hosts[0].queries == 1);
}

// ---- settings that change ------------------------------------------------------------------------------

TEST_CASE("what waits in the limiter across a reload goes on as its own class, or ends if that is gone") {
    for (bool kept : {true, false}) {
        Loop loop;
        routing::Clock clock;
        Held core;
        limits::Settings by_cost;
        by_cost.work = 1us, by_cost.wait = 20s, by_cost.reserve = 0;
        adapters::LimitedAdmission limited(loop.io, clock, by_cost, core);
        struct Asker : routing::Responder {
            void served(const routing::Answer&) override { ++answers; }
            void ended(const routing::FinalError& e) override {
                ++answers;
                refused = e.kind == routing::FinalError::Kind::rejected;
            }
            int answers = 0;
            bool refused = false;
        } first, second;
        auto item = [](const char* id, std::uint32_t request_class) {
            routing::ClientRequest i;
            i.id = id, i.request_class = routing::ClassId{request_class}, i.group = routing::GroupId{1},
            i.client_timeout = 30s;
            return i;
        };
        limited.accept(item("1", 0), first);
        limited.accept(item("2", 2), second);
        loop.settle();
        REQUIRE(core.items.size() == 1);  // "2" waits
        // Class 2 is 0 from now on, what was 0 is 2: as "0" of before it would be a write of another effect.
        using Ids = std::vector<std::optional<routing::ClassId>>;
        limited.renumber(kept ? Ids{routing::ClassId{2}, routing::ClassId{1}, routing::ClassId{0}}
                              : Ids{routing::ClassId{0}, routing::ClassId{1}});
        core.open[0]->served({});
        loop.settle();
        CHECK(core.items.size() == (kept ? 2 : 1));
        if (kept) CHECK(core.items.back().request_class == routing::ClassId{0});
        CHECK(second.answers == (kept ? 0 : 1));
        CHECK(second.refused != kept);
    }
}

// ---- a session's own writes ----------------------------------------------------------------------------

TEST_CASE("a session's write that is answered while its read waits for a connection is seen by that read") {
    struct Made : routing::Clock {
        Made() : Clock(0) {}
        policy::Time now() const override { return at; }
        policy::Time at{100s};
    } clock;
    struct Driver : routing::Driver {
        void wake() override {}
        void alarm(std::optional<policy::Time>) override {}
    } driver;
    struct Asker : routing::Responder {
        void served(const routing::Answer&) override { ++answers; }
        void ended(const routing::FinalError&) override {}
        int answers = 0;
    } writer, reader;
    FakeBackend backend;
    NullLogger logger;
    auto s = settings();
    s.health_checks = false, s.staleness_check = policy::StalenessCheck::none;
    routing::Core core(driver, clock, s, 3, {}, backend, logger);
    std::vector<routing::EndpointInfo> infos(2);
    for (std::uint32_t i = 0; i < 2; ++i)
        infos[i].uid = infos[i].address = std::to_string(i), infos[i].group = 1, infos[i].primary = i == 0;
    core.apply_endpoint_list(policy::EndpointListKind::full, infos);
    auto ask = [&](const char* id, std::uint32_t request_class, routing::Responder& who) {
        routing::ClientRequest i;
        i.id = id, i.request_class = routing::ClassId{request_class}, i.group = routing::GroupId{1},
        i.client_timeout = 2s;
        i.session = 5, i.verb = request_class == 2 ? routing::ClientRequest::Verb::write
                                                   : routing::ClientRequest::Verb::lookup;
        core.accept(i, who);
        core.run_batch();
    };
    ask("r", 1, reader);  // its session has written nothing yet: the replica will do
    REQUIRE(backend.opened == std::vector<std::string>{"1"});
    ask("w", 2, writer);
    REQUIRE(backend.opened.size() == 2);
    auto up = [&](std::size_t n) {
        backend.links[n]->up = true;
        backend.links[n]->owner->on_ready(*backend.links[n]);
    };
    auto answered = [&](std::size_t n, std::int64_t position_ms, policy::Role role) {
        routing::AttemptResult r;
        r.status = policy::AttemptStatus::ok, r.role = role, r.position_unix_us = position_ms * 1000;
        backend.links[n]->owner->on_result(*backend.links[n], r);
        core.run_batch();
    };
    up(1);
    answered(1, 100'020, policy::Role::primary);  // the commit
    CHECK(writer.answers == 1);
    up(0);                                        // late: the read begins only now
    answered(0, 100'001, policy::Role::replica);  // without that write
    CHECK(reader.answers == 0);
    CHECK(logger.lines["stale"] == 1);
}

// One primary (1) and a replica (2) whose lag a probe has told, seen by the module alone.
struct ModuleRig {
    policy::Time now{100s};
    policy::RoutingPolicy policy;
    policy::Actions actions;
    explicit ModuleRig(const policy::Settings& s) : policy(s, 3, now) {
        using namespace indigovane::policy;
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i : {1, 2})
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, i == 1, {}});
        run(list);
    }
    void run(const policy::Event& e) {
        actions.clear();
        policy.handle(now, e, actions);
    }
    void told(policy::Duration lag) {
        policy::HealthCheckResult p;
        p.endpoint = policy::EndpointId{2}, p.status = policy::AttemptStatus::ok;
        p.report.position = now - lag;
        run(p);
    }
    const policy::SendAttempt* sent() const {
        for (const auto& a : actions)
            if (auto* s = std::get_if<policy::SendAttempt>(&a)) return s;
        return nullptr;
    }
    void ask(std::uint64_t id, std::uint32_t request_class, policy::Duration client_timeout = 3s) {
        policy::RequestArrival q;
        q.id = policy::RequestId{id}, q.request_class = policy::ClassId{request_class};
        q.group = policy::GroupId{1}, q.client_timeout = client_timeout, q.session = policy::SessionKey{1};
        run(q);
    }
    void ended(std::uint64_t id, std::uint32_t endpoint, policy::AttemptStatus status,
               std::uint32_t attempt = 0, std::optional<policy::Time> commit = std::nullopt) {
        policy::AttemptOutcome o;
        o.id = policy::RequestId{id}, o.endpoint = policy::EndpointId{endpoint}, o.status = status;
        o.attempt = attempt, o.finished = status == policy::AttemptStatus::ok, o.position = commit;
        run(o);
    }
};

TEST_CASE("the module: where hosts don't check, a session's read waits for what its write may have done") {
    using policy::EndpointId, policy::AttemptStatus;
    for (bool answered : {false, true}) {
        auto s = settings();
        s.staleness_check = policy::StalenessCheck::none;
        s.classes[2].idempotency = policy::Idempotency::not_idempotent;
        ModuleRig rig(s);
        rig.told(0ms);
        rig.ask(1, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == EndpointId{2});
        rig.now += 10ms;
        rig.ask(2, 2);  // a write; its answer may be lost on the way
        REQUIRE(rig.sent());
        rig.now += 200ms;
        rig.told(5ms);
        rig.ask(3, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == EndpointId{1});
        CHECK(rig.sent()->needs == rig.now);
        rig.now += 10ms;
        rig.ended(2, 1, answered ? AttemptStatus::ok : AttemptStatus::timeout, 0, rig.now - 150ms);
        rig.told(5ms);
        rig.ask(4, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == (answered ? EndpointId{2} : EndpointId{1}));
        rig.now += 10ms;
        rig.told(5ms);  // past the moment until which the lost write may have run
        rig.ask(5, 1);
        REQUIRE(rig.sent());
        CHECK(rig.sent()->endpoint == EndpointId{2});
    }
}

TEST_CASE("the module: a read that is held sees what its session writes meanwhile") {
    using policy::EndpointId, policy::AttemptStatus;
    for (bool writes : {false, true}) {
        auto s = settings();
        s.staleness_check = policy::StalenessCheck::none;
        ModuleRig rig(s);
        rig.ask(1, 2);
        rig.told(10ms);  // its first use has asked
        auto commit = rig.now += 50ms;
        rig.ended(1, 1, AttemptStatus::ok, 0, commit);
        rig.now += 2s;
        rig.ask(2, 1);
        REQUIRE(!rig.sent());  // held: the replica's position is asked for
        if (writes) {
            rig.ask(3, 2);
            rig.now += 1ms;
            rig.ended(3, 1, AttemptStatus::ok, 0, rig.now);  // so soon that the probe is waited for yet
            REQUIRE(!rig.sent());
        }
        bool there = rig.sent() && rig.sent()->endpoint == EndpointId{2};
        rig.told(2ms);
        there = there || (rig.sent() && rig.sent()->endpoint == EndpointId{2});
        CHECK(there != writes);
    }
}

TEST_CASE("the module: a repeat that waits for a connection does not begin when its window has closed") {
    using policy::AttemptStatus;
    for (bool ran : {true, false}) {
        auto s = settings();
        s.classes[2].deduplication_window = 300ms;
        ModuleRig rig(s);
        rig.ask(1, 2);
        REQUIRE(rig.sent());
        auto first = rig.now;
        rig.now += 200ms;
        rig.ended(1, 1, ran ? AttemptStatus::error : AttemptStatus::miss);
        for (int i = 0; i < 3 && !rig.sent(); ++i) rig.run(policy::TimerExpired{policy::TimerId{0}});
        REQUIRE(rig.sent());
        CHECK((rig.now + *rig.sent()->start <= first + 300ms) == ran);
    }
}

// ---- discovery -----------------------------------------------------------------------------------------

TEST_CASE(
    "lists: one without a length ends with its connection, a cut one is none, older changes are not laid "
    "on") {
    ListRig rig({"a"});
    auto& loop = rig.loop;
    auto& host = rig.host;
    auto& discovery = rig.agent;
    auto& core = rig.core;
    auto& catalog = rig.catalog;
    auto list = [](int rev, bool all, const char* state) {
        return "{\n \"rev\": " + std::to_string(rev) + ",\n \"all\": " + (all ? "true" : "false") +
               ",\n \"targets\": [\n  "
               "{\"uid\":\"m\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\"pod_group\":3,"
               "\"state\":\"" +
               state + "\"}]}";
    };
    std::string has_no_comment_fields = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    auto state = [&] {
        auto all = core.listed();
        return all.empty() ? EndpointState::gone : all[0].state;
    };
    auto asked = [&](std::size_t n) { return rig.asked(n); };
    discovery.replies = {has_no_comment_fields + list(41, true, "ready"),
                         has_no_comment_fields + list(43, false, "draining")};
    catalog.follow();
    REQUIRE(asked(1));
    loop.settle();
    CHECK(!catalog.told());  // it may go on yet
    discovery.drop_all();    // an end: all of it has come
    REQUIRE(asked(2));
    CHECK(state() == EndpointState::ready);
    CHECK(host.asked[1].substr(0, 24) == "/catalog/members?from=41");
    loop.settle();
    discovery.drop_all();
    REQUIRE(asked(3));
    CHECK(state() == EndpointState::draining);
    // All of it, and a reset: that is no end. Half of it, and the end: what was held stays, asked for anew.
    discovery.replies = {has_no_comment_fields + list(44, false, "ready")};
    discovery.drop_all();
    REQUIRE(asked(4));
    loop.settle();
    discovery.reset_all();
    REQUIRE(asked(5));
    CHECK(state() == EndpointState::draining);
    discovery.replies = {has_no_comment_fields + list(44, true, "ready").substr(0, 40)};
    discovery.drop_all();
    REQUIRE(asked(6));
    loop.settle();
    discovery.drop_all();
    discovery.replies = {http::write_response(200, {}, list(43, true, "draining"), true),
                         http::write_response(200, {}, list(42, false, "ready"), true),
                         http::write_response(200, {}, list(42, true, "ready"), true)};
    REQUIRE(asked(10));
    CHECK(host.asked[6] == "/catalog/members");
    CHECK(host.asked[8] == "/catalog/members");  // changes that are older: what holds is in the whole list
    CHECK(state() == EndpointState::ready);      // which may be older: discovery was set up anew
}

TEST_CASE(
    "lists: other zones in the settings have the whole list asked for at once, and members numbered anew") {
    ListRig rig({"a", "b"});
    auto& loop = rig.loop;
    auto& host = rig.host;
    auto& discovery = rig.agent;
    auto& core = rig.core;
    auto& catalog = rig.catalog;
    std::string list = http::write_response(
        200, {}, R"({"rev":1,"all":true,"targets":[{"uid":"m","endpoint":"127.0.0.1:9","az":"b"}]})", true);
    discovery.replies = {list};
    catalog.follow();
    REQUIRE(loop.until([&] { return host.asked.size() == 2; }));
    CHECK(core.listed().at(0).zone == 1);
    catalog.set_zones({"a", "b"});  // the same: the watch goes on
    loop.settle();
    CHECK(host.asked.size() == 2);
    discovery.replies = {list};
    catalog.set_zones({"b", "c"});
    REQUIRE(loop.until([&] { return host.asked.size() == 4; }));
    CHECK(host.asked[2] == "/catalog/members");
    CHECK(core.listed().at(0).zone == 0);
}

// Poolers and a discovery with room for so many calls a second, in made-up time. A call that has waited in
// turn for a second is refused; one that comes while discovery is silent is swallowed.
struct FleetOfWatches {
    using Millis = WatchSchedule::Millis;
    struct Pooler {
        WatchSchedule watch;
        Millis at{};  // its next deed
        bool calling = false;
        Millis held_until{}, client_timeout{};
        bool swallowed = false;
        std::int64_t told = 0;
    };
    std::vector<Pooler> poolers;
    double per_second;
    std::mt19937_64 random{7};
    double busy_until = 0;  // of discovery, ms
    Millis now{};
    std::int64_t revision = 1;
    bool down = false, silent = false;

    FleetOfWatches(std::size_t n, WatchSchedule::Timing timing, double capacity) : per_second(capacity) {
        for (std::size_t i = 0; i < n; ++i) {
            poolers.push_back({WatchSchedule(timing)});
            poolers.back().watch.know(1);
            poolers.back().at = Millis(i % 5);
        }
    }
    double draw() { return double(random() % 1001) / 1000; }
    void fail(Pooler& p, WatchSchedule::Failure how) {
        p.calling = false;
        p.at = now + p.watch.failed(how, draw());
    }
    void call(Pooler& p) {
        auto c = p.watch.next();
        p.calling = true, p.swallowed = silent, p.client_timeout = now + c.client_timeout;
        if (silent) return;
        if (down) return fail(p, WatchSchedule::Failure::cut);
        double turn = std::max(busy_until, double(now.count())) + 1000 / per_second;
        if (turn - double(now.count()) > 1000) {
            p.client_timeout = now + Millis(1000), p.swallowed = true;  // waits its second, then 503
            p.held_until = Millis(-1);
            return;
        }
        busy_until = turn;
        p.at = Millis(std::int64_t(turn));
        p.held_until = p.at + c.hold;
    }
    void step() {
        for (Pooler& p : poolers) {
            if (!p.calling) {
                if (now >= p.at) call(p);
            } else if (p.swallowed) {
                if (now >= p.client_timeout) {
                    bool refused = std::exchange(p.held_until, Millis(0)) == Millis(-1);
                    fail(p, refused ? WatchSchedule::Failure::refused : WatchSchedule::Failure::silent);
                }
            } else if (now >= p.at && (p.told < revision || now >= p.held_until)) {
                p.calling = false;
                p.told = revision;
                p.watch.answered(revision);
                p.at = now;
            }
        }
        now += Millis(1);
    }
    void run(Millis time) {
        for (Millis end = now + time; now < end;) step();
    }
    // All open calls come to nothing; without a word, or cut.
    void lose(bool quietly) {
        for (Pooler& p : poolers)
            if (p.calling && !p.swallowed) {
                if (quietly)
                    p.swallowed = true;
                else
                    fail(p, WatchSchedule::Failure::cut);
            }
    }
    // How long until the last of them is told of a change that discovery has now.
    Millis change() {
        ++revision;
        Millis began = now;
        auto all = [&] { return std::ranges::all_of(poolers, [&](auto& p) { return p.told == revision; }); };
        while (!all() && now - began < 60s) step();
        return now - began;
    }
};

TEST_CASE("told within 6 s: what a pooler's timings add up to, and a fleet at a discovery of fixed room") {
    CHECK(WatchSchedule::Timing{}.max_propagation() < 5s);
    for (std::size_t n = 1; n <= 1000; ++n) CHECK(WatchSchedule::shared(n).max_propagation() <= 5400ms);
    enum class Before { nothing, silent_watches, resets, down, silent };
    for (bool shared : {true, false})
        for (std::size_t n : {3, 30, 300})
            for (Before before :
                 {Before::nothing, Before::silent_watches, Before::resets, Before::down, Before::silent}) {
                // A pooler's own agent has room; a discovery that all ask has 200 calls a second.
                FleetOfWatches f(shared ? n : 1, shared ? WatchSchedule::shared(n) : WatchSchedule::Timing{},
                                 200);
                for (int round = 0; round < 4; ++round) {
                    f.run(WatchSchedule::Millis(7000 + 333 * round));
                    if (before == Before::silent_watches) f.lose(true);
                    if (before == Before::resets) f.lose(false);
                    if (before == Before::down || before == Before::silent) {
                        (before == Before::down ? f.down : f.silent) = true;
                        f.lose(before == Before::silent);
                        f.run(WatchSchedule::Millis(6000 + 777 * round));
                        f.down = f.silent = false;
                    }
                    auto took = f.change();
                    CAPTURE(n);
                    CAPTURE(int(before));
                    CHECK(took < 6s);
                    CHECK(took <= f.poolers[0].watch.timing().max_propagation() + 1500ms);
                }
            }
}

}  // namespace
}  // namespace indigovane::testing
