// The store in a complete pooler: real files, lagging replicas, and processes that end at any moment.
#include "program/persistent_state.hpp"

#include <fstream>

#include "program/excluded_endpoints.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using program::PersistentState;
using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

struct PoolerRun {
    PgDeployment deployment;
    PersistentState persistent_state;
    PoolerRun(const std::string& folder, const std::string& scratch)
        : persistent_state(deployment.loop.io, deployment.clock, config(folder), scratch, "t1",
                           deployment.core, deployment.logger) {
        persistent_state.open(true);
        deployment.core.on_write([this](std::uint64_t session, bool begins) {
            begins ? persistent_state.begin_write(session) : persistent_state.end_write(session);
        });
        deployment.core.on_commit([this](std::uint64_t session, routing::Time commit) {
            persistent_state.commit(session, commit);
        });
        deployment.loop.batch = [this] {
            deployment.core.run_batch();
            persistent_state.flush();
        };
        for (Host& host : deployment.hosts) host.lag_ms = host.primary ? 0 : 60000;
        deployment.loop.settle();
    }
    static program::StoreConfig config(const std::string& folder) {
        program::StoreConfig store_config;
        store_config.folder = folder;
        store_config.sync_interval = 0us;
        return store_config;
    }
};

struct PgClient : Client {
    PgClient(Loop& loop, const transport::SocketAddress& to) : Client(loop, to) {
        send(pg::Writer().startup("backend", "store").take());
        REQUIRE(reply() == "RZ");
    }
};

// Replicas are a minute behind and have old values: a read that a replica answers after its session has
// written is stale. Without the store a new process would know of no earlier write, and this test would fail.
TEST_CASE("store: session reads are never stale across processes that end at any moment") {
    Folder folder, scratch;
    Dice dice(11);
    std::map<std::string, std::string> primary_rows, acknowledged;
    int reads = 0, last_request_id = 0;
    for (int run_number = 0; run_number < 10; ++run_number) {
        PoolerRun run(folder.path, scratch.path);
        for (auto& [name, value] : primary_rows) run.deployment.hosts[0].rows[name] = value;
        PgClient client(run.deployment.loop, run.deployment.pg.local());
        int steps = int(dice.below(25));
        for (int step = 0; step < steps; ++step) {
            std::string name = std::string(1, char('a' + dice.below(6))),
                        id = std::to_string(++last_request_id);
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
                    CHECK_MESSAGE(client.value == acknowledged[name], "run " << run_number);
            }
        }
        primary_rows = run.deployment.hosts[0].rows;
        if (dice.below(3) == 0) run.persistent_state.close();  // otherwise it ends as if killed
    }
    CHECK(reads > 30);
}

TEST_CASE(
    "store: excluded hosts are acknowledged once on disk, and the next process reads them and the endpoint "
    "list") {
    Folder folder, scratch;
    {
        PoolerRun run(folder.path, scratch.path);
        bool answered = false;
        run.persistent_state.store_excluded_endpoints({"m1"}, {}, [&](bool on_disk) { answered = on_disk; });
        REQUIRE(run.deployment.loop.until([&] { return answered; }));
        run.persistent_state.store_endpoint_list(R"({"rev":41,"all":true,"targets":[]})", 41);
        run.persistent_state.flush();
        run.persistent_state.close();
    }
    PoolerRun run(folder.path, scratch.path);
    CHECK(run.persistent_state.excluded_endpoints() == std::set<std::string>{"m1"});
    CHECK(run.persistent_state.newer_endpoint_list(40).value_or("").find("41") != std::string::npos);
    CHECK_FALSE(run.persistent_state.newer_endpoint_list(41));
}

// In an upgrade the successor serves before the predecessor closes the store, and either may end meanwhile.
// Guards against commits of that time that are in no store although no crash marker says so.
TEST_CASE(
    "store: a successor waits for the store, stores the commits received before, and then lowers the crash "
    "marker") {
    Folder folder, scratch;
    auto has_crash_marker = [&] { return std::filesystem::exists(scratch.path + "/t1.witness"); };
    auto predecessor = std::make_unique<PoolerRun>(folder.path, scratch.path);
    REQUIRE(predecessor->deployment.loop.until([&] { return !has_crash_marker(); }));
    PoolerRun successor(folder.path, scratch.path);
    CHECK_FALSE(successor.persistent_state.is_open());
    CHECK(has_crash_marker());
    successor.persistent_state.commit(7, successor.deployment.clock.now());
    policy::SessionTokens tokens;
    tokens.commits.emplace_back(policy::SessionKey{8}, successor.deployment.clock.now());
    successor.persistent_state.inherit(tokens);
    predecessor->persistent_state.close();
    REQUIRE(successor.deployment.loop.until([&] { return successor.persistent_state.is_open(); }));
    REQUIRE(successor.deployment.loop.until([&] { return !has_crash_marker(); }));
    // A commit after the predecessor has closed the store raises the crash marker.
    predecessor->persistent_state.commit(9, predecessor->deployment.clock.now());
    CHECK(has_crash_marker());
    tokens.commits[0].first = policy::SessionKey{9};
    successor.persistent_state.inherit(tokens);
    REQUIRE(successor.deployment.loop.until([&] { return !has_crash_marker(); }));
    predecessor.reset();
    successor.persistent_state.close();
    std::unique_ptr<store::Environment> environment;
    REQUIRE(store::open_folder(folder.path, environment).ok());
    std::set<std::uint64_t> sessions;
    auto recovered = store::recover(*environment, false, [&](store::Record&& record, std::uint64_t) {
        if (record.space == store::Space::positions)
            sessions.insert(store::parse_position_key(record.key).value_or(0));
    });
    CHECK(recovered.outcome == store::RecoveryResult::Outcome::complete);
    for (std::uint64_t session : {7, 8, 9}) CHECK(sessions.count(session));
}

TEST_CASE("store: a damaged store is a configuration error that names file and offset") {
    Folder folder, scratch;
    { PoolerRun run(folder.path, scratch.path); }
    {
        std::ofstream out(folder.path + "/MANIFEST", std::ios::binary | std::ios::trunc);
        out << "nonsense";
    }
    std::string why;
    try {
        PoolerRun run(folder.path, scratch.path);
    } catch (const program::ConfigError& error) {
        why = error.what();
    }
    CHECK(why.find("MANIFEST:0: it is damaged") != std::string::npos);
}

TEST_CASE("store configuration: each mistake is reported with its place in the file") {
    Folder folder;
    auto error = [&](const std::string& text) -> std::string {
        try {
            program::parse_store_config(text, "s.toml");
        } catch (const program::ConfigError& config_error) {
            return config_error.what();
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
