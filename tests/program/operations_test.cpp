// What operators' staff do day by day: calls at the control address, hosts taken out, clients sent away.
#include "adapters/control_front.hpp"
#include "program/config.hpp"
#include "program/excluded_endpoints.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

struct Calls : adapters::Operations {
    Reply note(std::string call) {
        calls.push_back(std::move(call));
        return {calls.size() % 2 == 0, "noted"};
    }
    Reply check() override { return note("check"); }
    Reply set_down(const std::string& uid) override { return note("down " + uid); }
    Reply set_up(const std::string& uid) override { return note("up " + uid); }
    Reply drain(bool on) override { return note(on ? "away" : "back"); }
    Reply shapes(std::size_t most) override { return note("shapes " + std::to_string(most)); }
    std::vector<std::string> calls;
};

struct ControlRig {
    Loop loop;
    NullLogger logger;
    Calls calls;
    adapters::ControlFront front;
    explicit ControlRig(adapters::ControlLimits limits) : front(loop.io, loopback(), limits, calls, logger) {
        front.start();
    }
};

// A caller's states: some of a line sent, the line whole, answered; what the model keeps is the line.
TEST_CASE("control: each whole line is answered once, whatever others leave unfinished") {
    Dice dice(71);
    ControlRig rig({.callers = 6, .lingering = 2, .line = 64, .client_timeout = 20s});
    std::vector<std::unique_ptr<Client>> silent;  // hold a connection without a whole call
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
            silent.push_back(std::make_unique<Client>(rig.loop, rig.front.local()));
            if (dice.below(2)) silent.back()->send("chec");
            if (silent.size() > 20) silent.erase(silent.begin());
        }
        auto& [line, call] = lines[dice.below(std::size(lines))];
        std::size_t before = rig.calls.calls.size();
        Client client(rig.loop, rig.front.local());
        std::string bytes = line + "\n";
        std::size_t cut = dice.below(bytes.size());
        client.send(bytes.substr(0, cut));
        rig.loop.io.restart();
        rig.loop.io.poll();
        client.send(bytes.substr(cut));
        REQUIRE(rig.loop.until([&] { return client.in.find('\n') != std::string::npos || client.closed; }));
        bool ok = !call.empty() && rig.calls.calls.size() % 2 == 0;
        CHECK(client.in.substr(0, 4) == (ok ? "+OK " : "-ERR"));
        CHECK(client.in.find('\n') == client.in.size() - 1);
        if (call.empty()) {
            CHECK(rig.calls.calls.size() == before);
        } else {
            REQUIRE(rig.calls.calls.size() == before + 1);
            CHECK(rig.calls.calls.back() == call);
        }
        CHECK(rig.front.callers() <= 6);
    }
}

TEST_CASE("control: a caller without a whole call is told so in time") {
    ControlRig rig({.client_timeout = 5ms});
    Client client(rig.loop, rig.front.local());
    client.send("set-down s-");
    REQUIRE(rig.loop.until([&] { return client.closed; }));
    CHECK(client.in.substr(0, 4) == "-ERR");
    CHECK(rig.calls.calls.empty());
}

