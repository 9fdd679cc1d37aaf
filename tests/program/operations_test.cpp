// Operators' daily tasks: control calls, excluding hosts, diverting clients, and changing settings.
#include "adapters/control_front.hpp"
#include "program/config.hpp"
#include "program/excluded_endpoints.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

struct RecordingOperations : adapters::Operations {
    Reply record(std::string call) {
        calls.push_back(std::move(call));
        return {calls.size() % 2 == 0, "noted"};
    }
    Reply check() override { return record("check"); }
    Reply set_down(const std::string& uid) override { return record("down " + uid); }
    Reply set_up(const std::string& uid) override { return record("up " + uid); }
    Reply drain(bool on) override { return record(on ? "away" : "back"); }
    Reply shapes(std::size_t most) override { return record("shapes " + std::to_string(most)); }
    std::vector<std::string> calls;
};

struct ControlFrontFixture {
    Loop loop;
    NullLogger logger;
    RecordingOperations calls;
    adapters::ControlFront front;
    explicit ControlFrontFixture(adapters::ControlLimits limits)
        : front(loop.io, loopback(), limits, calls, logger) {
        front.start();
    }
};

// Callers send each line in two pieces while other connections stay open with an incomplete line or none.
// Guards against such connections delaying, losing or duplicating a call.
TEST_CASE(
    "control: each complete line is answered once, even while other connections send incomplete lines") {
    Dice dice(71);
    ControlFrontFixture fixture({.callers = 6, .lingering = 2, .line = 64, .client_timeout = 20s});
    std::vector<std::unique_ptr<Client>> silent;  // connections without a complete line
    const std::pair<std::string, std::string> lines[] = {{"check", "check"},
                                                         {"check\r", "check"},
                                                         {"set-down s-1", "down s-1"},
                                                         {"set-up s-2", "up s-2"},
                                                         {"drain-on", "away"},
                                                         {"drain-off", "back"},
                                                         {"shapes", "shapes 10"},
                                                         {"shapes 3", "shapes 3"},
                                                         {"shapes x", ""},
                                                         {"shapes 9999", ""},
                                                         {"set-down", ""},
                                                         {"drain-on now", ""},
                                                         {"", ""},
                                                         {std::string(3, '\0'), ""},
                                                         {"checkcheck", ""},
                                                         {std::string(200, 'x'), ""}};
    for (int round = 0; round < 200; ++round) {
        if (dice.below(2)) {
            silent.push_back(std::make_unique<Client>(fixture.loop, fixture.front.local()));
            if (dice.below(2)) silent.back()->send("chec");
            if (silent.size() > 20) silent.erase(silent.begin());
        }
        auto& [line, call] = lines[dice.below(std::size(lines))];
        std::size_t before = fixture.calls.calls.size();
        Client client(fixture.loop, fixture.front.local());
        std::string bytes = line + "\n";
        std::size_t cut = dice.below(bytes.size());
        client.send(bytes.substr(0, cut));
        fixture.loop.io.restart();
        fixture.loop.io.poll();
        client.send(bytes.substr(cut));
        REQUIRE(
            fixture.loop.until([&] { return client.in.find('\n') != std::string::npos || client.closed; }));
        bool ok = !call.empty() && fixture.calls.calls.size() % 2 == 0;
        CHECK(client.in.substr(0, 4) == (ok ? "+OK " : "-ERR"));
        CHECK(client.in.find('\n') == client.in.size() - 1);
        if (call.empty()) {
            CHECK(fixture.calls.calls.size() == before);
        } else {
            REQUIRE(fixture.calls.calls.size() == before + 1);
            CHECK(fixture.calls.calls.back() == call);
        }
        CHECK(fixture.front.callers() <= 6);
    }
}

TEST_CASE("control: a caller that does not complete its line gets an error after the client timeout") {
    ControlFrontFixture fixture({.client_timeout = 5ms});
    Client client(fixture.loop, fixture.front.local());
    client.send("set-down s-");
    REQUIRE(fixture.loop.until([&] { return client.closed; }));
    CHECK(client.in.substr(0, 4) == "-ERR");
    CHECK(fixture.calls.calls.empty());
}

