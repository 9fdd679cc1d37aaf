// What stands beside the requests: discovery's watch, the syslog sink, the configuration, the module's holds.
#include "adapters/pg_backend.hpp"
#include "adapters/syslog_sink.hpp"
#include "program/config.hpp"
#include "program/log.hpp"
#include "program/log_output.hpp"
#include "protocol/syslog.hpp"
#include "routing/discovery_client.hpp"
#include "support/discovery.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::testing {
namespace {

namespace syslog = protocol::syslog;

TEST_CASE("the list is fetched, then watched, through silence, resets and nonsense") {
    Loop loop;
    NullLogger logger;
    routing::Clock clock;
    Host host;
    Agent agent(loop, host);
    adapters::PgBackend backend(loop.io);
    routing::LoopCore core(loop.io, clock, settings(), 1, {}, backend, logger);
    routing::DiscoveryClient catalog(loop.io, *transport::parse_socket_address(agent.address()), {"a"}, core,
                                     logger,
                                     {.hold = 10ms,
                                      .slack = 30ms,
                                      .whole = 30ms,
                                      .retry = 1ms,
                                      .again = 1ms,
                                      .retry_most = 2ms,
                                      .connect = 5s});
    loop.batch = [&] { core.run_batch(); };
    agent.replies = {
        Agent::reply(
            R"({"rev":41,"all":true,"targets":[{"uid":"m","endpoint":"127.0.0.1:9","az":"a","pod_group":3,"state":"ready"},{"endpoint":"x"}]})"),
        Agent::reply(R"({"rev":43,"all":false,"targets":[]})"),
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n", Agent::reply("{\"rev\":")};
    catalog.follow();
    auto requested = [&](std::size_t n) { return loop.until([&] { return host.asked.size() >= n; }); };
    REQUIRE(requested(3));
    CHECK(host.asked[0] == "/catalog/members");
    CHECK(host.asked[1] == "/catalog/members?from=41&hold_ms=10");
    CHECK(host.asked[2] == "/catalog/members?from=43&hold_ms=10");
    REQUIRE(requested(6));
    CHECK(host.asked[4] == "/catalog/members?from=43&hold_ms=0");  // it goes on from what it has, at once
    CHECK(host.asked[5] == "/catalog/members");  // after a list that can't be read, from the start
    REQUIRE(requested(8));                       // silence is given up
    agent.drop_all();
    REQUIRE(requested(9));  // and so is a reset
    CHECK(catalog.has_complete_list());
}

TEST_CASE(
    "a discovery that all poolers share is asked for what is new, and ever less often where it refuses") {
    auto shared = routing::WatchSchedule::shared(48);
    CHECK(shared.again == 1800ms);  // spread over all that the term of 6 s leaves
    CHECK(shared.from_known);
    for (std::uint64_t seed : {1, 2}) {
        Loop loop;
        NullLogger logger;
        routing::Clock clock;
        Host host;
        Agent agent(loop, host);
        adapters::PgBackend backend(loop.io);
        routing::LoopCore core(loop.io, clock, settings(), 1, {}, backend, logger);
        routing::DiscoveryClient::Timing timing = shared;
        timing.again = 40ms, timing.retry = 0ms, timing.retry_most = 80ms;
        routing::DiscoveryClient catalog(loop.io, *transport::parse_socket_address(agent.address()), {"a"},
                                         core, logger, timing, seed);
        loop.batch = [&] { core.run_batch(); };
        catalog.seed({41, true, {}});
        std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        agent.replies = {Agent::reply(R"({"rev":43,"all":false,"targets":[]})"), refusal, refusal, refusal,
                         refusal};
        auto began = std::chrono::steady_clock::now();
        catalog.follow();
        REQUIRE(loop.until([&] { return host.asked.size() >= 3; }));
        CHECK(host.asked[0] == "/catalog/members?from=41&hold_ms=2500");  // not the whole list
        CHECK(host.asked[2] == "/catalog/members?from=43&hold_ms=2500");  // a watch is taken up again at once
        CHECK(catalog.has_complete_list());
        REQUIRE(loop.until([&] { return host.asked.size() >= 5; }));
        // Two waits of 40 and 80 ms, each half as long at least: a machine's slowness only adds to that.
        CHECK(std::chrono::steady_clock::now() - began >= 60ms);
    }
}

// What stands for the catalog's connection: where it goes, and whether that address has told its list.
TEST_CASE("a new address of discovery is asked for its whole list at once, whatever the watch is doing") {
    Dice dice(31);
    for (int round = 0; round < 20; ++round) {
        Loop loop;
        NullLogger logger;
        routing::Clock clock;
        Host hosts[2];
        Agent agents[2] = {{loop, hosts[0]}, {loop, hosts[1]}};
        transport::SocketAddress at[2] = {*transport::parse_socket_address(agents[0].address()),
                                          *transport::parse_socket_address(agents[1].address())};
        adapters::PgBackend backend(loop.io);
        routing::LoopCore core(loop.io, clock, settings(), 1, {}, backend, logger);
        routing::DiscoveryClient catalog(loop.io, at[0], {"a"}, core, logger,
                                         {.hold = 2ms,
                                          .slack = 20ms,
                                          .whole = 20ms,
                                          .retry = 1ms,
                                          .again = 1ms,
                                          .retry_most = 2ms,
                                          .connect = 5s});
        loop.batch = [&] { core.run_batch(); };
        catalog.follow();
        int now = 0, revision[2] = {100, 900};
        for (int step = 0; step < 40; ++step) {
            auto& asked = hosts[now].asked;
            switch (dice.below(5)) {
                case 0: {  // the address moves: in a call, in a pause, while connecting, twice in a row
                    std::size_t before = hosts[now = 1 - now].asked.size();
                    agents[now].replies.clear();
                    catalog.move_to(at[now]);
                    CHECK(!catalog.has_complete_list());
                    if (dice.below(3) == 0) break;
                    REQUIRE(loop.until([&] { return hosts[now].asked.size() > before; }));
                    CHECK(hosts[now].asked[before] == "/catalog/members");
                    break;
                }
                case 1:  // the same address: the watch goes on
                    catalog.move_to(at[now]);
                    break;
                case 2: {  // its list is told, and watched from there
                    std::string rev = std::to_string(++revision[now]);
                    auto has_list = [&] {
                        // Told again where a call was given up just before: that depends on the machine.
                        if (agents[now].replies.empty())
                            agents[now].replies = {
                                Agent::reply(R"({"rev":)" + rev + R"(,"all":true,"targets":[]})")};
                        return !asked.empty() &&
                               asked.back() == "/catalog/members?from=" + rev + "&hold_ms=2";
                    };
                    REQUIRE(loop.until(has_list));
                    CHECK(catalog.has_complete_list());
                    agents[now].replies.clear();
                    break;
                }
                case 3:
                    agents[now].drop_all();
                    break;
                case 4:
                    loop.settle();
                    break;
            }
            agents[1 - now].drop_all();  // the old one closes what it has left
        }
    }
}

TEST_CASE("lists: what is not known is passed over, what is no list is refused") {
    auto list = routing::read_endpoint_listing(
        json::parse(
            R"({"rev":2,"all":true,"new":1,"targets":[{"uid":"a","state":"draining","az":"z","recovery":"off","boot_ms":17.5},{"uid":"b","state":"gone"},7]})"),
        {"y", "z"});
    REQUIRE(list.members.size() == 2);
    CHECK(list.members[0].state == policy::EndpointState::draining);
    CHECK(list.members[0].primary);
    CHECK(list.members[0].zone == 1);
    CHECK(list.members[0].boot_unix_ms == 17);
    CHECK(list.members[1].state == policy::EndpointState::gone);
    for (const char* bad :
         {"[]", "{}", R"({"targets":1})", R"({"targets":[{"uid":1}]})", R"({"rev":"x","targets":[]})"})
        CHECK_THROWS_AS(routing::read_endpoint_listing(json::parse(bad), {}), std::runtime_error);
}

struct Collector : StandIn {
    using StandIn::StandIn;
    bool take(Peer&, transport::Buffer& in, std::string&) override {
        std::string_view m;
        std::size_t length = 0;
        if (syslog::next_frame(in.view(), 65536, m, length) != syslog::Next::message) return false;
        if (auto line = syslog::read(m)) lines.push_back(*line);
        in.consume(length);
        return true;
    }
    std::vector<syslog::Message> lines;
};

TEST_CASE("log lines reach a syslog collector as they were, also after it was away") {
    Loop loop;
    Host host;
    Collector collector(loop, host);
    adapters::SyslogSink sink(loop.io, *transport::parse_socket_address(collector.address()), 1ms);
    std::vector<std::string> out;
    program::Log log("n1", "7", [&](const std::string& line) {
        out.push_back(line);
        return true;
    });
    log.set_second_sink([&](const std::string& line) { sink.send(line); });
    log.log(routing::Level::error, "first", "a \"quoted\" ]text", {{"key", "v\"]\\"}});
    REQUIRE(loop.until([&] { return collector.lines.size() == 1; }));
    CHECK(collector.lines[0] == *syslog::read(out.at(0)));
    CHECK(collector.lines[0].data[0].parameters[0].second == "v\"]\\");
    CHECK(collector.lines[0].severity == syslog::Severity::error);
    collector.drop_all();
    loop.settle();
    log.log(routing::Level::info, "second", "b", {});
    REQUIRE(loop.until([&] { return collector.lines.size() == 2; }));
    for (int i = 0; i < 5000; ++i) log.log(routing::Level::info, "many", "c", {});
    CHECK(out.size() < 200);  // a flood is cut
    for (std::size_t i = 0; i < 2 * adapters::SyslogSink::kQueued; ++i) sink.send("x");
    CHECK(sink.dropped() > 0);
}

TEST_CASE("a log whose reader stalls holds nothing up, and is told what it has missed") {
    int pipe[2];
    REQUIRE(::pipe(pipe) == 0);
    program::LogOutput output(pipe[1]);
    program::Log log("n1", "7", [&](const std::string& line) { return output.write_line(line); });
    const std::string long_text(2000, 'x');
    for (int kind = 0; kind < 100; ++kind)  // far more than a pipe holds
        log.log(routing::Level::info, ("kind" + std::to_string(kind)).c_str(), long_text, {});
    std::string read(1 << 20, '\0');
    CHECK(::read(pipe[0], read.data(), read.size()) > 4096);
    log.log(routing::Level::info, "after", "the reader is back", {});
    read.resize(std::size_t(::read(pipe[0], read.data(), read.size())));
    CHECK(read.find(" after ") != std::string::npos);
    CHECK(read.find(" lost [indigovane@32473 count=") != std::string::npos);
    ::close(pipe[0]);
    ::close(pipe[1]);
}

const char* kConfig =
    R"({"name":"n3","listen":"127.0.0.1:5432","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[{"uid":"a","az":"y"}]},
 "settings":{"azs":["x","y"],"fleetSize":3,"allowed":{"probing":true,"idleCloseMs":20000.0,"connectTimeoutMs":100.0,"tryLimit":10},
 "familyInfo":{"consistency":["recent","own_writes","update"],"oldestDataMs":[3000.0,0.0,0.0],"sessionMarks":"router"},
 "classes":[{"name":"stock view","effect":"retryable","hardLimitMs":1000.0},{"name":"own","hardLimitMs":600.5},{"name":"w","effect":"dedup","group":"cell"}]}})";