TEST_CASE("hosts taken out: stored before the yes, seen by the other process, and after a start") {
    Folder folder;
    program::ExcludedEndpoints one(folder.path, "n1"), two(folder.path, "n1"), other(folder.path, "n2");
    std::set<std::string> model;
    Dice dice(5);
    for (int step = 0; step < 200; ++step) {
        std::string uid = "s-" + std::to_string(dice.below(5));
        bool out = dice.below(2);
        (dice.below(2) ? one : two).change(uid, out);
        out ? void(model.insert(uid)) : void(model.erase(uid));
        one.refresh();
        two.refresh();
        CHECK(one.uids() == model);
        CHECK(two.uids() == model);
        CHECK(program::ExcludedEndpoints(folder.path, "n1").uids() == model);
        CHECK(!one.refresh());
    }
    CHECK(!other.refresh());
    CHECK(other.uids().empty());
    std::set<std::string> before = one.uids();
    std::filesystem::remove_all(folder.path);  // nothing can be stored any more: nothing is changed
    CHECK_THROWS(one.change("s-9", true));
    CHECK(one.uids() == before);
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

TEST_CASE("a host taken out gets nothing, whatever is listed, until it is put back") {
    PgDeployment d;
    Client client(d.loop, d.pg.local());
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
    REQUIRE(d.hosts[1].queries > 0);
    REQUIRE(d.hosts[2].queries > 0);
    d.core.set_excluded({"m1"});
    int before = d.hosts[1].queries;
    Dice dice(3);
    for (int round = 0; round < 20; ++round) {
        switch (dice.below(5)) {
            case 0:  // listed as ready, by a change
                d.core.apply_endpoint_list(EndpointListKind::changes, {d.endpoint(1, EndpointState::ready)});
                break;
            case 1:  // by a whole list
                d.core.apply_endpoint_list(EndpointListKind::full, {d.endpoint(0, EndpointState::ready),
                                                                    d.endpoint(1, EndpointState::ready),
                                                                    d.endpoint(2, EndpointState::ready)});
                break;
            case 2:  // gone, left out, and back: restarted meanwhile
                d.core.apply_endpoint_list(EndpointListKind::changes, {d.endpoint(1, EndpointState::gone)});
                break;
            case 3:
                d.core.apply_endpoint_list(EndpointListKind::full, {d.endpoint(0, EndpointState::ready),
                                                                    d.endpoint(2, EndpointState::ready)});
                d.loop.settle();  // forgotten: nothing refers to it
                break;
            case 4:
                d.core.set_excluded({"m1", "unknown"});
                break;
        }
        send_reads(4);
    }
    CHECK(d.hosts[1].queries == before);
    d.core.apply_endpoint_list(EndpointListKind::full,
                               {d.endpoint(0, EndpointState::ready), d.endpoint(1, EndpointState::ready),
                                d.endpoint(2, EndpointState::ready)});
    send_reads(4);
    CHECK(d.hosts[1].queries == before);
    d.core.set_excluded({});
    REQUIRE(d.loop.until([&] {  // once a probe has told its position
        send_reads(1);
        return d.hosts[1].queries > before;
    }));
}

// A cold member gets part of its share; one that was put back is cold whatever its start was.
TEST_CASE("a host that is put back counts as started just then") {
    auto queries = [](bool excluded_endpoints) {
        auto s = settings();
        s.slow_start_share = 0.1, s.slow_start_ramp = 1h;
        PgDeployment d(64, s);
        Client client(d.loop, d.pg.local());
        client.send(pg::Writer().startup("u", "d").take());
        client.reply();
        if (excluded_endpoints) {
            d.core.set_excluded({"m1"});
            d.loop.settle();
            d.core.set_excluded({});
            d.core.apply_endpoint_list(EndpointListKind::changes, {d.endpoint(1, EndpointState::ready)});
        }
        for (int i = 0; i < 200; ++i) {
            client.send(read(i));
            REQUIRE(client.reply() == "TDCZ");
        }
        return d.hosts[1].queries;
    };
    int warm = queries(false), cold = queries(true);
    CHECK(warm > 60);
    CHECK(cold > 0);
    CHECK(cold < warm / 3);
}

TEST_CASE("clients sent away: checks say no, what comes is served, connections close, and all is undone") {
    PgDeployment d;
    Dice dice(17);
    auto start = [&](Client& c) {
        c.send(pg::Writer().startup("u", "d").take());
        c.reply();
    };
    auto check = [&](Client& c) {
        c.send(pg::Writer().query("").take());
        return c.reply();
    };
    int id = 0;
    for (int round = 0; round < 6; ++round) {
        Client idle(d.loop, d.pg.local()), busy(d.loop, d.pg.local());
        start(idle);
        start(busy);
        CHECK(check(idle) == "IZ");
        d.pg.fail_checks();
        CHECK(check(idle) == "EZ");
        CHECK(idle.code == "57P03");
        idle.send(read(++id));
        CHECK(idle.reply() == "TDCZ");  // it stays, and is served, until connections close
        if (dice.below(2)) {
            d.hosts[1].silent = d.hosts[2].silent = true;
            busy.send(read(++id));
            REQUIRE(d.loop.until([&] { return d.core.requests() == 1; }));
            d.pg.close_idle();
            REQUIRE(d.loop.until([&] { return idle.closed; }));
            CHECK(!busy.closed);  // nothing that was taken is lost
            d.hosts[1].silent = d.hosts[2].silent = false;
            for (auto& server : d.servers) server->drop_all();
            CHECK(busy.reply() == "TDCZ");
        } else {
            d.pg.close_idle();
        }
        REQUIRE(d.loop.until([&] { return idle.closed && busy.closed; }));
        Client late(d.loop, d.pg.local());  // the listener stays
        start(late);
        CHECK(check(late) == "EZ");
        late.send(read(++id));
        CHECK(late.reply() == "TDCZ");
        REQUIRE(d.loop.until([&] { return late.closed; }));
        d.pg.resume_service();
        Client back(d.loop, d.pg.local());
        start(back);
        CHECK(check(back) == "IZ");
        d.loop.settle();
        CHECK(!back.closed);
        CHECK(d.pg.connections() == 1);
    }
}

// ---- settings that change ----------------------------------------------------------------------

json whole_file() {
    return json::parse(
        R"({"name":"n3","listen":"127.0.0.1:5432","discovery":"127.0.0.1:85","seed":"1","known":{"targets":[]},
 "limits":{"cores":0.2,"memory_mb":48,"sockets":384},"settings":{"allowed":{"tryLimit":10,"probing":true},
 "azs":["a"],"familyInfo":{"consistency":["recent","update"],"oldestDataMs":[3000.0,0.0]},
 "classes":[{"name":"view","effect":"retryable","hardLimitMs":1000.0,"sloMs":250.0},
            {"name":"scan","effect":"dedup","hardLimitMs":2000.0,"sloMs":600.0}]}})");
}

