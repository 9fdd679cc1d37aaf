// Services beside the requests: the discovery client, the syslog sink, the log and the configuration; also
// rules of the core and of the routing policy.
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

TEST_CASE("discovery: the list is fetched, then watched, despite silence, resets and malformed responses") {
    Loop loop;
    NullLogger logger;
    routing::Clock clock;
    Host host;
    Agent agent(loop, host);
    adapters::PgBackend backend(loop.io);
    routing::LoopCore core(loop.io, clock, settings(), 1, {}, backend, logger);
    routing::DiscoveryClient discovery_client(loop.io, *transport::parse_socket_address(agent.address()),
                                              {"a"}, core, logger,
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
    discovery_client.follow();
    auto wait_for_requests = [&](std::size_t count) {
        return loop.until([&] { return host.asked.size() >= count; });
    };
    REQUIRE(wait_for_requests(3));
    CHECK(host.asked[0] == "/catalog/members");
    CHECK(host.asked[1] == "/catalog/members?from=41&hold_ms=10");
    CHECK(host.asked[2] == "/catalog/members?from=43&hold_ms=10");
    REQUIRE(wait_for_requests(6));
    // After a malformed response the watch continues at once from the last revision.
    CHECK(host.asked[4] == "/catalog/members?from=43&hold_ms=0");
    // After a malformed list the whole list is fetched again.
    CHECK(host.asked[5] == "/catalog/members");
    REQUIRE(wait_for_requests(8));  // a call without a response is given up
    agent.drop_all();
    REQUIRE(wait_for_requests(9));  // after a reset the client asks again
    CHECK(discovery_client.has_complete_list());
}

// If all poolers fetched whole lists, or retried at once after an error, they would overload the discovery
// service that they share.
TEST_CASE(
    "discovery: polled by all poolers, it is asked only for changes, with growing delays after errors") {
    auto shared = routing::WatchSchedule::shared(48);
    CHECK(shared.again == 1800ms);  // the calls are spread over the rest of the 6 s term
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
        routing::DiscoveryClient discovery_client(loop.io, *transport::parse_socket_address(agent.address()),
                                                  {"a"}, core, logger, timing, seed);
        loop.batch = [&] { core.run_batch(); };
        discovery_client.seed({41, true, {}});
        std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        agent.replies = {Agent::reply(R"({"rev":43,"all":false,"targets":[]})"), refusal, refusal, refusal,
                         refusal};
        auto started = std::chrono::steady_clock::now();
        discovery_client.follow();
        REQUIRE(loop.until([&] { return host.asked.size() >= 3; }));
        CHECK(host.asked[0] == "/catalog/members?from=41&hold_ms=2500");  // only changes, not the whole list
        // The watch continues without a delay.
        CHECK(host.asked[2] == "/catalog/members?from=43&hold_ms=2500");
        CHECK(discovery_client.has_complete_list());
        REQUIRE(loop.until([&] { return host.asked.size() >= 5; }));
        // Two delays of 40 and 80 ms, each at least half as long. A slow machine only makes them longer.
        CHECK(std::chrono::steady_clock::now() - started >= 60ms);
    }
}