TEST_CASE("excluded hosts: a change is stored before the call returns, and all processes read the same set") {
    Folder folder;
    program::ExcludedEndpoints first_process(folder.path, "n1"), second_process(folder.path, "n1"),
        other_pooler(folder.path, "n2");
    std::set<std::string> expected_uids;
    Dice dice(5);
    for (int step = 0; step < 200; ++step) {
        std::string uid = "s-" + std::to_string(dice.below(5));
        bool excluded = dice.below(2);
        (dice.below(2) ? first_process : second_process).change(uid, excluded);
        excluded ? void(expected_uids.insert(uid)) : void(expected_uids.erase(uid));
        first_process.refresh();
        second_process.refresh();
        CHECK(first_process.uids() == expected_uids);
        CHECK(second_process.uids() == expected_uids);
        CHECK(program::ExcludedEndpoints(folder.path, "n1").uids() == expected_uids);
        CHECK(!first_process.refresh());
    }
    CHECK(!other_pooler.refresh());
    CHECK(other_pooler.uids().empty());
    std::set<std::string> before = first_process.uids();
    std::filesystem::remove_all(folder.path);  // a change that can't be stored is not made
    CHECK_THROWS(first_process.change("s-9", true));
    CHECK(first_process.uids() == before);
    program::ExcludedEndpoints nowhere("", "n1");
    nowhere.change("s-1", true);
    CHECK(nowhere.uids() == std::set<std::string>{"s-1"});
}

using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

std::string read(int id) {
    return pg::Writer()
        .query("/* id=q" + std::to_string(id) +
               ",c=stock-view,t=a,d=3000,cluster=3 */ SELECT content FROM kv WHERE name = 'r101'")
        .take();
}

TEST_CASE("an excluded host gets no requests until it is readmitted, whatever the endpoint lists say") {
    PgDeployment deployment;
    Client client(deployment.loop, deployment.pg.local());
    client.send(pg::Writer().startup("u", "d").take());
    client.reply();
    int sent = 0;
    auto send_reads = [&](int count) {
        for (int i = 0; i < count; ++i) {
            client.send(read(sent++));
            CHECK(client.reply() == "TDCZ");
        }
    };
    send_reads(40);
    REQUIRE(deployment.hosts[1].queries > 0);
    REQUIRE(deployment.hosts[2].queries > 0);
    deployment.core.set_excluded({"m1"});
    int before = deployment.hosts[1].queries;
    Dice dice(3);
    for (int round = 0; round < 20; ++round) {
        switch (dice.below(5)) {
            case 0:  // a change lists the host as ready
                deployment.core.apply_endpoint_list(EndpointListKind::changes,
                                                    {deployment.endpoint(1, EndpointState::ready)});
                break;
            case 1:  // a full list has the host as ready
                deployment.core.apply_endpoint_list(EndpointListKind::full,
                                                    {deployment.endpoint(0, EndpointState::ready),
                                                     deployment.endpoint(1, EndpointState::ready),
                                                     deployment.endpoint(2, EndpointState::ready)});
                break;
            case 2:  // a change lists the host as gone
                deployment.core.apply_endpoint_list(EndpointListKind::changes,
                                                    {deployment.endpoint(1, EndpointState::gone)});
                break;
            case 3:  // a full list lacks the host
                deployment.core.apply_endpoint_list(EndpointListKind::full,
                                                    {deployment.endpoint(0, EndpointState::ready),
                                                     deployment.endpoint(2, EndpointState::ready)});
                deployment.loop.settle();  // the host is forgotten, because nothing refers to it
                break;
            case 4:
                deployment.core.set_excluded({"m1", "unknown"});
                break;
        }
        send_reads(4);
    }
    CHECK(deployment.hosts[1].queries == before);
    deployment.core.apply_endpoint_list(
        EndpointListKind::full,
        {deployment.endpoint(0, EndpointState::ready), deployment.endpoint(1, EndpointState::ready),
         deployment.endpoint(2, EndpointState::ready)});
    send_reads(4);
    CHECK(deployment.hosts[1].queries == before);
    deployment.core.set_excluded({});
    REQUIRE(deployment.loop.until(
        [&] {  // requests arrive again once a health check has reported the host's position
            send_reads(1);
            return deployment.hosts[1].queries > before;
        }));
}