TEST_CASE("the configuration says what the simulator's first message says") {
    auto c = program::parse_platform_config(kConfig);
    CHECK(c.name == "n3");
    CHECK(c.seed == 0x8c1f30d27a5be964);
    CHECK(c.settings.fleet_size == 3u);
    CHECK(c.settings.max_attempts == 10u);
    CHECK(c.settings.classes.at(0).staleness_bound == policy::Duration(3s));
    CHECK(c.settings.classes.at(1).consistency == policy::Consistency::session);
    CHECK(c.settings.classes.at(1).deadline == policy::Duration(600500us));
    CHECK(c.classes.find("stock view")->deadline == routing::Duration(1s));
    CHECK(c.classes.find("w")->write);
    CHECK(c.idle_limit == routing::Duration(20s));
    CHECK(c.known.members.at(0).zone == 1);
    CHECK(!c.rest.enabled);
    program::parse_rest_config(
        R"({"enabled":true,"listen":"[::1]:80","members":"rest","syslog":"127.0.0.1:601"})", c);
    CHECK(c.rest.enabled);
    CHECK(c.members == program::Wire::rest);
    for (const char* bad :
         {"", "[]", "{}", R"({"listen":"x"})", R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:99999"})"})
        CHECK_THROWS_AS(program::parse_platform_config(bad), program::ConfigError);
    for (const char* bad : {"", "[]", R"({"members":"x"})", R"({"page_size":0})", R"({"page_size":900})",
                            R"({"syslog":"10.0.0.1:601"})", R"({"page_size":"many"})"})
        CHECK_THROWS_AS(program::parse_rest_config(bad, c), program::ConfigError);
}