// The address moves at random between two discovery services while calls are pending. Guards against a watch
// that continues at the old address, or from the old address's revision.
TEST_CASE("discovery: a new address is asked for its whole list at once, in every state of the watch") {
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
        routing::DiscoveryClient discovery_client(loop.io, at[0], {"a"}, core, logger,
                                                  {.hold = 2ms,
                                                   .slack = 20ms,
                                                   .whole = 20ms,
                                                   .retry = 1ms,
                                                   .again = 1ms,
                                                   .retry_most = 2ms,
                                                   .connect = 5s});
        loop.batch = [&] { core.run_batch(); };
        discovery_client.follow();
        int now = 0, revision[2] = {100, 900};
        for (int step = 0; step < 40; ++step) {
            auto& asked = hosts[now].asked;
            switch (dice.below(5)) {
                case 0: {  // the address moves: during a call, a delay or a connect, or twice in a row
                    std::size_t before = hosts[now = 1 - now].asked.size();
                    agents[now].replies.clear();
                    discovery_client.move_to(at[now]);
                    CHECK(!discovery_client.has_complete_list());
                    if (dice.below(3) == 0) break;
                    REQUIRE(loop.until([&] { return hosts[now].asked.size() > before; }));
                    CHECK(hosts[now].asked[before] == "/catalog/members");
                    break;
                }
                case 1:  // the same address is set again: the watch continues
                    discovery_client.move_to(at[now]);
                    break;
                case 2: {  // the service sends its list, and the watch continues from there
                    std::string rev = std::to_string(++revision[now]);
                    auto has_list = [&] {
                        // Sends the list again if the previous call timed out, which depends on the machine.
                        if (agents[now].replies.empty())
                            agents[now].replies = {
                                Agent::reply(R"({"rev":)" + rev + R"(,"all":true,"targets":[]})")};
                        return !asked.empty() &&
                               asked.back() == "/catalog/members?from=" + rev + "&hold_ms=2";
                    };
                    REQUIRE(loop.until(has_list));
                    CHECK(discovery_client.has_complete_list());
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
            agents[1 - now].drop_all();  // the old service closes its connections
        }
    }
}

TEST_CASE("endpoint lists: unknown keys and entries are ignored, a malformed list is an error") {
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
    for (const char* invalid_text :
         {"[]", "{}", R"({"targets":1})", R"({"targets":[{"uid":1}]})", R"({"rev":"x","targets":[]})"})
        CHECK_THROWS_AS(routing::read_endpoint_listing(json::parse(invalid_text), {}), std::runtime_error);
}

struct SyslogCollector : StandIn {
    using StandIn::StandIn;
    bool take(Peer&, transport::Buffer& input, std::string&) override {
        std::string_view message;
        std::size_t length = 0;
        if (syslog::next_frame(input.view(), 65536, message, length) != syslog::Next::message) return false;
        if (auto line = syslog::read(message)) lines.push_back(*line);
        input.consume(length);
        return true;
    }
    std::vector<syslog::Message> lines;
};

TEST_CASE("log: lines reach the syslog collector unchanged, also after it has closed the connection") {
    Loop loop;
    Host host;
    SyslogCollector collector(loop, host);
    adapters::SyslogSink sink(loop.io, *transport::parse_socket_address(collector.address()), 1ms);
    std::vector<std::string> lines_written;
    program::Log log("n1", "7", [&](const std::string& line) {
        lines_written.push_back(line);
        return true;
    });
    log.set_second_sink([&](const std::string& line) { sink.send(line); });
    log.log(routing::Level::error, "first", "a \"quoted\" ]text", {{"key", "v\"]\\"}});
    REQUIRE(loop.until([&] { return collector.lines.size() == 1; }));
    CHECK(collector.lines[0] == *syslog::read(lines_written.at(0)));
    CHECK(collector.lines[0].data[0].parameters[0].second == "v\"]\\");
    CHECK(collector.lines[0].severity == syslog::Severity::error);
    collector.drop_all();
    loop.settle();
    log.log(routing::Level::info, "second", "b", {});
    REQUIRE(loop.until([&] { return collector.lines.size() == 2; }));
    for (int i = 0; i < 5000; ++i) log.log(routing::Level::info, "many", "c", {});
    CHECK(lines_written.size() < 200);  // the lines of one message id are limited
    for (std::size_t i = 0; i < 2 * adapters::SyslogSink::kQueued; ++i) sink.send("x");
    CHECK(sink.dropped() > 0);
}

TEST_CASE("log: a reader that stalls does not block the process, and later gets the number of lost lines") {
    int pipe[2];
    REQUIRE(::pipe(pipe) == 0);
    program::LogOutput output(pipe[1]);
    program::Log log("n1", "7", [&](const std::string& line) { return output.write_line(line); });
    const std::string long_text(2000, 'x');
    for (int number = 0; number < 100; ++number)  // many more bytes than a pipe can hold
        log.log(routing::Level::info, ("kind" + std::to_string(number)).c_str(), long_text, {});
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

TEST_CASE("configuration: settings have the same meaning as in the simulator's first message") {
    auto config = program::parse_platform_config(kConfig);
    CHECK(config.name == "n3");
    CHECK(config.seed == 0x8c1f30d27a5be964);
    CHECK(config.settings.fleet_size == 3u);
    CHECK(config.settings.max_attempts == 10u);
    CHECK(config.settings.classes.at(0).staleness_bound == policy::Duration(3s));
    CHECK(config.settings.classes.at(1).consistency == policy::Consistency::session);
    CHECK(config.settings.classes.at(1).deadline == policy::Duration(600500us));
    CHECK(config.classes.find("stock view")->deadline == routing::Duration(1s));
    CHECK(config.classes.find("w")->is_write);
    CHECK(config.idle_limit == routing::Duration(20s));
    CHECK(config.known_endpoints.members.at(0).zone == 1);
    CHECK(!config.rest.enabled);
    program::parse_rest_config(
        R"({"enabled":true,"listen":"[::1]:80","members":"rest","syslog":"127.0.0.1:601"})", config);
    CHECK(config.rest.enabled);
    CHECK(config.host_protocol == program::Wire::rest);
    for (const char* invalid_text :
         {"", "[]", "{}", R"({"listen":"x"})", R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:99999"})"})
        CHECK_THROWS_AS(program::parse_platform_config(invalid_text), program::ConfigError);
    for (const char* invalid_text :
         {"", "[]", R"({"members":"x"})", R"({"page_size":0})", R"({"page_size":900})",
          R"({"syslog":"10.0.0.1:601"})", R"({"page_size":"many"})"})
        CHECK_THROWS_AS(program::parse_rest_config(invalid_text, config), program::ConfigError);
}

TEST_CASE(
    "routing policy: a write without a primary is rejected after 45% of its timeout, a withdrawn one "
    "cancelled") {
    using namespace indigovane::policy;
    Time now{100s};
    RoutingPolicy policy(settings(), 3, now);
    Actions actions;
    auto handle_event = [&](const Event& event) { policy.handle(now, event, actions); };
    EndpointList list{EndpointListKind::full, {}};
    list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::draining, true, {}});
    list.entries.push_back({EndpointId{2}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
    handle_event(list);
    RequestArrival write;
    write.id = RequestId{1}, write.request_class = ClassId{2}, write.group = GroupId{1},
    write.client_timeout = 1s, write.session = SessionKey{1};
    handle_event(write);
    std::optional<Duration> rejected_after;
    for (int ms = 0; ms < 1000 && !rejected_after; ms += 5) {
        now = Time(100s) + std::chrono::milliseconds(ms);
        handle_event(TimerExpired{TimerId{3}});
        for (auto& action : actions)
            if (auto* rejection = std::get_if<RejectRequest>(&action)) {
                rejected_after = now - Time(100s);
                CHECK(rejection->retry_after);
                CHECK(!rejection->is_past_deadline);
            }
    }
    CHECK(rejected_after == Duration(450ms));
    list.entries[0].state = EndpointState::ready;
    handle_event(list);
    write.id = RequestId{2};
    handle_event(write);
    actions.clear();
    handle_event(RequestCancelled{RequestId{2}});
    REQUIRE(actions.size() == 1);
    CHECK(std::get<CancelAttempt>(actions[0]).attempt == 0);
}

// Connections to an unreachable zone are never established. A read that waited for the whole connect timeout
// would miss its latency objective.
TEST_CASE("core: a read whose connection is not established is retried elsewhere in time, a write waits") {
    struct ManualClock : routing::Clock {
        ManualClock() : Clock(0) {}
        policy::Time now() const override { return at; }
        policy::Time at{100s};
    } clock;
    struct RecordingDriver : routing::Driver {
        void wake() override {}
        void alarm(std::optional<policy::Time> at) override { next_alarm = at; }
        std::optional<policy::Time> next_alarm;
    } driver;
    FakeBackend backend;  // its connections are never established
    struct IgnoringResponder : routing::Responder {
        void on_answer(const routing::Answer&) override {}
        void on_final_error(const routing::FinalError&) override {}
    } client;
    for (std::uint32_t request_class : {1u, 2u}) {
        backend.opened.clear();
        clock.at = policy::Time(100s);
        auto changed_settings = settings();
        changed_settings.may_check_health = false;
        changed_settings.classes[request_class].latency_objective = 200ms;
        NullLogger logger;
        routing::Core core(driver, clock, changed_settings, 3, {}, backend, logger);
        std::vector<routing::EndpointInfo> endpoints(3);
        for (std::uint32_t i = 0; i < 3; ++i)
            endpoints[i].uid = endpoints[i].address = std::to_string(i), endpoints[i].group = 1,
            endpoints[i].primary = i == 0;
        core.apply_endpoint_list(policy::EndpointListKind::full, endpoints);
        routing::ClientRequest request;
        request.id = "a", request.request_class = routing::ClassId{request_class},
        request.group = routing::GroupId{1}, request.client_timeout = 1s;
        core.accept(request, client);
        auto until = clock.at + 200ms;  // the connect timeout is 250 ms
        for (core.run_batch(); driver.next_alarm && *driver.next_alarm < until; core.run_batch()) {
            clock.at = std::max(clock.at, *driver.next_alarm);
            core.timer_expired();
        }
        CHECK((backend.opened.size() > 1) == (request_class == 1));
        CHECK((backend.opened.front() == "0") == (request_class == 2));
        CHECK(logger.lines["statistics"] < 2);
        clock.at += 6s;
        core.run_batch();
        CHECK(logger.lines["statistics"] > 0);  // one statistics line follows some seconds later
    }
}

TEST_CASE(
    "routing policy: if health checks have a price, a pooler checks only part of a group at first use") {
    using namespace indigovane::policy;
    for (auto [price, expected] : {std::pair{0.0, 6}, {0.08, 3}}) {
        Time now{100s};
        auto changed_settings = settings();
        changed_settings.health_check_price = price;
        RoutingPolicy policy(changed_settings, 3, now);
        Actions actions;
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i = 0; i < 6; ++i)
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, i == 4, {}});
        policy.handle(now, list, actions);
        actions.clear();
        RequestArrival arrival;
        arrival.id = RequestId{1}, arrival.request_class = ClassId{0}, arrival.group = GroupId{1},
        arrival.client_timeout = 1s;
        policy.handle(now, arrival, actions);
        int probes = 0;
        bool primary = false;
        for (auto& action : actions)
            if (auto* health_check = std::get_if<CheckHealth>(&action))
                ++probes, primary = primary || health_check->endpoint == EndpointId{4};
        CHECK(probes == expected);
        CHECK(primary);
    }
}

