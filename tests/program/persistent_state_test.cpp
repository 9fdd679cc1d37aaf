// The store in a whole pooler: real files, hosts that lag, processes that end at any moment.
#include "program/persistent_state.hpp"

#include <fstream>

#include "program/excluded_endpoints.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using program::PersistentState;
using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

struct Life {
    PgDeployment d;
    PersistentState persistent_state;
    Life(const std::string& folder, const std::string& scratch)
        : persistent_state(d.loop.io, d.clock, config(folder), scratch, "t1", d.core, d.logger) {
        persistent_state.open(true);
        d.core.on_write([this](std::uint64_t s, bool begins) {
            begins ? persistent_state.begin_write(s) : persistent_state.end_write(s);
        });
        d.core.on_commit([this](std::uint64_t s, routing::Time at) { persistent_state.commit(s, at); });
        d.loop.batch = [this] {
            d.core.run_batch();
            persistent_state.flush();
        };
        for (Host& host : d.hosts) host.lag_ms = host.primary ? 0 : 60000;
        d.loop.settle();
    }
    static program::StoreConfig config(const std::string& folder) {
        program::StoreConfig c;
        c.folder = folder;
        c.sync_interval = 0us;
        return c;
    }
};

struct PgClient : Client {
    PgClient(Loop& loop, const transport::SocketAddress& to) : Client(loop, to) {
        send(pg::Writer().startup("backend", "store").take());
        REQUIRE(reply() == "RZ");
    }
};

// Replicas are a minute behind and hold old values: a read that is answered by one though its session has
// written since is stale. Fails without the store: the second life would know of no write.
TEST_CASE("session reads through lives that end at any moment are never stale") {
    Folder folder, scratch;
    Dice dice(11);
    std::map<std::string, std::string> primary_rows, acknowledged;
    int reads = 0, ids = 0;
    for (int life = 0; life < 10; ++life) {
        Life l(folder.path, scratch.path);
        for (auto& [name, value] : primary_rows) l.d.hosts[0].rows[name] = value;
        PgClient client(l.d.loop, l.d.pg.local());
        int steps = int(dice.below(25));
        for (int step = 0; step < steps; ++step) {
            std::string name = std::string(1, char('a' + dice.below(6))), id = std::to_string(++ids);
            if (dice.below(2)) {
                std::string value = "v" + id;
                client.send(pg::Writer()
                                .query("/* id=" + id + ",c=scan-write,k=" + id +
                                       ",cluster=3 */ INSERT INTO kv (name, content) VALUES ('" + name +
                                       "', '" + value + "') RETURNING content")
                                .take());
                if (client.reply() == "TDCZ") acknowledged[name] = value;
            } else {
                client.send(pg::Writer()
                                .query("/* id=" + id +
                                       ",c=own-order,cluster=3 */ SELECT content FROM kv WHERE name = '" +
                                       name + "'")
                                .take());
                std::string got = client.reply();
                if (got != "TDCZ") continue;
                ++reads;
                if (acknowledged.count(name))
                    CHECK_MESSAGE(client.value == acknowledged[name], "life " << life);
            }
        }
        primary_rows = l.d.hosts[0].rows;
        if (dice.below(3) == 0) l.persistent_state.close();  // else it ends like a process that is killed
    }
    CHECK(reads > 30);
}

TEST_CASE("hosts taken out are acknowledged on disk, and known to the next process; so is the list") {
    Folder folder, scratch;
    {
        Life l(folder.path, scratch.path);
        bool answered = false;
        l.persistent_state.store_excluded_endpoints({"m1"}, {}, [&](bool on_disk) { answered = on_disk; });
        REQUIRE(l.d.loop.until([&] { return answered; }));
        l.persistent_state.store_endpoint_list(R"({"rev":41,"all":true,"targets":[]})", 41);
        l.persistent_state.flush();
        l.persistent_state.close();
    }
    Life l(folder.path, scratch.path);
    CHECK(l.persistent_state.excluded_endpoints() == std::set<std::string>{"m1"});
    CHECK(l.persistent_state.newer_endpoint_list(40).value_or("").find("41") != std::string::npos);
    CHECK_FALSE(l.persistent_state.newer_endpoint_list(41));
}