TEST_CASE(
    "the module: a write without a primary is refused at 45% of its time; a withdrawn one is cancelled") {
    using namespace indigovane::policy;
    Time now{100s};
    RoutingPolicy policy(settings(), 3, now);
    Actions actions;
    auto run = [&](const Event& e) { policy.handle(now, e, actions); };
    EndpointList list{EndpointListKind::full, {}};
    list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::draining, true, {}});
    list.entries.push_back({EndpointId{2}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
    run(list);
    RequestArrival write;
    write.id = RequestId{1}, write.request_class = ClassId{2}, write.group = GroupId{1},
    write.client_timeout = 1s, write.session = SessionKey{1};
    run(write);
    std::optional<Duration> refused;
    for (int ms = 0; ms < 1000 && !refused; ms += 5) {
        now = Time(100s) + std::chrono::milliseconds(ms);
        run(TimerExpired{TimerId{3}});
        for (auto& a : actions)
            if (auto* r = std::get_if<RejectRequest>(&a)) {
                refused = now - Time(100s);
                CHECK(r->retry_after);
                CHECK(!r->is_past_deadline);
            }
    }
    CHECK(refused == Duration(450ms));
    list.entries[0].state = EndpointState::ready;
    run(list);
    write.id = RequestId{2};
    run(write);
    actions.clear();
    run(RequestCancelled{RequestId{2}});
    REQUIRE(actions.size() == 1);
    CHECK(std::get<CancelAttempt>(actions[0]).attempt == 0);
}

// Connections of a zone that is cut off never come up: a read that waited the connect timeout out came too
// late.
TEST_CASE("the core: a read whose connection does not come up goes elsewhere within its aim, a write waits") {
    struct Made : routing::Clock {
        Made() : Clock(0) {}
        policy::Time now() const override { return at; }
        policy::Time at{100s};
    } clock;
    struct Driver : routing::Driver {
        void wake() override {}
        void alarm(std::optional<policy::Time> at) override { next = at; }
        std::optional<policy::Time> next;
    } driver;
    FakeBackend backend;  // whose connections never come up
    struct Client : routing::Responder {
        void on_answer(const routing::Answer&) override {}
        void on_final_error(const routing::FinalError&) override {}
    } client;
    for (std::uint32_t request_class : {1u, 2u}) {
        backend.opened.clear();
        clock.at = policy::Time(100s);
        auto s = settings();
        s.may_check_health = false;
        s.classes[request_class].latency_objective = 200ms;
        NullLogger logger;
        routing::Core core(driver, clock, s, 3, {}, backend, logger);
        std::vector<routing::EndpointInfo> infos(3);
        for (std::uint32_t i = 0; i < 3; ++i)
            infos[i].uid = infos[i].address = std::to_string(i), infos[i].group = 1,
            infos[i].primary = i == 0;
        core.apply_endpoint_list(policy::EndpointListKind::full, infos);
        routing::ClientRequest item;
        item.id = "a", item.request_class = routing::ClassId{request_class}, item.group = routing::GroupId{1},
        item.client_timeout = 1s;
        core.accept(item, client);
        auto until = clock.at + 200ms;  // the connect timeout is 250 ms
        for (core.run_batch(); driver.next && *driver.next < until; core.run_batch()) {
            clock.at = std::max(clock.at, *driver.next);
            core.timer_expired();
        }
        CHECK((backend.opened.size() > 1) == (request_class == 1));
        CHECK((backend.opened.front() == "0") == (request_class == 2));
        CHECK(logger.lines["statistics"] < 2);
        clock.at += 6s;
        core.run_batch();
        CHECK(logger.lines["statistics"] > 0);  // what it did is told some seconds later, in one line
    }
}

TEST_CASE("the module: where probes have a price, each pooler asks but a part of a group at first use") {
    using namespace indigovane::policy;
    for (auto [price, expected] : {std::pair{0.0, 6}, {0.08, 3}}) {
        Time now{100s};
        auto s = settings();
        s.health_check_price = price;
        RoutingPolicy policy(s, 3, now);
        Actions actions;
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i = 0; i < 6; ++i)
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, i == 4, {}});
        policy.handle(now, list, actions);
        actions.clear();
        RequestArrival q;
        q.id = RequestId{1}, q.request_class = ClassId{0}, q.group = GroupId{1}, q.client_timeout = 1s;
        policy.handle(now, q, actions);
        int probes = 0;
        bool primary = false;
        for (auto& a : actions)
            if (auto* p = std::get_if<CheckHealth>(&a))
                ++probes, primary = primary || p->endpoint == EndpointId{4};
        CHECK(probes == expected);
        CHECK(primary);
    }
}