TEST_CASE("routing policy: an endpoint's share in slow start does not depend on the number of poolers") {
    using namespace indigovane::policy;
    auto sent = [](std::uint32_t fleet) {
        Time now{100s};
        auto changed_settings = settings();
        changed_settings.fleet_size = fleet, changed_settings.slow_start_share = 0.5,
        changed_settings.slow_start_ramp = 1h, changed_settings.overload_multiple = 2.5;
        RoutingPolicy policy(changed_settings, 3, now);
        Actions actions;
        auto handle_event = [&](const Event& event) { policy.handle(now, event, actions); };
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i = 0; i < 3; ++i)
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, i == 0,
                                    i == 2 ? std::optional(now) : std::nullopt});
        handle_event(list);
        int slow_start_attempts = 0;
        for (std::uint64_t id = 1; id <= 1000; ++id) {
            now += 5ms;
            for (std::uint32_t i = 1; i < 3; ++i) {
                HealthCheckResult health_check;
                health_check.endpoint = EndpointId{i}, health_check.status = AttemptStatus::ok,
                health_check.latency = 1ms, health_check.report.position = now;
                handle_event(health_check);
            }
            RequestArrival arrival;
            arrival.id = RequestId{id}, arrival.request_class = ClassId{0}, arrival.group = GroupId{1},
            arrival.client_timeout = 1s;
            actions.clear();
            handle_event(arrival);
            for (auto& action : std::exchange(actions, {}))
                if (auto* send = std::get_if<SendAttempt>(&action)) {
                    slow_start_attempts += send->endpoint == EndpointId{2};
                    AttemptOutcome outcome;
                    outcome.id = arrival.id, outcome.endpoint = send->endpoint,
                    outcome.status = AttemptStatus::ok, outcome.latency = 10ms,
                    outcome.is_request_finished = true;
                    handle_event(outcome);
                }
        }
        return slow_start_attempts;
    };
    for (std::uint32_t fleet : {4u, 48u, 100u}) {
        CHECK(sent(fleet) > 300);  // 1.4 of half a share
        CHECK(sent(fleet) < 400);
    }
}