// An upgrade: the successor serves before the elder lets go of the store, and both may end at any moment
// meanwhile.
TEST_CASE(
    "a successor waits for the store, writes down what it has heard, and lowers the witness only then") {
    Folder folder, scratch;
    auto witness = [&] { return std::filesystem::exists(scratch.path + "/t1.witness"); };
    auto predecessor = std::make_unique<Life>(folder.path, scratch.path);
    REQUIRE(predecessor->d.loop.until([&] { return !witness(); }));
    Life successor(folder.path, scratch.path);
    CHECK_FALSE(successor.persistent_state.is_open());
    CHECK(witness());
    successor.persistent_state.commit(7, successor.d.clock.now());
    policy::SessionTokens tokens;
    tokens.commits.emplace_back(policy::SessionKey{8}, successor.d.clock.now());
    successor.persistent_state.inherit(tokens);
    predecessor->persistent_state.close();
    REQUIRE(successor.d.loop.until([&] { return successor.persistent_state.is_open(); }));
    REQUIRE(successor.d.loop.until([&] { return !witness(); }));
    predecessor->persistent_state.commit(
        9, predecessor->d.clock.now());  // after it has let go: the witness says so
    CHECK(witness());
    tokens.commits[0].first = policy::SessionKey{9};
    successor.persistent_state.inherit(tokens);
    REQUIRE(successor.d.loop.until([&] { return !witness(); }));
    predecessor.reset();
    successor.persistent_state.close();
    std::unique_ptr<store::Environment> environment;
    REQUIRE(store::open_folder(folder.path, environment).ok());
    std::set<std::uint64_t> sessions;
    auto found = store::recover(*environment, false, [&](store::Record&& r, std::uint64_t) {
        if (r.space == store::Space::positions) sessions.insert(store::parse_position_key(r.key).value_or(0));
    });
    CHECK(found.outcome == store::RecoveryResult::Outcome::complete);
    for (std::uint64_t s : {7, 8, 9}) CHECK(sessions.count(s));
}

TEST_CASE("a store that can't be used ends the start, with file and offset") {
    Folder folder, scratch;
    { Life l(folder.path, scratch.path); }
    {
        std::ofstream out(folder.path + "/MANIFEST", std::ios::binary | std::ios::trunc);
        out << "nonsense";
    }
    std::string why;
    try {
        Life l(folder.path, scratch.path);
    } catch (const program::ConfigError& error) {
        why = error.what();
    }
    CHECK(why.find("MANIFEST:0: it is damaged") != std::string::npos);
}

TEST_CASE("the store's file: a folder that is there, is ours, and has room; every mistake with its place") {
    Folder folder;
    auto error = [&](const std::string& text) -> std::string {
        try {
            program::parse_store_config(text, "s.toml");
        } catch (const program::ConfigError& e) {
            return e.what();
        }
        return "";
    };
    std::string good = "[store]\nfolder = \"" + folder.path + "\"\n";
    CHECK(error(good) == "");
    CHECK(error("[store]\nfolder = \"/nowhere/at/all\"\n").find("s.toml:2:10: folder:") == 0);
    CHECK(error("[store]\n").find("needs a 'folder'") != std::string::npos);
    CHECK(error("").find("[store] is missing") != std::string::npos);
    CHECK(error(good + "budget = \"2\"\n").find("a number without a unit is none") != std::string::npos);
    CHECK(error(good + "bugdet = \"2MiB\"\n").find("did you mean 'budget'?") != std::string::npos);
    CHECK(error(good + "budget = \"1MiB\"\n").find("four segments") != std::string::npos);
}

}  // namespace
}  // namespace indigovane::testing