TEST_CASE("the module: a cold member gets the same share of its work whatever the number of poolers") {
    using namespace indigovane::policy;
    auto sent = [](std::uint32_t fleet) {
        Time now{100s};
        auto s = settings();
        s.fleet_size = fleet, s.slow_start_share = 0.5, s.slow_start_ramp = 1h, s.overload_multiple = 2.5;
        RoutingPolicy policy(s, 3, now);
        Actions actions;
        auto run = [&](const Event& e) { policy.handle(now, e, actions); };
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i = 0; i < 3; ++i)
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, i == 0,
                                    i == 2 ? std::optional(now) : std::nullopt});
        run(list);
        int cold = 0;
        for (std::uint64_t id = 1; id <= 1000; ++id) {
            now += 5ms;
            for (std::uint32_t i = 1; i < 3; ++i) {
                HealthCheckResult p;
                p.endpoint = EndpointId{i}, p.status = AttemptStatus::ok, p.latency = 1ms,
                p.report.position = now;
                run(p);
            }
            RequestArrival q;
            q.id = RequestId{id}, q.request_class = ClassId{0}, q.group = GroupId{1}, q.client_timeout = 1s;
            actions.clear();
            run(q);
            for (auto& a : std::exchange(actions, {}))
                if (auto* send = std::get_if<SendAttempt>(&a)) {
                    cold += send->endpoint == EndpointId{2};
                    AttemptOutcome o;
                    o.id = q.id, o.endpoint = send->endpoint, o.status = AttemptStatus::ok, o.latency = 10ms,
                    o.is_request_finished = true;
                    run(o);
                }
        }
        return cold;
    };
    for (std::uint32_t fleet : {4u, 48u, 100u}) {
        CHECK(sent(fleet) > 300);  // 1.4 of half a share
        CHECK(sent(fleet) < 400);
    }
}