TEST_CASE("routing policy: health checks for a missing primary become more frequent with the group's reads") {
    using namespace indigovane::policy;
    auto probes = [](int reads) {
        Time now{100s};
        RoutingPolicy policy(settings(), 3, now);
        Actions actions;
        auto handle_event = [&](const Event& event) { policy.handle(now, event, actions); };
        EndpointList list{EndpointListKind::full, {}};
        for (std::uint32_t i = 0; i < 4; ++i)
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
        handle_event(list);
        std::uint64_t id = 0;
        int count = 0;
        RequestArrival arrival;
        arrival.id = RequestId{++id}, arrival.request_class = ClassId{2}, arrival.group = GroupId{1},
        arrival.client_timeout = 8s, arrival.session = SessionKey{1};
        handle_event(arrival);  // one write stays queued all the time
        for (int ms = 0; ms < 3000; ms += 20) {
            now = Time(100s) + std::chrono::milliseconds(ms);
            for (int i = 0; i < reads; ++i) {
                arrival.id = RequestId{++id}, arrival.request_class = ClassId{0},
                arrival.client_timeout = 500ms, arrival.session.reset();
                handle_event(arrival);
            }
            handle_event(TimerExpired{TimerId{0}});
            auto processed_actions = std::exchange(actions, {});
            for (auto& action : processed_actions)
                if (auto* health_check = std::get_if<CheckHealth>(&action)) {
                    ++count;
                    HealthCheckResult result;
                    result.endpoint = health_check->endpoint, result.status = AttemptStatus::ok,
                    result.report.primary = false;
                    handle_event(result);
                }
        }
        return count;
    };
    int idle = probes(0), busy = probes(2);
    CHECK(idle <= 20);   // about one check of each endpoint a second
    CHECK(busy >= 100);  // ten times as often
}