// A host in slow start gets a part of its share. A readmitted host starts slowly whenever it was started.
TEST_CASE("a readmitted host begins its slow start at the readmission") {
    auto queries = [](bool excluded_endpoints) {
        auto slow_start_settings = settings();
        slow_start_settings.slow_start_share = 0.1, slow_start_settings.slow_start_ramp = 1h;
        PgDeployment deployment(64, slow_start_settings);
        Client client(deployment.loop, deployment.pg.local());
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
        if (excluded_endpoints) {
            deployment.core.set_excluded({"m1"});
            deployment.loop.settle();
            deployment.core.set_excluded({});
            deployment.core.apply_endpoint_list(EndpointListKind::changes,
                                                {deployment.endpoint(1, EndpointState::ready)});
        }
        for (int i = 0; i < 200; ++i) {
            client.send(read(i));
            REQUIRE(client.reply() == "TDCZ");
        }
        return deployment.hosts[1].queries;
    };
    int warm = queries(false), cold = queries(true);
    CHECK(warm > 60);
    CHECK(cold > 0);
    CHECK(cold < warm / 3);
}

TEST_CASE(
    "diverted clients: health checks fail, requests are served, connections close, and it can be undone") {
    PgDeployment deployment;
    Dice dice(17);
    auto start = [&](Client& client) {
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
    };
    auto check = [&](Client& client) {
        client.send(pg::Writer().query("").take());
        return client.reply();
    };
    int id = 0;
    for (int round = 0; round < 6; ++round) {
        Client idle(deployment.loop, deployment.pg.local()), busy(deployment.loop, deployment.pg.local());
        start(idle);
        start(busy);
        CHECK(check(idle) == "IZ");
        deployment.pg.fail_checks();
        CHECK(check(idle) == "EZ");
        CHECK(idle.code == "57P03");
        idle.send(read(++id));
        CHECK(idle.reply() == "TDCZ");  // the connection stays open and is served until close_idle()
        if (dice.below(2)) {
            deployment.hosts[1].silent = deployment.hosts[2].silent = true;
            busy.send(read(++id));
            REQUIRE(deployment.loop.until([&] { return deployment.core.requests() == 1; }));
            deployment.pg.close_idle();
            REQUIRE(deployment.loop.until([&] { return idle.closed; }));
            CHECK(!busy.closed);  // the connection with a request in flight stays open
            deployment.hosts[1].silent = deployment.hosts[2].silent = false;
            for (auto& server : deployment.servers) server->drop_all();
            CHECK(busy.reply() == "TDCZ");
        } else {
            deployment.pg.close_idle();
        }
        REQUIRE(deployment.loop.until([&] { return idle.closed && busy.closed; }));
        Client later_client(deployment.loop, deployment.pg.local());  // the listener still accepts
        start(later_client);
        CHECK(check(later_client) == "EZ");
        later_client.send(read(++id));
        CHECK(later_client.reply() == "TDCZ");
        REQUIRE(deployment.loop.until([&] { return later_client.closed; }));
        deployment.pg.resume_service();
        Client client_after_diversion(deployment.loop, deployment.pg.local());
        start(client_after_diversion);
        CHECK(check(client_after_diversion) == "IZ");
        deployment.loop.settle();
        CHECK(!client_after_diversion.closed);
        CHECK(deployment.pg.connections() == 1);
    }
}

// ---- settings that change ----------------------------------------------------------------------

json complete_file() {
    return json::parse(
        R"({"name":"n3","listen":"127.0.0.1:5432","discovery":"127.0.0.1:85","seed":"1","known":{"targets":[]},
 "limits":{"cores":0.2,"memory_mb":48,"sockets":384},"settings":{"allowed":{"tryLimit":10,"probing":true},
 "azs":["a"],"familyInfo":{"consistency":["recent","update"],"oldestDataMs":[3000.0,0.0]},
 "classes":[{"name":"view","effect":"retryable","hardLimitMs":1000.0,"sloMs":250.0},
            {"name":"scan","effect":"dedup","hardLimitMs":2000.0,"sloMs":600.0}]}})");
}

// Removes one key after the other at every level of `section`, and calls `then` with the key's path each
// time.
void remove_each_key(json& section, const json& complete, const std::string& path,
                     const std::function<void(const std::string&)>& then) {
    if (section.is_array())
        for (std::size_t i = 0; i < section.size(); ++i)
            remove_each_key(section[i], complete, path + "[]", then);
    if (!section.is_object()) return;
    std::vector<std::string> names;
    for (auto& [name, value] : section.items()) names.push_back(name);
    for (auto& name : names) {
        json removed = section[name];
        section.erase(name);
        then(path + "." + name);
        section[name] = removed;
        remove_each_key(section[name], complete, path + "." + name, then);
    }
}