// Takes each key out in turn, wherever it stands; calls `then` with what is left.
void without_each(json& part, const json& whole, const std::string& path,
                  const std::function<void(const std::string&)>& then) {
    if (part.is_array())
        for (std::size_t i = 0; i < part.size(); ++i) without_each(part[i], whole, path + "[]", then);
    if (!part.is_object()) return;
    std::vector<std::string> names;
    for (auto& [name, value] : part.items()) names.push_back(name);
    for (auto& name : names) {
        json removed = part[name];
        part.erase(name);
        then(path + "." + name);
        part[name] = removed;
        without_each(part[name], whole, path + "." + name, then);
    }
}

TEST_CASE("settings: nothing is taken from a file that is not whole") {
    json file = whole_file();
    auto old = program::parse_platform_config(file.dump());
    auto accepted = [&](const std::string& text) {
        try {
            program::check_complete(program::parse_platform_config(text), old);
            return true;
        } catch (const program::ConfigError&) {
            return false;
        }
    };
    CHECK(accepted(file.dump()));
    without_each(file, file, "", [&](const std::string& path) {
        CAPTURE(path);
        bool fleeting = path == ".known" || path == ".seed";
        CHECK(accepted(file.dump()) == fleeting);
    });
    for (std::size_t length = 0; length < file.dump().size(); ++length)
        CHECK(!accepted(file.dump().substr(0, length)));
    for (json bad : {json(0), json(-5), json("many"), json(nullptr), json(false)}) {
        for (const char* at :
             {"/settings/classes/1/hardLimitMs", "/settings/classes/0/sloMs", "/settings/allowed/tryLimit"}) {
            json malformed = file;
            malformed[json::json_pointer(at)] = bad;
            CHECK(!accepted(malformed.dump()));
        }
    }
    json twice = file;
    twice["settings"]["classes"][1]["name"] = "view";
    CHECK(!accepted(twice.dump()));
    json more = file;  // a class more, with no word on how new its data must be
    more["settings"]["classes"].push_back(file["settings"]["classes"][0]);
    more["settings"]["classes"][2]["name"] = "other";
    CHECK(!accepted(more.dump()));
    more["settings"]["familyInfo"]["consistency"].push_back("own_writes");
    more["settings"]["familyInfo"]["oldestDataMs"].push_back(0.0);
    CHECK(accepted(more.dump()));
}

// A request in hand keeps its class and its number of attempts, wherever the new list has that class; one
// that comes later has the new ones.
TEST_CASE("the module: settings are swapped between two events, requests keep what they came with") {
    using namespace indigovane::policy;
    for (bool retuned : {false, true}) {
        Time now{100s};
        Settings before = settings(), after = settings();
        before.max_attempts = 10, after.max_attempts = 1;
        std::swap(after.classes[0], after.classes[2]);
        after.classes[2].idempotency = Idempotency::not_idempotent;
        RoutingPolicy policy(before, 3, now);
        Actions actions;
        auto run = [&](const Event& e) {
            actions.clear();
            policy.handle(now, e, actions);
        };
        EndpointList list{EndpointListKind::full, {}};
        list.entries.push_back({EndpointId{1}, GroupId{1}, ZoneId{}, EndpointState::ready, true, {}});
        for (std::uint32_t i : {2, 3})
            list.entries.push_back({EndpointId{i}, GroupId{1}, ZoneId{}, EndpointState::ready, false, {}});
        run(list);
        auto sends = [&] {
            return std::count_if(actions.begin(), actions.end(),
                                 [](auto& a) { return std::holds_alternative<SendAttempt>(a); });
        };
        auto arrive = [&](std::uint64_t id, ClassId request_class) {
            RequestArrival q;
            q.id = RequestId{id}, q.request_class = request_class, q.group = GroupId{1},
            q.client_timeout = 1s, q.session = SessionKey{1};
            run(q);
        };
        auto fail = [&](std::uint64_t id, EndpointId endpoint, std::uint32_t attempt) {
            AttemptOutcome o;
            o.id = RequestId{id}, o.attempt = attempt, o.endpoint = endpoint, o.status = AttemptStatus::error;
            run(o);
        };
        arrive(1, ClassId{2});  // a keyed write
        REQUIRE(sends() == 1);
        if (retuned) {
            run(SettingsChanged{after, {ClassId{2}, ClassId{1}, std::nullopt}});
            arrive(2, ClassId{0});  // the same class by its new place
            REQUIRE(sends() == 1);
            fail(2, EndpointId{1}, 0);
            CHECK(sends() == 0);  // one attempt is all
        }
        fail(1, EndpointId{1}, 0);
        CHECK(sends() == 1);  // keyed yet, with attempts left
    }
}

}  // namespace
}  // namespace indigovane::testing