TEST_CASE("the module: a missing primary is looked for at a pace that the group's reads pay for") {
    using namespace indigovane::policy;
    auto probes = [](int reads) {
        Time now{100s};
        RoutingPolicy policy(settings(), 3, now);
        Actions actions;
        auto run = [&](const Event& e) { policy.handle(now, e, actions); };
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i = 0; i < 4; ++i)
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
        run(list);
        std::uint64_t id = 0;
        int count = 0;
        RequestArrival q;
        q.id = RequestId{++id}, q.request_class = ClassId{2}, q.group = GroupId{1}, q.client_timeout = 8s,
        q.session = SessionKey{1};
        run(q);  // a write is held all the time
        for (int ms = 0; ms < 3000; ms += 20) {
            now = Time(100s) + std::chrono::milliseconds(ms);
            for (int i = 0; i < reads; ++i) {
                q.id = RequestId{++id}, q.request_class = ClassId{0}, q.client_timeout = 500ms,
                q.session.reset();
                run(q);
            }
            run(TimerExpired{TimerId{0}});
            auto done = std::exchange(actions, {});
            for (auto& a : done)
                if (auto* p = std::get_if<CheckHealth>(&a)) {
                    ++count;
                    HealthCheckResult r;
                    r.endpoint = p->endpoint, r.status = AttemptStatus::ok, r.report.primary = false;
                    run(r);
                }
        }
        return count;
    };
    int idle = probes(0), busy = probes(2);
    CHECK(idle <= 20);   // each second
    CHECK(busy >= 100);  // ten times as often
}