TEST_CASE("reload: a file that is truncated, lacks a key or has an invalid value is rejected") {
    json file = complete_file();
    auto old_config = program::parse_platform_config(file.dump());
    auto accepted = [&](const std::string& text) {
        try {
            program::check_complete(program::parse_platform_config(text), old_config);
            return true;
        } catch (const program::ConfigError&) {
            return false;
        }
    };
    CHECK(accepted(file.dump()));
    remove_each_key(file, file, "", [&](const std::string& path) {
        CAPTURE(path);
        bool is_optional_key = path == ".known" || path == ".seed";
        CHECK(accepted(file.dump()) == is_optional_key);
    });
    for (std::size_t length = 0; length < file.dump().size(); ++length)
        CHECK(!accepted(file.dump().substr(0, length)));
    for (json invalid_value : {json(0), json(-5), json("many"), json(nullptr), json(false)}) {
        for (const char* pointer :
             {"/settings/classes/1/hardLimitMs", "/settings/classes/0/sloMs", "/settings/allowed/tryLimit"}) {
            json malformed = file;
            malformed[json::json_pointer(pointer)] = invalid_value;
            CHECK(!accepted(malformed.dump()));
        }
    }
    json duplicate_name = file;
    duplicate_name["settings"]["classes"][1]["name"] = "view";
    CHECK(!accepted(duplicate_name.dump()));
    json added_class = file;  // a further class without its entries in familyInfo
    added_class["settings"]["classes"].push_back(file["settings"]["classes"][0]);
    added_class["settings"]["classes"][2]["name"] = "other";
    CHECK(!accepted(added_class.dump()));
    added_class["settings"]["familyInfo"]["consistency"].push_back("own_writes");
    added_class["settings"]["familyInfo"]["oldestDataMs"].push_back(0.0);
    CHECK(accepted(added_class.dump()));
}

// A request in flight keeps its class and its number of attempts, even if the new settings give that class
// another number. A request that arrives later has the new settings.
TEST_CASE("routing policy: after a change of settings, requests in flight keep the old ones") {
    using namespace indigovane::policy;
    for (bool retuned : {false, true}) {
        Time now{100s};
        Settings before = settings(), after = settings();
        before.max_attempts = 10, after.max_attempts = 1;
        std::swap(after.classes[0], after.classes[2]);
        after.classes[2].idempotency = Idempotency::not_idempotent;
        RoutingPolicy policy(before, 3, now);
        Actions actions;
        auto handle_event = [&](const Event& event) {
            actions.clear();
            policy.handle(now, event, actions);
        };
        EndpointList list{EndpointListKind::full, {}};
        list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
        for (std::uint32_t i : {2, 3})
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
        handle_event(list);
        auto count_sends = [&] {
            return std::count_if(actions.begin(), actions.end(),
                                 [](auto& action) { return std::holds_alternative<SendAttempt>(action); });
        };
        auto arrive = [&](std::uint64_t id, ClassId request_class) {
            RequestArrival arrival;
            arrival.id = RequestId{id}, arrival.request_class = request_class, arrival.group = GroupId{1},
            arrival.client_timeout = 1s, arrival.session = SessionKey{1};
            handle_event(arrival);
        };
        auto fail = [&](std::uint64_t id, EndpointId endpoint, std::uint32_t attempt) {
            AttemptOutcome outcome;
            outcome.id = RequestId{id}, outcome.attempt = attempt, outcome.endpoint = endpoint,
            outcome.status = AttemptStatus::error;
            handle_event(outcome);
        };
        arrive(1, ClassId{2});  // a write with an idempotency key
        REQUIRE(count_sends() == 1);
        if (retuned) {
            handle_event(SettingsChanged{after, {ClassId{2}, ClassId{1}, std::nullopt}});
            arrive(2, ClassId{0});  // the same class by its new number
            REQUIRE(count_sends() == 1);
            fail(2, EndpointId{1}, 0);
            CHECK(count_sends() == 0);  // the new settings allow one attempt
        }
        fail(1, EndpointId{1}, 0);
        CHECK(count_sends() == 1);  // still with an idempotency key, and with attempts left
    }
}

}  // namespace
}  // namespace indigovane::testing