TEST_CASE("routing policy: a session read skips replicas that can't reach its session token in time") {
    using namespace indigovane::policy;
    for (auto [replication_lag, expected] : {std::pair{20ms, EndpointId{2}}, {2000ms, EndpointId{1}}}) {
        Time now{100s};
        RoutingPolicy policy(settings(), 3, now);
        Actions actions;
        auto handle_event = [&](const Event& event) {
            actions.clear();
            policy.handle(now, event, actions);
        };
        EndpointList list{EndpointListKind::full, {}};
        list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
        list.entries.push_back({EndpointId{2}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
        handle_event(list);
        RequestArrival arrival;
        arrival.id = RequestId{1}, arrival.request_class = ClassId{2}, arrival.group = GroupId{1},
        arrival.client_timeout = 1s, arrival.session = SessionKey{1};
        handle_event(arrival);
        now += 50ms;
        AttemptOutcome outcome;
        outcome.id = arrival.id, outcome.endpoint = EndpointId{1}, outcome.status = AttemptStatus::ok,
        outcome.is_request_finished = true, outcome.role = Role::primary;
        outcome.position = now;  // the commit
        handle_event(outcome);
        HealthCheckResult health_check;
        health_check.endpoint = EndpointId{2}, health_check.status = AttemptStatus::ok;
        health_check.report.position = now - replication_lag;
        handle_event(health_check);
        arrival.id = RequestId{2}, arrival.request_class = ClassId{1};
        handle_event(arrival);
        auto sent = std::find_if(actions.begin(), actions.end(), [](const Action& action) {
            return std::holds_alternative<SendAttempt>(action);
        });
        REQUIRE(sent != actions.end());
        CHECK(std::get<SendAttempt>(*sent).endpoint == expected);
    }
}

TEST_CASE(
    "routing policy: removed groups and endpoints are forgotten, and a request for an empty group is "
    "rejected at once") {
    using namespace indigovane::policy;
    Time now{100s};
    RoutingPolicy policy(settings(), 3, now);
    Actions actions;
    auto handle_event = [&](const Event& event) {
        actions.clear();
        policy.handle(now, event, actions);
    };
    auto is_rejected = [&](std::uint64_t id, std::uint32_t group) {
        RequestArrival arrival;
        arrival.id = RequestId{id}, arrival.request_class = ClassId{0}, arrival.group = GroupId{group},
        arrival.client_timeout = 1s;
        handle_event(arrival);
        return std::any_of(actions.begin(), actions.end(), [](const Action& action) {
            auto* rejection = std::get_if<RejectRequest>(&action);
            return rejection && rejection->retry_after && !rejection->is_past_deadline;
        });
    };
    EndpointList list{EndpointListKind::full, {}};
    list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
    handle_event(list);
    CHECK(!is_rejected(1, 1));  // queued until the first health checks are answered
    CHECK(is_rejected(2, 77));
    handle_event(EndpointList{EndpointListKind::full, {}});
    handle_event(RequestCancelled{RequestId{1}});
    now += 61s;
    handle_event(HealthCheckResult{EndpointId{1}, AttemptStatus::timeout, 250ms, {}});
    handle_event(TimerExpired{TimerId{0}});
    handle_event(EndpointList{EndpointListKind::changes, {}});
    CHECK(is_rejected(4, 1));
}

TEST_CASE("routing policy: session tokens are kept for a minute, then the floor binds all session reads") {
    using namespace indigovane::policy;
    Time now{100s};
    RoutingPolicy policy(settings(), 3, now);
    Actions actions;
    auto handle_event = [&](const Event& event) {
        actions.clear();
        policy.handle(now, event, actions);
    };
    EndpointList list{EndpointListKind::full, {}};
    list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
    list.entries.push_back({EndpointId{2}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
    handle_event(list);
    auto write = [&](std::uint64_t id) {
        RequestArrival arrival;
        arrival.id = RequestId{id}, arrival.request_class = ClassId{2}, arrival.group = GroupId{1},
        arrival.client_timeout = 1s, arrival.session = SessionKey{id};
        handle_event(arrival);
        AttemptOutcome outcome;
        outcome.id = arrival.id, outcome.endpoint = EndpointId{1}, outcome.status = AttemptStatus::ok,
        outcome.is_request_finished = true, outcome.role = Role::primary;
        outcome.position = now;
        handle_event(outcome);
    };
    auto needed_position = [&](std::uint64_t id) {
        HealthCheckResult health_check;
        health_check.endpoint = EndpointId{2}, health_check.status = AttemptStatus::ok,
        health_check.report.position = now;
        handle_event(health_check);
        RequestArrival arrival;
        arrival.id = RequestId{id}, arrival.request_class = ClassId{1}, arrival.group = GroupId{1},
        arrival.client_timeout = 1s, arrival.session = SessionKey{id};
        handle_event(arrival);
        for (const Action& action : actions)
            if (auto* sent = std::get_if<SendAttempt>(&action)) return sent->required_position;
        FAIL("not sent");
        return std::optional<Time>();
    };
    write(1);
    Time first = now;
    CHECK(!needed_position(50));
    now += 59s;
    write(2);
    CHECK(!needed_position(51));  // the first token is still kept
    now += 2s;
    write(3);
    CHECK(needed_position(52) == first);
}

}  // namespace
}  // namespace indigovane::testing