TEST_CASE("the module: a session read passes over replicas that can't reach its token in time") {
    using namespace indigovane::policy;
    for (auto [behind, expected] : {std::pair{20ms, EndpointId{2}}, {2000ms, EndpointId{1}}}) {
        Time now{100s};
        RoutingPolicy policy(settings(), 3, now);
        Actions actions;
        auto run = [&](const Event& e) {
            actions.clear();
            policy.handle(now, e, actions);
        };
        EndpointList list{EndpointListKind::full, {}};
        list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
        list.entries.push_back({EndpointId{2}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
        run(list);
        RequestArrival q;
        q.id = RequestId{1}, q.request_class = ClassId{2}, q.group = GroupId{1}, q.client_timeout = 1s,
        q.session = SessionKey{1};
        run(q);
        now += 50ms;
        AttemptOutcome o;
        o.id = q.id, o.endpoint = EndpointId{1}, o.status = AttemptStatus::ok, o.is_request_finished = true,
        o.role = Role::primary;
        o.position = now;  // the commit
        run(o);
        HealthCheckResult p;
        p.endpoint = EndpointId{2}, p.status = AttemptStatus::ok;
        p.report.position = now - behind;
        run(p);
        q.id = RequestId{2}, q.request_class = ClassId{1};
        run(q);
        auto sent = std::find_if(actions.begin(), actions.end(),
                                 [](const Action& a) { return std::holds_alternative<SendAttempt>(a); });
        REQUIRE(sent != actions.end());
        CHECK(std::get<SendAttempt>(*sent).endpoint == expected);
    }
}

TEST_CASE(
    "the module: groups and members that are no more cost nothing; a group of nobody is refused at once") {
    using namespace indigovane::policy;
    Time now{100s};
    RoutingPolicy policy(settings(), 3, now);
    Actions actions;
    auto run = [&](const Event& e) {
        actions.clear();
        policy.handle(now, e, actions);
    };
    auto refused = [&](std::uint64_t id, std::uint32_t group) {
        RequestArrival q;
        q.id = RequestId{id}, q.request_class = ClassId{0}, q.group = GroupId{group}, q.client_timeout = 1s;
        run(q);
        return std::any_of(actions.begin(), actions.end(), [](const Action& a) {
            auto* r = std::get_if<RejectRequest>(&a);
            return r && r->retry_after && !r->is_past_deadline;
        });
    };
    EndpointList list{EndpointListKind::full, {}};
    list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
    run(list);
    CHECK(!refused(1, 1));  // held for its first probes
    CHECK(refused(2, 77));
    run(EndpointList{EndpointListKind::full, {}});
    run(RequestCancelled{RequestId{1}});
    now += 61s;
    run(HealthCheckResult{EndpointId{1}, AttemptStatus::timeout, 250ms, {}});
    run(TimerExpired{TimerId{0}});
    run(EndpointList{EndpointListKind::changes, {}});
    CHECK(refused(4, 1));
}

TEST_CASE("the module: tokens are kept for a minute; what is forgotten binds all session reads") {
    using namespace indigovane::policy;
    Time now{100s};
    RoutingPolicy policy(settings(), 3, now);
    Actions actions;
    auto run = [&](const Event& e) {
        actions.clear();
        policy.handle(now, e, actions);
    };
    EndpointList list{EndpointListKind::full, {}};
    list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
    list.entries.push_back({EndpointId{2}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
    run(list);
    auto write = [&](std::uint64_t id) {
        RequestArrival q;
        q.id = RequestId{id}, q.request_class = ClassId{2}, q.group = GroupId{1}, q.client_timeout = 1s,
        q.session = SessionKey{id};
        run(q);
        AttemptOutcome o;
        o.id = q.id, o.endpoint = EndpointId{1}, o.status = AttemptStatus::ok, o.is_request_finished = true,
        o.role = Role::primary;
        o.position = now;
        run(o);
    };
    auto needs = [&](std::uint64_t id) {
        HealthCheckResult p;
        p.endpoint = EndpointId{2}, p.status = AttemptStatus::ok, p.report.position = now;
        run(p);
        RequestArrival q;
        q.id = RequestId{id}, q.request_class = ClassId{1}, q.group = GroupId{1}, q.client_timeout = 1s,
        q.session = SessionKey{id};
        run(q);
        for (const Action& a : actions)
            if (auto* sent = std::get_if<SendAttempt>(&a)) return sent->required_position;
        FAIL("not sent");
        return std::optional<Time>();
    };
    write(1);
    Time first = now;
    CHECK(!needs(50));
    now += 59s;
    write(2);
    CHECK(!needs(51));  // still known by its session
    now += 2s;
    write(3);
    CHECK(needs(52) == first);
}

}  // namespace
}  // namespace indigovane::testing
